package placement

import "time"

// coldGate bounds the requests to a cold upstream.
type coldGate struct {
	// tokens are requests that may be sent; they grow with the time since last.
	tokens float64
	last   time.Time
}

// take lets a request pass at the rate per second, with at most one at once.
func (g *coldGate) take(now time.Time, rate float64) bool {
	if !g.ready(now, rate) {
		return false
	}
	g.tokens--
	return true
}

// ready says whether a request may pass.
func (g *coldGate) ready(now time.Time, rate float64) bool {
	if g.last.IsZero() {
		g.tokens = 1
	} else {
		g.tokens = min(1, g.tokens+now.Sub(g.last).Seconds()*rate)
	}
	g.last = now
	return g.tokens >= 1
}
