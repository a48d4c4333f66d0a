package throttle

import (
	"sync"
	"time"
)

const (
	// baseBurst and burstSeconds give the size of an allocator's bucket: that many permits
	// and the rate for that many seconds. overlapBurst replaces baseBurst while another
	// instance may grant permits as well.
	baseBurst    = 3
	overlapBurst = 1
	burstSeconds = 0.25
	// maxRetryAfter bounds the time until an instance that was denied a permit asks again,
	// so that it notices a change of the limit or of the allocator.
	maxRetryAfter = time.Second
	// unassignedPause is the time until an instance asks again when the allocator does not
	// consider itself as such, or does not respond.
	unassignedPause = 100 * time.Millisecond
	// assignmentLifetime is how long an assignment of allocators is valid. They are
	// assigned many times in that time; after a pause of this instance, they may be others.
	assignmentLifetime = time.Second
)

// Throttle decides which requests this instance sends to upstreams that limit their rate,
// and grants permits to the others. It is safe for concurrent use.
type Throttle struct {
	mu         sync.Mutex
	upstreams  map[string]*state
	assignedAt time.Time
}

// state is what is known of one upstream that has stated a limit.
type state struct {
	limit     Limit
	assigned  bool
	allocator Allocator
	// tokens is the number of permits in the bucket of the allocator at refilledAt.
	tokens     float64
	refilledAt time.Time
	// deniedUntil is when this instance asks the allocator again.
	deniedUntil time.Time
}

// New returns a throttle that knows of no limits.
func New() *Throttle { return &Throttle{upstreams: map[string]*state{}} }

// Assign sets the allocator of each upstream that limits its rate. choose returns it; it
// is to be called several times within assignmentLifetime.
func (t *Throttle) Assign(now time.Time, choose func(upstream string) Allocator) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.assignedAt = now
	for upstream, s := range t.upstreams {
		if !s.limit.Limited {
			s.assigned = false
			continue
		}
		next := choose(upstream)
		switch {
		case s.assigned && s.allocator == next:
			continue
		case next.Self && !(s.assigned && s.allocator.Self):
			s.tokens, s.refilledAt = 0, now
		case next.Self:
			s.refill(now)
		}
		s.assigned, s.allocator, s.deniedUntil = true, next, time.Time{}
	}
}

// Verdict is the result of a request for a permit.
type Verdict uint8

// The verdicts on a request.
const (
	// Allowed means that the request may be sent.
	Allowed Verdict = iota
	// Denied means that the request must not be sent to the upstream now.
	Denied
	// Ask means that the allocator has to be asked.
	Ask
)

// Admits reports whether the upstream may take a request now. The request still needs a
// permit.
func (t *Throttle) Admits(now time.Time, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admits(now, t.upstreams[upstream])
}

// WouldAdmit is Admits without a change of any state.
func (t *Throttle) WouldAdmit(now time.Time, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.upstreams[upstream]
	if known == nil {
		return true
	}
	unchanged := *known
	return t.admits(now, &unchanged)
}

func (t *Throttle) admits(now time.Time, s *state) bool {
	if s == nil || !s.limit.Limited || !s.assigned {
		return true
	}
	if s.allocator.Self {
		return t.mayGrant(now, s)
	}
	return !now.Before(s.deniedUntil)
}

// Take takes a permit for a request to the upstream. With the verdict Ask, it returns the
// address of the allocator. Until an allocator has been assigned, requests need no permit.
func (t *Throttle) Take(now time.Time, upstream string) (Verdict, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[upstream]
	switch {
	case s == nil || !s.limit.Limited || !s.assigned:
		return Allowed, ""
	case s.allocator.Self && t.mayGrant(now, s):
		s.tokens--
		return Allowed, ""
	case s.allocator.Self || now.Before(s.deniedUntil):
		return Denied, ""
	}
	return Ask, s.allocator.Address
}

// Grant takes a permit for a request of another instance. A denial has the time after
// which the other instance is to ask again.
func (t *Throttle) Grant(now time.Time, upstream string) (granted bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[upstream]
	switch {
	case s != nil && !s.limit.Limited:
		return true, 0
	case s == nil || !s.assigned || !s.allocator.Self:
		return false, unassignedPause
	case t.mayGrant(now, s):
		s.tokens--
		return true, 0
	}
	wait := time.Duration((1 - s.tokens) / s.rate() * float64(time.Second))
	return false, max(min(wait, maxRetryAfter), time.Millisecond)
}

// Deny records that the allocator has denied a permit, or has not responded; then
// retryAfter is 0.
func (t *Throttle) Deny(now time.Time, upstream string, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if retryAfter <= 0 {
		retryAfter = unassignedPause
	}
	if s := t.upstreams[upstream]; s != nil {
		s.deniedUntil = now.Add(min(retryAfter, maxRetryAfter))
	}
}

// mayGrant refills the bucket and reports whether it holds a permit.
func (t *Throttle) mayGrant(now time.Time, s *state) bool {
	if now.Sub(t.assignedAt) > assignmentLifetime {
		return false
	}
	s.refill(now)
	return s.tokens >= 1
}

// rate returns the rate of this instance as allocator, in permits per second.
func (s *state) rate() float64 { return max(s.limit.Rate, minRate) * s.allocator.Fraction }

func (s *state) refill(now time.Time) {
	rate := s.rate()
	elapsed := max(now.Sub(s.refilledAt), 0)
	burst := baseBurst + burstSeconds*rate
	if s.allocator.Fraction < 1 {
		burst = overlapBurst + burstSeconds*rate
	}
	s.tokens = min(s.tokens+elapsed.Seconds()*rate, burst)
	s.refilledAt = now
}
