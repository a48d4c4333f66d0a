package daemon

import (
	"sync/atomic"
	"time"
)

const (
	// stallThreshold is the gap between two ticks of the control goroutine above
	// which the process counts as paused.
	stallThreshold = 500 * time.Millisecond
	// stallRecoveryTime is the time after a pause during which messages that arrived
	// before its end may still be read.
	stallRecoveryTime = 200 * time.Millisecond
)

// stallDetector reports whether the process has been paused. A process that resumes
// finds requests that their senders have abandoned; it must not run them.
type stallDetector struct {
	start time.Time
	// lastTick is the time of the last tick, and steadyFrom the time from which the
	// process counts as steady again, both in nanoseconds after start.
	lastTick   atomic.Int64
	steadyFrom atomic.Int64
}

func newStallDetector(now time.Time) *stallDetector { return &stallDetector{start: now} }

// tick records a tick of the control goroutine.
func (d *stallDetector) tick(now time.Time) {
	elapsed := now.Sub(d.start)
	if elapsed-time.Duration(d.lastTick.Load()) > stallThreshold {
		d.steadyFrom.Store(int64(elapsed + stallRecoveryTime))
	}
	d.lastTick.Store(int64(elapsed))
}

// steady reports whether the process has run without a recent pause.
func (d *stallDetector) steady(now time.Time) bool {
	elapsed := now.Sub(d.start)
	return elapsed-time.Duration(d.lastTick.Load()) <= stallThreshold && int64(elapsed) >= d.steadyFrom.Load()
}
