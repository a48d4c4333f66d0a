package placement

import (
	"time"

	"samphireferry.example/ferry/routing"
)

// Result is what an attempt shows about its upstream.
type Result uint8

// The results of attempts.
const (
	// Answered is an answer of the upstream that is no failure of its own.
	Answered Result = iota
	// Failed is a failure, a foreign or a broken answer.
	Failed
	// Late is an answer that did not come in time.
	Late
	// Shed is a promise that the upstream has not run the request.
	Shed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Replaced means that another upstream has the address by now.
	Replaced
	// Unclear says nothing about the upstream: the caller has gone.
	Unclear
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"answered", "failed", "late", "shed", "unreachable", "replaced", "unclear"}[r]
}

// Load is the load that an upstream reported with an answer: the requests that
// run and wait there.
type Load struct {
	Known    bool
	Requests int
}

// Lease is a place of one request at an upstream.
type Lease struct {
	// Upstream is where to send the request.
	Upstream *routing.Upstream
	pool     *Pool
	service  *service
	target   *target
	begun    time.Time
	// Use is the estimated number of requests for each slot of the upstream when the
	// place was taken, this one included.
	Use float64
}

// Release gives the place back with what the attempt has shown. It returns for how
// long the upstream is ejected by it, 0 when it is not.
func (l *Lease) Release(now time.Time, result Result, load Load) time.Duration {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	t := l.target
	t.inFlight--
	before := t.ejectedUntil
	if before.Before(now) {
		before = now
	}
	if load.Known {
		t.report(now, load.Requests)
	}
	switch result {
	case Answered, Shed:
		t.answeredAt = now
	}
	switch result {
	case Answered:
		t.succeed()
		l.service.served(time.Duration(float64(now.Sub(l.begun)) / max(l.Use, 1)))
	case Failed, Unreachable:
		t.fail(now)
	case Late:
		// An upstream that has answered others meanwhile is busy, not broken.
		if !t.answeredAt.After(l.begun) {
			t.fail(now)
		}
	case Shed:
		t.shedUntil = now.Add(shedPause)
	case Replaced:
		t.ejectedUntil = now.Add(maxEjection)
	case Unclear:
	}
	return max(t.ejectedUntil.Sub(before), 0)
}

// served takes in the time that an upstream has worked.
func (s *service) served(took time.Duration) {
	if s.work == 0 {
		s.work = took
		return
	}
	s.work += time.Duration(workSmoothing * float64(took-s.work))
}
