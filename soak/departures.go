package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

const (
	// departureCallers is the number of callers that leave at the end of a soak.
	departureCallers = 60
	// departureBound is the time after a caller has left by which the work on its request has
	// ended, and after which the request reaches no upstream.
	departureBound = 500 * time.Millisecond
	// departureWork is how long an upstream works on such a request if nobody ends it.
	departureWork = 2 * time.Second
	// maxDepartureWait bounds the time after which a caller leaves.
	maxDepartureWait = 200 * time.Millisecond
	// maxLateArrivals and maxWorkingShare are how many requests may reach an upstream after the
	// bound, and the share of the others on which upstreams may still work then.
	maxLateArrivals = 3
	maxWorkingShare = 0.25
)

// departure is a request whose caller leaves before its response. A zero time has not come yet.
type departure struct{ left, arrived, ended time.Time }

// departures holds the departures of a soak by the id of their attempt.
type departures struct {
	mu       sync.Mutex
	requests map[string]*departure
}

func newDepartures() *departures { return &departures{requests: map[string]*departure{}} }

func (d *departures) add(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[id] = &departure{}
}

func (d *departures) left(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests[id].left = time.Now()
}

// work works on the request until departureWork is over or the context ends. It returns false for a
// request whose caller does not leave.
func (d *departures) work(ctx context.Context, id string) bool {
	d.mu.Lock()
	request := d.requests[id]
	if request != nil {
		request.arrived = time.Now()
	}
	d.mu.Unlock()
	if request == nil {
		return false
	}
	select {
	case <-time.After(departureWork):
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	request.ended = time.Now()
	return true
}

// judge counts the requests that reached an upstream in time, those on which an upstream still
// worked at the bound, and those that reached one after it.
func (d *departures) judge() (arrived, working, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, request := range d.requests {
		bound := request.left.Add(departureBound)
		switch {
		case request.arrived.IsZero():
		case request.arrived.After(bound):
			late++
		default:
			arrived++
			if request.ended.IsZero() || request.ended.After(bound) {
				working++
			}
		}
	}
	return arrived, working, late
}

// checkDepartures has callers leave while upstreams work for them, and records a violation when
// the work goes on.
func (s *system) checkDepartures(r *rand.Rand) {
	var callers sync.WaitGroup
	for n := range departureCallers {
		entry := s.instances[n%len(s.instances)].Address
		wait := time.Duration(r.Int64N(int64(maxDepartureWait)))
		callers.Go(func() { s.depart(fmt.Sprint("departure-", n), entry, wait, n%3 == 1, n%2 == 1) })
	}
	callers.Wait()
	time.Sleep(departureBound + departureWork)
	arrived, working, late := s.departures.judge()
	if arrived == 0 {
		s.ledger.RecordViolation("no request of a caller that left reached an upstream, so nothing was checked")
	}
	if late > maxLateArrivals || float64(working) > maxWorkingShare*float64(arrived) {
		s.ledger.RecordViolation("%v after their callers had left, upstreams worked on %d of %d requests and got %d", departureBound, working, arrived, late)
	}
}

// depart sends a request and closes the connection after the wait: with bytes behind the request,
// or by a reset, if these are set.
func (s *system) depart(id, entry string, wait time.Duration, bytesBehind, byReset bool) {
	s.departures.add(id)
	s.ledger.RecordSent(id, false)
	defer s.departures.left(id)
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		s.ledger.RecordViolation("caller %s: %v", id, err)
		return
	}
	request := fmt.Sprintf("GET /%s/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 10000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		lookup, host, headers.AttemptID, id, headers.DeadlineMillis, apiKey, len(id), id)
	_, err = conn.Write([]byte(request))
	if err != nil {
		s.ledger.RecordViolation("caller %s: %v", id, err)
	}
	time.Sleep(wait)
	if bytesBehind {
		// The connection may have been closed after a refusal.
		_, _ = conn.Write([]byte("GET /"))
	}
	if byReset {
		reset(conn)
		return
	}
	_ = conn.Close()
}
