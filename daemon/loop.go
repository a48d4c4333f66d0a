package daemon

import (
	"context"
	"time"
)

// Settings of the control goroutine.
const (
	// controlTick is the time between two ticks.
	controlTick = 50 * time.Millisecond
	// eventQueueSize is the number of events that the queue holds.
	eventQueueSize = 4096
)

// event is an input of the control goroutine.
type event interface {
	// apply changes the control state. It must not block.
	apply(c *control, now time.Time)
}

// loop runs the control goroutine.
type loop struct {
	events chan event
	// done is closed when the control goroutine has ended.
	done chan struct{}
}

func newLoop() *loop {
	return &loop{events: make(chan event, eventQueueSize), done: make(chan struct{})}
}

// post sends an event to the control goroutine. It blocks while the queue is
// full, and drops the event if the control goroutine has ended.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run applies events and ticks until the context ends.
func (l *loop) run(ctx context.Context, c *control) {
	defer close(l.done)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e.apply(c, time.Now())
		case <-c.deps.limiter.Wanted():
			c.requestLoans(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.publish(time.Now())
	}
}
