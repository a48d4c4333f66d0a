package placement

import "time"

const (
	// spillStep is the change in one second of the part of the requests that may go
	// to another region beyond the shares, so that traffic shifts gradually.
	spillStep = 0.02
	// spillInterval is the time between two changes.
	spillInterval = 200 * time.Millisecond
	// mostSpill bounds that part.
	mostSpill = 0.5
	// spillBurst bounds the requests that may go at once.
	spillBurst = 2.0
)

// spillGate bounds the requests that leave their region since both upstreams of
// their object there are full, or there is only one.
type spillGate struct {
	// allowed is the part of the requests that may leave.
	allowed float64
	tokens  float64
	changed time.Time
	// wanted says that a request would have left since the last change.
	wanted bool
}

// arrive counts a request of the service.
func (g *spillGate) arrive(now time.Time) {
	g.tokens = min(g.tokens+g.allowed, spillBurst)
	elapsed := now.Sub(g.changed)
	if elapsed < spillInterval {
		return
	}
	step := spillStep * min(elapsed.Seconds(), 1)
	if !g.wanted {
		step = -step
	}
	g.allowed = max(0, min(g.allowed+step, mostSpill))
	g.changed = now
	g.wanted = false
}

// take says whether a request may leave.
func (g *spillGate) take() bool {
	g.wanted = true
	if g.tokens < 1 {
		return false
	}
	g.tokens--
	return true
}
