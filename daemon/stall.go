package daemon

import (
	"sync/atomic"
	"time"
)

const (
	// stallBound is the gap between two ticks of the control goroutine after
	// which the process counts as paused.
	stallBound = 500 * time.Millisecond
	// settleTime is the time after a pause in which messages that came before
	// it may still be read.
	settleTime = 200 * time.Millisecond
)

// stallDetector tells whether the process has been paused. A process that wakes
// finds requests whose senders have given up; it must not run them.
type stallDetector struct {
	start time.Time
	// ticked and settled are times after start, in nanoseconds.
	ticked  atomic.Int64
	settled atomic.Int64
}

func newStallDetector(now time.Time) *stallDetector { return &stallDetector{start: now} }

// tick is called by the control goroutine at each tick.
func (d *stallDetector) tick(now time.Time) {
	elapsed := now.Sub(d.start)
	if elapsed-time.Duration(d.ticked.Load()) > stallBound {
		d.settled.Store(int64(elapsed + settleTime))
	}
	d.ticked.Store(int64(elapsed))
}

// steady says whether the process runs without a recent pause.
func (d *stallDetector) steady(now time.Time) bool {
	elapsed := now.Sub(d.start)
	return elapsed-time.Duration(d.ticked.Load()) <= stallBound && int64(elapsed) >= d.settled.Load()
}
