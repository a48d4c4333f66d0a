package placement

import "time"

// ColdLimit bounds the requests that this instance sends to one upstream while the
// upstream is cold.
type ColdLimit struct {
	// Until is the time from which the upstream counts as warm.
	Until time.Time
	// Rate is in requests per second; 0 allows none.
	Rate float64
}

// coldLimiter is a token bucket of size 1 that spaces out the requests to a cold
// upstream.
type coldLimiter struct {
	tokens float64
	last   time.Time
}

// allows refills the bucket at the rate, in tokens per second, and reports whether it
// holds a token.
func (l *coldLimiter) allows(now time.Time, rate float64) bool {
	if !l.last.IsZero() {
		l.tokens = min(1, l.tokens+now.Sub(l.last).Seconds()*rate)
	}
	l.last = now
	return l.tokens >= 1
}

// take consumes the token of a request that allows has admitted.
func (l *coldLimiter) take() { l.tokens-- }

// putBack returns the token of a request that was not sent.
func (l *coldLimiter) putBack() { l.tokens++ }
