package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

const (
	// limitedFor is how long an upstream states a rate at the end of a soak, limitSettled
	// the time after which the instances must keep it.
	limitedFor   = 8 * time.Second
	limitSettled = 3 * time.Second
	// rateWindow is the length of a window, in which rateFactor times what the rate
	// allows and rateSlack requests may arrive.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// statedRates are the rates that upstreams state, in requests per second. All are below
// what the callers send to one upstream.
var statedRates = []float64{0.5, 1.1, 2, 3.4}

// rateCheck states a rate in the responses of an upstream and records the arrivals. The
// zero value states none.
type rateCheck struct {
	mu       sync.Mutex
	rate     float64
	arrivals []time.Time
}

// state makes the responses state the rate from now on; 0 states none.
func (c *rateCheck) state(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate, c.arrivals = rate, nil
}

func (c *rateCheck) recordArrival(h http.Header, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate == 0 {
		return
	}
	h.Set(headers.RateLimit, fmt.Sprint(c.rate))
	c.arrivals = append(c.arrivals, now)
}

// worst returns the largest number of arrivals in one window after the time.
func (c *rateCheck) worst(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, first := 0, 0
	for i, arrived := range c.arrivals {
		for c.arrivals[first].Before(from) && first < i || arrived.Sub(c.arrivals[first]) >= rateWindow {
			first++
		}
		if !c.arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// limitUpstream makes an upstream state a rate while other faults are injected.
func limitUpstream(s *system, r *rand.Rand) (func() error, error) {
	u := s.randomUpstream(r)
	u.rate.state(statedRates[r.IntN(len(statedRates))])
	return func() error {
		u.rate.state(0)
		return nil
	}, nil
}

// checkRate makes an upstream state a rate while no fault is injected, and records a
// violation when the instances together send more.
func (s *system) checkRate(ctx context.Context, r *rand.Rand) {
	u := s.randomUpstream(r)
	rate := statedRates[r.IntN(len(statedRates))]
	u.rate.state(rate)
	defer u.rate.state(0)
	started := time.Now()
	select {
	case <-time.After(limitedFor):
	case <-ctx.Done():
		return
	}
	allowed := int(rateFactor*rate*rateWindow.Seconds()) + rateSlack
	if worst := u.rate.worst(started.Add(limitSettled)); worst > allowed {
		s.ledger.RecordViolation("upstream %s stated %v requests a second and got %d in %v, %d allowed", u.ID, rate, worst, rateWindow, allowed)
	}
}
