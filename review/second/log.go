package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// routeTimeout is the timeout of the route in deployment.json.
	routeTimeout = 2 * time.Second
	// lateAfter is the time after the timeout by which a request must be answered.
	lateAfter = 500 * time.Millisecond
	// spoiledShare is the share of the answers that are followed by a second one, of half of the upstreams.
	spoiledShare = 0.03
	// stalledFor is the time for which nobody reads the logs. spoiledFor is the time for which upstreams
	// answer twice, which begins spoiledFrom after the logs are not read any more.
	stalledFor  = 40 * time.Second
	spoiledFrom = 20 * time.Second
	spoiledFor  = 5 * time.Second
	// logPerSecond is the rate of the requests of all callers, overRatePerSecond that of a customer
	// that is over its rate, whose refusals are logged.
	logPerSecond      = 200
	overRatePerSecond = 60
)

// stalledLog stops reading the output of the instances for a time, while some upstreams send bytes
// behind complete answers.
func stalledLog(s *system, trouble bool) (bool, error) {
	var spoils atomic.Bool
	for n, d := range s.Domains {
		for k := range 2 {
			u, err := s.addUpstream(fmt.Sprintf("u-%d-%d", n, k), "lookup", d.Name, 9, 30*time.Millisecond)
			if err != nil {
				return false, err
			}
			u.size = 1500
			if k == 0 {
				u.spoil = func() bool { return spoils.Load() && rand.Float64() < spoiledShare }
			}
		}
	}
	stalled := &atomic.Bool{}
	for _, e := range s.entries {
		output, input, err := os.Pipe()
		if err != nil {
			return false, err
		}
		e.log = input
		go readLog(output, stalled)
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	c := newCallers(s)
	q := request{method: http.MethodGet, host: "lookup.example", path: "/lookup/", key: "house-key", deadline: 3 * time.Second}
	c.sendFor(5*time.Second, logPerSecond, q)
	if trouble {
		s.note("the logs are not read for %v", stalledFor)
		stalled.Store(true)
		time.AfterFunc(spoiledFrom, func() {
			s.note("for %v, a second answer follows %.0f%% of the answers of half of the upstreams", spoiledFor, 100*spoiledShare)
			spoils.Store(true)
		})
		time.AfterFunc(spoiledFrom+spoiledFor, func() { spoils.Store(false) })
	}
	// A customer over its rate makes the instances log refusals.
	overRate := newCallers(s)
	refused := q
	refused.key = "large-key"
	done := make(chan struct{})
	go func() {
		defer close(done)
		overRate.sendFor(stalledFor, overRatePerSecond, refused)
		overRate.wait()
	}()
	c.sendFor(stalledFor, logPerSecond, q)
	<-done
	c.wait()
	stalled.Store(false)
	var atTimeout, late int
	for _, took := range c.took {
		if took >= routeTimeout {
			atTimeout++
		}
		if took >= routeTimeout+lateAfter {
			late++
		}
	}
	s.note("answers: %v", c.statuses)
	s.note("%d requests were unanswered after %v, %d of them %v later", atTimeout, routeTimeout, late, lateAfter)
	return late > 0 && 2*late > atTimeout, nil
}

// readLog reads the output of an instance, but for the time in which it is stalled.
func readLog(output *os.File, stalled *atomic.Bool) {
	buffer := make([]byte, 64<<10)
	for {
		for stalled.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := output.Read(buffer); err != nil {
			return
		}
	}
}
