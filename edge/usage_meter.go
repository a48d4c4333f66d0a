package edge

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/usage"
)

// bootTime returns the time since boot by a clock that also runs while the machine is
// suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	// The call cannot fail for this clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}

// usageMeter counts the attempts of this instance for usage reports. Traffic goroutines use
// it; the control goroutine sets the time. A nil meter counts nothing.
type usageMeter struct {
	counter *usage.Counter
	starts  *usage.Starts
	// offset is added to the clock since boot for the true time.
	offset atomic.Int64
}

func newUsageMeter(window time.Duration) *usageMeter {
	m := &usageMeter{counter: usage.NewCounter(window), starts: usage.NewStarts()}
	m.offset.Store(time.Now().UnixNano() - int64(bootTime()))
	return m
}

// now returns the true time.
func (m *usageMeter) now() time.Time { return time.Unix(0, int64(bootTime())+m.offset.Load()) }

// meteredAttempt is an attempt that counts, or nil for one that does not.
type meteredAttempt struct {
	meter       *usageMeter
	attempt     *usage.Attempt
	service     string
	utilization float64
	// sent is the true time at which the attempt was sent, wait the expected wait at the upstream.
	sent time.Time
	wait time.Duration
}

// sent counts an attempt of the customer that is about to be sent. Requests without a customer
// do not count.
func (m *usageMeter) sent(customer string, lease *placement.Lease) *meteredAttempt {
	if m == nil || customer == "" {
		return nil
	}
	a := &meteredAttempt{
		meter: m, service: lease.Upstream.Service, utilization: lease.Utilization, sent: m.now(),
	}
	a.wait = m.starts.Expected(a.service, a.utilization)
	a.attempt = m.counter.Sent(customer, a.sent.Add(a.wait))
	return a
}

// responded records that the upstream has run the attempt and responded after the time.
func (a *meteredAttempt) responded(took time.Duration) {
	if a == nil {
		return
	}
	a.attempt.Began(a.sent.Add(a.meter.starts.Observe(a.service, took, a.utilization)))
}

// failed records that the attempt has ended without a response. One that may have run counts
// unless it was still expected to wait in the queue.
func (a *meteredAttempt) failed(took time.Duration, mayHaveRun bool) {
	if a != nil && (!mayHaveRun || took < a.wait) {
		a.attempt.NotRun()
	}
}
