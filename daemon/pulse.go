package daemon

import (
	"sync/atomic"
	"time"
)

const (
	// pulsePause is the gap between two ticks of the control goroutine after
	// which the process counts as paused.
	pulsePause = 500 * time.Millisecond
	// pulseSettle is the time after a pause in which messages that came before
	// it may still be read.
	pulseSettle = 200 * time.Millisecond
)

// pulse tells whether the process has been paused. A process that wakes finds
// requests whose senders have given up; it must not run them.
type pulse struct {
	start time.Time
	// ticked and settled are times after start, in nanoseconds.
	ticked  atomic.Int64
	settled atomic.Int64
}

func newPulse(now time.Time) *pulse { return &pulse{start: now} }

// tick is called by the control goroutine at each tick.
func (p *pulse) tick(now time.Time) {
	elapsed := now.Sub(p.start)
	if elapsed-time.Duration(p.ticked.Load()) > pulsePause {
		p.settled.Store(int64(elapsed + pulseSettle))
	}
	p.ticked.Store(int64(elapsed))
}

// steady says whether the process runs without a recent pause.
func (p *pulse) steady(now time.Time) bool {
	elapsed := now.Sub(p.start)
	return elapsed-time.Duration(p.ticked.Load()) <= pulsePause && int64(elapsed) >= p.settled.Load()
}
