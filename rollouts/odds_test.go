package rollouts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/errkind"
)

// choose returns the binomial coefficient.
func choose(n, k uint64) float64 {
	if k > n {
		return 0
	}
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return math.Exp(a - b - c)
}

func TestLikelihoodRatioHasMeanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newRequests := rapid.Uint64Range(1, 40).Draw(t, "new")
		oldRequests := rapid.Uint64Range(1, 40).Draw(t, "old")
		events := rapid.Uint64Range(0, newRequests+oldRequests).Draw(t, "events")
		theta := rapid.SampledFrom(testedOddsRatios[:]).Draw(t, "theta")
		mean := 0.0
		for k := range min(events, newRequests) + 1 {
			if events-k > oldRequests {
				continue
			}
			table := contingencyTable{newRequests, oldRequests, k, events - k}
			ways := choose(newRequests, k) * choose(oldRequests, events-k)
			mean += ways / choose(newRequests+oldRequests, events) * math.Exp(table.logLikelihoodRatio(theta))
		}
		assert.Assert(t, math.Abs(mean-1) < 1e-6, "mean %v", mean)
	})
}

// TestFalseAlarmProbabilityIsBounded checks Ville's inequality for versions with
// equal failure probabilities that change from slice to slice.
func TestFalseAlarmProbabilityIsBounded(t *testing.T) {
	const runs, slices, bound = 1000, 200, 20.0
	random := rand.New(rand.NewPCG(1, 2))
	exceeded := 0
	for range runs {
		d := newDetector(slices)
		for i := range slices {
			if i%50 == 0 {
				d.startStep()
			}
			p := 0.01 + 0.3*random.Float64() // Shared by both versions.
			table := contingencyTable{newRequests: 1 + random.Uint64N(4), oldRequests: 1 + random.Uint64N(20)}
			for range table.newRequests {
				table.newEvents += randomEvent(random, p)
			}
			for range table.oldRequests {
				table.oldEvents += randomEvent(random, p)
			}
			d.add(table)
			if d.value() >= bound {
				exceeded++
				break
			}
		}
	}
	t.Logf("%d of %d runs exceeded the evidence %v", exceeded, runs, bound)
	assert.Assert(t, exceeded <= runs/int(bound), "%d of %d", exceeded, runs)
}

// randomEvent returns 1 with probability p, else 0.
func randomEvent(random *rand.Rand, p float64) uint64 {
	if random.Float64() < p {
		return 1
	}
	return 0
}

func TestLatencyBuckets(t *testing.T) {
	for _, ms := range []float64{0.1, 1, 1.5, 2, 7, 20, 500, 90_000} {
		bucket := bucketOf(time.Duration(ms * float64(time.Millisecond)))
		if bucket < bucketCount-1 {
			assert.Assert(t, ms <= bucketBound(bucket)*1.000001, "%v ms", ms)
		}
		assert.Assert(t, bucket == 0 || ms > bucketBound(bucket-1)*0.999999, "%v ms", ms)
	}
	var counts Counts
	for i := range counts.Latency {
		counts.Latency[i] = uint64(i + 1)
	}
	coarse := decodeCounts((&comparison{recorder: &Recorder{}}).message("", "", counts))
	assert.Equal(t, coarse.succeeded(), counts.succeeded())
}

func TestClassify(t *testing.T) {
	cases := map[string]struct {
		status int
		err    error
		want   Result
	}{
		"successful response": {status: 200, want: Answered},
		"caller error":        {status: 404, want: Answered},
		"upstream error":      {status: 500, want: Failed},
		"connection dropped":  {err: errkind.New(errkind.UpstreamFailed, ""), want: Failed},
		"timeout":             {err: errkind.New(errkind.UpstreamTimeout, ""), want: Failed},
		"truncated":           {err: errkind.New(errkind.AnswerTruncated, ""), want: Failed},
		"mismatched response": {err: errkind.New(errkind.AnswerMismatched, ""), want: Failed},
		"shed":                {err: errkind.New(errkind.Overloaded, ""), want: Ignored},
		"caller gone":         {err: errkind.New(errkind.CallerGone, ""), want: Ignored},
	}
	for name, c := range cases {
		assert.Equal(t, Classify(c.status, c.err), c.want, name)
	}
}

// TestSharedOutagesAreNoEvidence guards against stopping a version because its
// requests fall at other times within a slice than those of the old version. All
// requests of both versions fail during repeated outages.
func TestSharedOutagesAreNoEvidence(t *testing.T) {
	const judges, instances, seconds, ticksPerSecond = 20, 100, 60, 10
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 3))
		judge := NewJudge(seconds*time.Second, 1, judges, instances)
		samples := make([]Sample, instances)
		now := time.Unix(0, 0)
		outage := false
		for tick := range seconds * ticksPerSecond {
			if tick%50 == 0 {
				outage = random.IntN(2) == 0
			}
			now = now.Add(time.Second / ticksPerSecond)
			for i := range samples {
				samples[i].Instance = fmt.Sprint(i)
				samples[i].Stratum = fmt.Sprint(i)
				samples[i].Route = "main"
				samples[i].Old = samples[i].Old.Plus(sampleOf(outage, 2))
				if random.IntN(ticksPerSecond) == 0 {
					samples[i].New = samples[i].New.Plus(sampleOf(outage, 1))
				}
				finding := judge.Add(now, samples[i])
				assert.Assert(t, finding == nil, "seed %d, tick %d: %s", seed, tick, finding)
			}
		}
	}
}

func sampleOf(outage bool, requests uint64) Counts {
	counts := Counts{Requests: requests}
	if outage {
		counts.Failures = requests
		return counts
	}
	counts.Latency[9] = requests
	return counts
}

// TestSharedOutagesSampledAtDifferentTimes guards against stopping a version
// because the start of a shared outage falls into different slices. Each stratum
// has two instances: one owns the upstreams of the old version and the other
// those of the new one, and their samples arrive at different times.
func TestSharedOutagesSampledAtDifferentTimes(t *testing.T) {
	const strata, seconds, ticksPerSecond, interval = 10, 120, 10, 5
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 3))
		judge := newSharedJudge(seconds*time.Second, 1, 20, strata)
		var old, new [strata]Counts
		now := time.Unix(0, 0)
		outage := false
		for tick := range seconds * ticksPerSecond {
			if tick%97 == 0 {
				outage = !outage
			}
			now = now.Add(time.Second / ticksPerSecond)
			for i := range strata {
				old[i] = old[i].Plus(sampleOf(outage, 2))
				new[i] = new[i].Plus(sampleOf(outage, random.Uint64N(5)))
				sample := Sample{Instance: "old", Stratum: fmt.Sprint(i), Route: "main", Old: old[i]}
				if tick%interval == 1 {
					sample = Sample{Instance: "new", Stratum: fmt.Sprint(i), Route: "main", New: new[i]}
				}
				if tick%interval <= 1 {
					finding := judge.Add(now, sample)
					assert.Assert(t, finding == nil, "seed %d, tick %d: %s", seed, tick, finding)
				}
			}
		}
	}
}
