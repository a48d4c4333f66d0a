package usage

import (
	"sync"
	"time"
)

// durationWeight is the weight of a new duration in the mean of its service: the mean follows
// the last 20 attempts or so.
const durationWeight = 0.05

// Starts estimates when upstreams begin to run attempts. It is safe for concurrent use.
//
// An upstream with a free slot begins at once. Where more requests than slots are there, an
// attempt waits in its queue, and the requests ahead of it end at the rate of the slots. Before
// the response, the wait is estimated from the requests for each slot when the attempt was
// sent. Afterwards, the begin is the time of the response less the mean duration of the
// service's attempts that did not wait, and not before the attempt was sent.
//
// A constant error of the estimate moves requests from one window to the next and others into
// it from the one before, so only changes of the rate of requests within the error matter.
type Starts struct {
	mu       sync.Mutex
	services map[string]time.Duration
}

// NewStarts returns an estimator that has seen no attempt.
func NewStarts() *Starts { return &Starts{services: map[string]time.Duration{}} }

// Expected returns the expected wait of an attempt at an upstream with a number of requests for
// each slot, this one included.
func (s *Starts) Expected(service string, utilization float64) time.Duration {
	if utilization <= 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration((utilization - 1) * float64(s.services[service]))
}

// Observe returns the estimated wait of an attempt that took the time from its sending to the
// response. busyAfter is whether the upstream stated with the response that all its slots are
// in use.
func (s *Starts) Observe(service string, took time.Duration, utilization float64, busyAfter bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := s.services[service]
	if utilization <= 1 && !busyAfter {
		if mean == 0 {
			s.services[service] = took
		} else {
			s.services[service] = mean + time.Duration(durationWeight*float64(took-mean))
		}
		return 0
	}
	if mean == 0 || utilization <= 1 {
		// Without a queue when the attempt was sent, it began at once, whatever came later.
		return 0
	}
	return max(took-mean, 0)
}
