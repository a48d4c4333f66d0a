package placement

import "time"

const (
	// spillStepPerSecond is the change per second of the share of the requests that may
	// go to another region beyond the region shares, so that traffic shifts gradually.
	spillStepPerSecond = 0.02
	// spillInterval is the minimum time between two changes of that share.
	spillInterval = 200 * time.Millisecond
	// maxSpillShare bounds that share.
	maxSpillShare = 0.5
	// spillBurst bounds the number of requests that may spill at once.
	spillBurst = 2.0
)

// spillLimiter bounds the requests that leave their region because the upstreams of
// their object there are full, or because there is only one.
type spillLimiter struct {
	// allowedShare is the share of the requests that may leave.
	allowedShare float64
	tokens       float64
	changedAt    time.Time
	// wanted is set once a request was to leave its region, since the last change of
	// allowedShare.
	wanted bool
}

// recordArrival counts a request of the service and adjusts the allowed share: up if
// a request was to leave its region since the last change, down otherwise.
func (l *spillLimiter) recordArrival(now time.Time) {
	l.tokens = min(l.tokens+l.allowedShare, spillBurst)
	elapsed := now.Sub(l.changedAt)
	if elapsed < spillInterval {
		return
	}
	step := spillStepPerSecond * min(elapsed.Seconds(), 1)
	if !l.wanted {
		step = -step
	}
	l.allowedShare = max(0, min(l.allowedShare+step, maxSpillShare))
	l.changedAt = now
	l.wanted = false
}

// tryTake consumes a token and reports whether the request may leave its region.
func (l *spillLimiter) tryTake() bool {
	l.wanted = true
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
