package placement

import (
	"time"

	"samphireferry.example/ferry/routing"
)

// Result classifies what an attempt shows about the health of its upstream.
type Result uint8

// The results of attempts.
const (
	// Answered is a response that shows no failure of the upstream.
	Answered Result = iota
	// Failed is an error of the upstream, a truncated or malformed response, or the
	// response to another request.
	Failed
	// Late is a response that did not arrive in time.
	Late
	// Shed is a refusal with the assurance that the request was not run.
	Shed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Replaced means that another upstream now has the address.
	Replaced
	// Inconclusive allows no conclusion about the upstream, because the caller disconnected.
	Inconclusive
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"answered", "failed", "late", "shed", "unreachable", "replaced", "unclear"}[r]
}

// Load is the load that an upstream reported with a response: the number of requests
// that run or wait there.
type Load struct {
	Known    bool
	Requests int
	// Pace is how long work takes there at that moment, in percent of the usual time; 0 when
	// the upstream does not state it.
	Pace int
}

// Lease reserves capacity at an upstream for one request.
type Lease struct {
	// Upstream is where to send the request.
	Upstream   *routing.Upstream
	pool       *Pool
	service    *service
	target     *target
	acquiredAt time.Time
	// cold is set when the lease has taken a token of a cold upstream.
	cold bool
	// Utilization is the estimated number of requests per slot of the upstream when
	// the lease was acquired, this request included.
	Utilization float64
	// Choice tells why the upstream was chosen, in a service whose upstreams state their pace.
	Choice Choice
}

// Release returns the lease and records the result of the attempt, whose response has
// ended. It returns by how much this result extends the ejection of the upstream, or 0 if
// it does not.
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
		l.pool.learn(now, t, load)
	}
	switch result {
	case Answered, Shed:
		t.lastResponseAt = now
	}
	switch result {
	case Answered:
		t.recordSuccess()
		l.service.observeServiceTime(time.Duration(float64(now.Sub(l.acquiredAt)) / max(l.Utilization, 1)))
	case Failed, Unreachable:
		t.recordFailure(now)
	case Late:
		// An upstream that responded to other requests in the meantime is busy, not broken.
		if !t.lastResponseAt.After(l.acquiredAt) {
			t.recordFailure(now)
		}
	case Shed:
		t.pauseFor(now, shedPause)
	case Replaced:
		t.ejectedUntil = now.Add(maxEjection)
	case Inconclusive:
	}
	return max(t.ejectedUntil.Sub(before), 0)
}

// Cancel returns the lease of a request that was not sent.
func (l *Lease) Cancel() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.target.inFlight--
	if l.cold {
		l.target.cold.putBack()
	}
}

// PauseFor records the time for which the upstream, which has refused the request, states
// to take no other one. The upstream gets no request until then, but maxPause at most.
func (l *Lease) PauseFor(now time.Time, pause time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.target.pauseFor(now, min(pause, maxPause))
}

// RecordLoad records a load that the upstream has reported while the request still holds
// the lease.
func (l *Lease) RecordLoad(now time.Time, load Load) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if load.Known {
		l.pool.learn(now, l.target, load)
	}
}

// observeServiceTime adds a sample to the average service time.
func (s *service) observeServiceTime(sample time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = sample
		return
	}
	s.serviceTime += time.Duration(serviceTimeSmoothing * float64(sample-s.serviceTime))
}
