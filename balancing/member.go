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

// stopped says whether the upstream gets no new work for good.
func (m *member) stopped() bool { return m.removed || m.upstream.Drained || m.health.stopped() }

// allowed returns the number of requests that may run at once.
func (m *member) allowed(now time.Time) int {
	if m.stopped() {
		return 0
	}
	return m.health.concurrency(m.limiter.current(now), now)
}

// capacity returns the number of requests that may run at once, without regard
// to a short pause after a refusal.
func (m *member) capacity(now time.Time) int {
	if m.stopped() {
		return 0
	}
	return m.health.concurrency(m.limiter.steady(now), now)
}

// pauseEnds returns when a pause after a refusal or an ejection ends, or the zero
// time when there is none.
func (m *member) pauseEnds(now time.Time) time.Time {
	end := m.limiter.shedUntil
	if m.health.phase == phaseOut && m.health.until.After(end) {
		end = m.health.until
	}
	if !end.After(now) {
		return time.Time{}
	}
	return end
}

// ProbeResult is what the probes of an upstream have shown.
type ProbeResult struct {
	Upstream string
	Healthy  bool
	// Draining says that the upstream wants no new work.
	Draining bool
	// Cold says that the upstream has started with empty caches.
	Cold bool
	// Load is the used part of the slots, or negative when it is not known.
	Load float64
	At   time.Time
}
