package quota

import (
	"math"
	"time"
)

const (
	// ConvergenceInterval is the interval of heartbeats for which the convergence times hold.
	// They are longer in proportion where heartbeats are.
	ConvergenceInterval = time.Second
	// DirectConvergence is the convergence time in a full mesh, where all instances
	// exchange heartbeats directly: two heartbeats and their transit time.
	DirectConvergence = 2500 * time.Millisecond
	// RelayedConvergence is the convergence time where the leaders of the failure
	// domains relay announcements: three heartbeats, a missed one and their transit
	// time.
	RelayedConvergence = 4500 * time.Millisecond
	// directClaimDelay bounds the time from the announcement of a demand to its arrival,
	// relayedClaimDelay the same and the age of what two instances of a failure domain know of each
	// other's demand, an exchange.
	directClaimDelay  = 500 * time.Millisecond
	relayedClaimDelay = 1500 * time.Millisecond
	// sampleInterval is the least time over which arrivals are counted.
	sampleInterval = 500 * time.Millisecond
	// smoothing is the weight of a new sample in the moving average of the demand.
	smoothing = 0.2
	// noiseFactor bounds the variation of a steady demand between two samples.
	noiseFactor = 1.15
	// noiseDeviations is the number of standard deviations by which few arrivals may
	// vary in addition; one in ten samples of a steady demand varies more.
	noiseDeviations = 1.3
)

// randomVariation returns noiseDeviations standard deviations of the smoothed rate
// of independent (Poisson) arrivals, in requests per second.
func randomVariation(perSecond float64) float64 {
	const variance = smoothing / (2 - smoothing)
	return noiseDeviations * math.Sqrt(perSecond*variance/sampleInterval.Seconds())
}

// sample is the demand at a point in time, in requests per second.
type sample struct {
	at    time.Time
	value float64
}

// series holds the recent samples, oldest first.
type series struct{ samples []sample }

// add appends a sample and drops those that were superseded more than the
// convergence time ago.
func (s *series) add(now time.Time, value float64, convergence time.Duration) {
	s.samples = append(s.samples, sample{now, value})
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) > convergence {
		s.samples = s.samples[1:]
	}
}

// convergedLow returns the newest value, limited to the lowest value within the
// convergence time plus noise. While the customer's demand is within its rate,
// the random variation of few arrivals counts as noise too.
func (s *series) convergedLow(withinRate bool) float64 {
	newest := s.newest()
	low := newest
	for _, x := range s.samples {
		low = min(low, x.value)
	}
	bound := low * noiseFactor
	if withinRate {
		bound += randomVariation(low)
	}
	return min(newest, bound)
}

// claimed returns at least what the source counts of its own demand now, as convergedLow gives it
// there. A source counts the lowest value of the convergence time; an announcement that it has made
// within that time is no lower. Announcements are dated by their arrival, so within is shorter than
// the convergence time by the time that they may take.
func (s *series) claimed(now time.Time, within time.Duration, withinRate bool) float64 {
	newest := s.newest()
	low := newest
	for _, x := range s.samples {
		if now.Sub(x.at) <= within {
			low = min(low, x.value)
		}
	}
	bound := low * noiseFactor
	if withinRate {
		bound += randomVariation(low)
	}
	return min(newest, bound)
}

// convergedHigh returns the newest value, but at least the highest value within the
// convergence time less noise, which is defined as in convergedLow.
func (s *series) convergedHigh(withinRate bool) float64 {
	newest := s.newest()
	high := newest
	for _, x := range s.samples {
		high = max(high, x.value)
	}
	bound := high / noiseFactor
	if withinRate {
		bound -= randomVariation(high)
	}
	return max(newest, bound)
}

// newest returns the latest value, or 0 without samples.
func (s *series) newest() float64 {
	if len(s.samples) == 0 {
		return 0
	}
	return s.samples[len(s.samples)-1].value
}

// zero reports whether the demand has been zero for the convergence time.
func (s *series) zero() bool {
	for _, x := range s.samples {
		if x.value != 0 {
			return false
		}
	}
	return true
}
