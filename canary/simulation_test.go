package canary

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trials is the number of simulated roll-outs of each row; the figures of
// docs/design/promotion.md are those of 100.
var trials = flag.Int("trials", 40, "simulated roll-outs of each row")

const (
	simulatedTick      = 200 * time.Millisecond
	simulatedInstances = 6
	simulatedDrain     = 2500 * time.Millisecond
	// countDelay is the age of a response, with its work and the heartbeats, when it is counted.
	countDelay = 1500 * time.Millisecond
	// oldFailureRate is the share of the responses of a sound version that are failures.
	oldFailureRate = 0.001
	simulatedShare = 0.1
	simulatedSlack = 50
)

// scenario is a roll-out of a version that fails with failureRate from onset on, on the route
// bad or on all routes if bad is negative.
type scenario struct {
	routes      []float64 // requests a second
	within      time.Duration
	failureRate float64
	bad         int
	onset       time.Duration
	// trouble returns the failures that are not the version's fault; nil means that there are none.
	trouble func(random *rand.Rand, elapsed time.Duration, isNew bool) Failure
}

func (s scenario) String() string {
	return fmt.Sprintf("routes %v within %v fails %v on %d from %v", s.routes, s.within, s.failureRate, s.bad, s.onset)
}

// outcome counts the ends of simulated roll-outs.
type outcome struct {
	done, reverted, unfinished int
	// exceeded counts roll-outs whose new version got more requests than a bad one may get.
	exceeded int
}

type response struct {
	at      time.Time
	key     Key
	failure Failure
}

// simulate runs one roll-out to its deadline.
func simulate(s scenario, seed uint64) (end Phase, atNew, total int) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := newSimulatedFleet(s)
	var pending []response
	for elapsed := time.Duration(0); elapsed < s.within; elapsed += simulatedTick {
		now := at(elapsed.Seconds())
		for len(pending) > 0 && !pending[0].at.After(now) {
			f.rollout.Record(pending[0].key, pending[0].failure)
			pending = pending[1:]
		}
		f.tick(now)
		for n, rate := range s.routes {
			route := fmt.Sprint("r", n)
			for range poisson(random, rate*simulatedTick.Seconds()) {
				key := Key{Route: route, New: f.choose(random.IntN(simulatedInstances), route)}
				failureRate := oldFailureRate
				if key.New && elapsed >= s.onset && (s.bad < 0 || s.bad == n) {
					failureRate = max(s.failureRate, oldFailureRate)
				}
				failure := None
				if random.Float64() < failureRate {
					failure = ErrorResponse
				}
				if s.trouble != nil {
					failure = max(failure, s.trouble(random, elapsed, key.New))
				}
				pending = append(pending, response{now.Add(countDelay), key, failure})
				total++
				if key.New {
					atNew++
				}
			}
		}
	}
	return f.rollout.Phase(), atNew, total
}

func (o outcome) share(n int) float64 { return float64(n) / float64(*trials) }

func poisson(random *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for p := random.Float64(); p > left; p *= random.Float64() {
		n++
	}
	return n
}

func run(s scenario) outcome {
	var o outcome
	for n := range *trials {
		end, atNew, total := simulate(s, uint64(n))
		switch end {
		case Done:
			o.done++
		case Reverted:
			o.reverted++
		default:
			o.unfinished++
		}
		if float64(atNew) > simulatedShare*float64(total)+simulatedSlack {
			o.exceeded++
		}
	}
	return o
}

// mixes are the requests a second of the routes of a service. The first route of each mix is the
// one on which a version is bad on one route only.
var mixes = [][]float64{{1, 60}, {10, 140}, {50, 100}, {10}, {1}, {3, 5, 30, 60}}

// failureRates are those of the bad versions.
var failureRates = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.5}

// onsets are the times from the order from which they fail.
var onsets = []time.Duration{0, 4 * time.Second, 8 * time.Second}

// tableTrials is the value of -trials from which the whole table is run, as for the design note.
const tableTrials = 100

