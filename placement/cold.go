package placement

import "time"

// ColdLimit bounds what this instance sends to one upstream while it is cold.
type ColdLimit struct {
	// Until is when the upstream is warm.
	Until time.Time
	// Rate is in requests per second; 0 sends none.
	Rate float64
}

// coldGate spreads the requests to a cold upstream: at most one at once.
type coldGate struct {
	tokens float64
	last   time.Time
}

// ready says whether a request may pass.
func (g *coldGate) ready(now time.Time, rate float64) bool {
	if !g.last.IsZero() {
		g.tokens = min(1, g.tokens+now.Sub(g.last).Seconds()*rate)
	}
	g.last = now
	return g.tokens >= 1
}

// take lets a request pass that ready has allowed.
func (g *coldGate) take() { g.tokens-- }
