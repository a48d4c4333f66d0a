package balancing

import (
	"time"

	"samphireferry.example/ferry/routing"
)

// member is one upstream of a pool.
type member struct {
	upstream *routing.Upstream
	limiter  limiter
	health   health
	inUse    int
	// removed is set once the pool no longer has the upstream.
	removed bool
}

// stopped reports whether the upstream gets no new work because it is removed or drains.
func (m *member) stopped() bool { return m.removed || m.upstream.Drained || m.health.stopped() }

// allowed returns the number of requests that may run concurrently.
func (m *member) allowed(now time.Time) int {
	if m.stopped() {
		return 0
	}
	return m.health.concurrency(m.limiter.current(now), now)
}

// capacity returns the number of requests that may run concurrently, ignoring the short
// pause after a refusal.
func (m *member) capacity(now time.Time) int {
	if m.stopped() {
		return 0
	}
	return m.health.concurrency(m.limiter.steady(now), now)
}

// pauseEnd returns when a pause after a refusal or an ejection ends, or the zero
// time when there is none.
func (m *member) pauseEnd(now time.Time) time.Time {
	end := m.limiter.shedUntil
	if m.health.phase == phaseEjected && m.health.ejectedUntil.After(end) {
		end = m.health.ejectedUntil
	}
	if !end.After(now) {
		return time.Time{}
	}
	return end
}

// ProbeResult is the result of the probes of an upstream.
type ProbeResult struct {
	Upstream string
	Healthy  bool
	// Draining is set when the upstream accepts no new work.
	Draining bool
	// Cold is set when the upstream has started with empty caches.
	Cold bool
	// Load is the fraction of the slots in use, or negative if unknown.
	Load float64
	At   time.Time
}