// TestBothErrorRates guards against bad versions that are promoted and good ones that are not.
func TestBothErrorRates(t *testing.T) {
	times := []time.Duration{16 * time.Second}
	if *trials >= tableTrials {
		times = append(times, 12*time.Second)
	}
	for _, routes := range mixes {
		for _, within := range times {
			good := run(scenario{routes: routes, within: within})
			t.Logf("%v in %v, good: not done %.2f", routes, within, 1-good.share(good.done))
			assert.Assert(t, good.share(good.done) >= 0.85)
			for _, bad := range []int{-1, 0} {
				for _, onset := range onsets {
					line := ""
					for _, rate := range failureRates {
						s := scenario{routes: routes, within: within, failureRate: rate, bad: bad, onset: onset}
						if *trials < tableTrials && s.mostDone() == 1 {
							continue
						}
						o := run(s)
						line += fmt.Sprintf(" %v:%.2f/%.2f", rate, o.share(o.done), o.share(o.exceeded))
						assert.Assert(t, o.share(o.done) <= s.mostDone(), "%v: %+v", s, o)
					}
					t.Logf("%v in %v, bad route %d from %v: done/exceeded%s", routes, within, bad, onset, line)
				}
			}
		}
	}
}

// TestTroubleOfBothVersionsRevertsFewGoodOnes guards against the reversion of good versions for
// failures that are not theirs.
func TestTroubleOfBothVersionsRevertsFewGoodOnes(t *testing.T) {
	// during fails the share of the responses from 4 to 8 s after the order.
	during := func(share float64, failure Failure) func(*rand.Rand, time.Duration, bool) Failure {
		return func(random *rand.Rand, elapsed time.Duration, _ bool) Failure {
			if elapsed < 4*time.Second || elapsed >= 8*time.Second || random.Float64() >= share {
				return None
			}
			return failure
		}
	}
	// a crash of the upstream that serves the canary breaks off the responses of half a second.
	crash := func(_ *rand.Rand, elapsed time.Duration, isNew bool) Failure {
		if isNew && elapsed >= 6*time.Second && elapsed < 6500*time.Millisecond {
			return LateResponse
		}
		return None
	}
	for name, trouble := range map[string]func(*rand.Rand, time.Duration, bool) Failure{
		"errors":         during(0.2, ErrorResponse),
		"late responses": during(0.5, LateResponse),
		"crash":          crash,
	} {
		for _, routes := range mixes {
			o := run(scenario{routes: routes, within: 16 * time.Second, trouble: trouble})
			t.Logf("%s, %v: not done %.2f", name, routes, 1-o.share(o.done))
			// With fewer requests, the responses of the old version are too few for a baseline.
			assert.Assert(t, sum64(routes) < 60 || o.share(o.done) >= 0.8)
		}
	}
}

// mostDone returns the largest share of the roll-outs of a bad version that may be done, or 1
// where the bounds leave too few responses. Half failing on a route of one request a second is
// the case of the review.
func (s scenario) mostDone() float64 {
	whole := s.bad < 0 || len(s.routes) == 1
	failing := s.routes[0]
	if whole {
		failing = sum64(s.routes)
	}
	early := s.onset <= 4*time.Second
	switch {
	case s.within < 16*time.Second || !early && s.failureRate < 0.5:
		return 1
	case s.failureRate >= 0.5 && failing >= 10, s.failureRate >= 0.1 && whole && failing >= 50:
		return 0
	case s.failureRate >= 0.5 && early:
		return 0.3
	case s.failureRate >= 0.05 && whole && failing >= 50:
		return 0.15
	case s.failureRate >= 0.02 && whole && failing >= 90:
		return 0.4
	}
	return 1
}

func sum64(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// simulatedFleet is a roll-out with the splits of its instances.
type simulatedFleet struct {
	rollout *Rollout
	splits  [simulatedInstances]*Split
}

func newSimulatedFleet(s scenario) *simulatedFleet {
	f := &simulatedFleet{rollout: New(Order{Service: "lookup", Version: "v2", Within: s.within, Revision: 5}, simulatedDrain, at(0))}
	for n := range f.splits {
		f.splits[n] = NewSplit(func(string) float64 { return (float64(n) + 0.5) / simulatedInstances })
	}
	return f
}

func (f *simulatedFleet) tick(now time.Time) {
	if f.rollout.FindWorse(now) != nil {
		f.rollout.Stop()
	}
	f.rollout.Adopt(now, f.rollout.Next(now, true).Phase)
	shares := f.rollout.Shares(now, Bounds{Share: simulatedShare, Slack: simulatedSlack, Instances: simulatedInstances})
	for _, split := range f.splits {
		split.Set(shares)
	}
}

func (f *simulatedFleet) choose(instance int, route string) bool {
	switch f.rollout.Phase() {
	case Canary:
		return f.splits[instance].Next(route)
	case Reverted:
		return false
	}
	return true
}
