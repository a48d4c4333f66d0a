package usage

import (
	"sync"
	"time"
)

const (
	// maxDurations is the number of attempts over which the duration of a service is averaged. A
	// shorter memory is biased when a queue forms: of the last attempts without one, the
	// longest end last.
	maxDurations = 500
	// waitError is the standard error of an expected wait, as a fraction of it, and
	// waitErrorOfMean an error that comes in addition, as a fraction of the mean duration. Of
	// 0.2, 0.4 and 0.8 with 0.1 and 0.3, these did best over the loads of the simulation.
	waitError       = 0.4
	waitErrorOfMean = 0.2
)

// Starts estimates when upstreams begin to run attempts. It is safe for concurrent use.
//
// An upstream with a free slot begins at once. Where more requests than slots are there, an
// attempt waits in its queue, and the requests ahead of it end at the rate of the slots: the
// expected wait is the number of requests for each slot beyond one, times the mean duration of
// attempts without a wait. After the response there is a second estimate, the time to the
// response less the mean duration. The two are weighted by their precision: the second one
// errs by the spread of durations, the first one by the age of what is known of the upstream.
//
// A constant error of the estimate moves requests from one window to the next and others into
// it from the one before, so only changes of the error and of the rate of requests matter.
type Starts struct {
	mu       sync.Mutex
	services map[string]*durations
}

// durations holds mean and variance of the durations of attempts without a wait, in seconds.
type durations struct {
	count, mean, variance float64
}

func (d *durations) add(seconds float64) {
	d.count = min(d.count+1, maxDurations)
	diff := seconds - d.mean
	d.mean += diff / d.count
	d.variance += (diff*(seconds-d.mean) - d.variance) / d.count
}

// NewStarts returns an estimator that has seen no attempt.
func NewStarts() *Starts { return &Starts{services: map[string]*durations{}} }

func (s *Starts) durationsOf(service string) *durations {
	d := s.services[service]
	if d == nil {
		d = &durations{}
		s.services[service] = d
	}
	return d
}

// Expected returns the expected wait of an attempt at an upstream with a number of requests for
// each slot, this one included.
func (s *Starts) Expected(service string, utilization float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return seconds(max(utilization-1, 0) * s.durationsOf(service).mean)
}

// Observe returns the estimated wait of an attempt that took the time from its sending to the
// response.
func (s *Starts) Observe(service string, took time.Duration, utilization float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.durationsOf(service)
	if utilization <= 1 {
		d.add(took.Seconds())
		return 0
	}
	if d.count == 0 {
		return 0
	}
	expected := (utilization - 1) * d.mean
	deviation := waitErrorOfMean*d.mean + waitError*expected
	// The weight of the second estimate.
	weight := deviation * deviation / (deviation*deviation + d.variance)
	wait := expected + weight*(took.Seconds()-d.mean-expected)
	return min(seconds(max(wait, 0)), took)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
