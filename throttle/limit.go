package throttle

import (
	"maps"
	"time"
)

const (
	// endLifetime is how long the end of a limit is remembered, so that instances which
	// have not learned of it do not bring the limit back.
	endLifetime = 30 * time.Second
	// minRate is the least rate of an allocator in requests per second: the end of a
	// limit shows only in a response.
	minRate = 0.2
	// minRefresh is by how much a statement from another instance must be newer than an
	// equal one: the age of a statement grows less than its time on the way.
	minRefresh = time.Second
)

// Limit is a statement of an upstream.
type Limit struct {
	// Limited reports whether the upstream limits the rate.
	Limited bool
	// Rate is in requests per second from all instances together; it is 0 without a limit.
	Rate float64
	// StatedAt is the local time from which the statement counts.
	StatedAt time.Time
}

// allows reports whether the limit allows more than other.
func (l Limit) allows(other Limit) bool {
	return other.Limited && (!l.Limited || l.Rate > other.Rate)
}

// same reports whether both limits allow the same.
func (l Limit) same(other Limit) bool { return l.Limited == other.Limited && l.Rate == other.Rate }

// Observe records what a response of the upstream states; the request was sent at sentAt.
// It reports whether the limit in force has changed.
func (t *Throttle) Observe(now, sentAt time.Time, upstream string, limited bool, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stated := Limit{Limited: limited, Rate: rate, StatedAt: now}
	s := t.upstreams[upstream]
	if !limited && (s == nil || !s.limit.Limited) {
		return false
	}
	if s != nil && stated.allows(s.limit) {
		stated.StatedAt = sentAt
	}
	return t.adopt(upstream, stated)
}

// Merge records a statement that another instance has passed on, and reports whether the
// limit in force has changed.
func (t *Throttle) Merge(upstream string, stated Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[upstream]
	if s == nil && !stated.Limited {
		return false
	}
	if s != nil && stated.same(s.limit) && stated.StatedAt.Sub(s.limit.StatedAt) < minRefresh {
		return false
	}
	return t.adopt(upstream, stated)
}

// adopt puts a statement in force if it is newer than the current one.
func (t *Throttle) adopt(upstream string, stated Limit) bool {
	s := t.upstreams[upstream]
	if s == nil {
		s = &state{}
		t.upstreams[upstream] = s
	} else if !stated.StatedAt.After(s.limit.StatedAt) {
		return false
	}
	changed := !stated.same(s.limit)
	s.limit = stated
	if changed {
		s.deniedUntil = time.Time{}
	}
	return changed
}

// Limit returns the statement in force, and false when there is none.
func (t *Throttle) Limit(upstream string) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[upstream]
	if s == nil {
		return Limit{}, false
	}
	return s.limit, true
}

// Limited reports whether the upstream limits its rate.
func (t *Throttle) Limited(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.upstreams[upstream]
	return s != nil && s.limit.Limited
}

// Limits returns the statements in force by upstream, including recent ones that end a
// limit.
func (t *Throttle) Limits() map[string]Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := make(map[string]Limit, len(t.upstreams))
	for upstream, s := range t.upstreams {
		limits[upstream] = s.limit
	}
	return limits
}

// Tick drops the ends of limits after endLifetime, and the statements of upstreams for which
// exists returns false. A limit stays in force until the upstream ends it, also when no
// request is sent there.
func (t *Throttle) Tick(now time.Time, exists func(upstream string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.upstreams, func(upstream string, s *state) bool {
		return !s.limit.Limited && now.Sub(s.limit.StatedAt) > endLifetime || !exists(upstream)
	})
}
