package canary

import (
	"math"
	"time"
)

const (
	// minZScore is the number of standard deviations by which the failure rates must
	// differ: about one false positive in ten thousand comparisons.
	minZScore = 3.7
	// minRateDifference is the smallest difference of the failure rates that counts.
	minRateDifference = 0.1
	// minFailures is the number of failures of the new version below which it is never
	// found worse, so that single failures do not decide.
	minFailures = 4
	// minBaseline is the number of responses of the old version below which there is no
	// baseline to compare with.
	minBaseline = 10
	// maxBurst is the time in which a crash breaks off responses, as the counts of all instances
	// show it: late responses of one such time are not counted. It is shorter than the time in
	// which a bad version is to be stopped.
	maxBurst = 3 * time.Second
	// recentInterval is the time between the samples in which bursts are looked for,
	// recentSamples their number: a burst may lie anywhere in the canary phase of a short order.
	recentInterval = time.Second
	recentSamples  = 16
	// minUnobserved is the number of responses of the old version on a route from which some
	// of the new one are expected: it gets up to maxRouteShare of the route's requests.
	minUnobserved = 10
)

// Count is the number of responses of one version, how many of them were failures, and how
// many of the failures were error responses. Late and incomplete responses are failures too,
// but crashes, slow upstreams and overload cause them in any version.
type Count struct {
	Answers  uint32
	Failures uint32
	Errors   uint32
}

// Add returns the sum.
func (c Count) Add(other Count) Count {
	return Count{
		Answers:  c.Answers + other.Answers,
		Failures: c.Failures + other.Failures,
		Errors:   c.Errors + other.Errors,
	}
}

func (c Count) failureRate() float64 { return float64(c.Failures) / float64(max(c.Answers, 1)) }

// Worse reports whether the candidate fails significantly more often than the baseline,
// by a two-proportion z-test.
func Worse(baseline, candidate Count) bool {
	if baseline.Answers < minBaseline || candidate.Failures < minFailures || candidate.failureRate() < baseline.failureRate()+minRateDifference {
		return false
	}
	n0, n1 := float64(baseline.Answers), float64(candidate.Answers)
	f0, f1 := float64(baseline.Failures), float64(candidate.Failures)
	pooled := (f0 + f1) / (n0 + n1)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n0 + 1/n1))
	return deviation > 0 && (f1/n1-f0/n0)/deviation > minZScore
}

func (c Count) late() uint32 { return c.Failures - min(c.Errors, c.Failures) }

// keepRecent keeps one sample of each recentInterval.
func (r *Rollout) keepRecent(now time.Time, current sample) {
	if now.Sub(r.recentAt) < recentInterval {
		return
	}
	r.recentAt = now
	r.recent = append(r.recent, current)
	if len(r.recent) > recentSamples {
		r.recent = r.recent[1:]
	}
}

// withoutBurst returns the count of the new version on a route without the late responses of the
// time of maxBurst that had most of them.
func (r *Rollout) withoutBurst(route string, current sample) Count {
	const burstSamples = int(maxBurst / recentInterval)
	c := current.new[route]
	var most uint32
	for n := range r.recent {
		last := c.late()
		if n+burstSamples < len(r.recent) {
			last = r.recent[n+burstSamples].new[route].late()
		}
		most = max(most, last-min(r.recent[n].new[route].late(), last))
	}
	most = min(most, c.late())
	return Count{Answers: c.Answers - most, Failures: c.Failures - most, Errors: c.Errors}
}
