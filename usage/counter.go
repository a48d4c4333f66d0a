package usage

import (
	"sync"
	"time"
)

// maxWindows is the number of windows for which counts are kept after their end: a window that
// is due later than that is lost.
const maxWindows = 12

// WindowOf returns the window of the given length that has the time. Windows are numbered from
// the start of 1970.
func WindowOf(t time.Time, length time.Duration) int64 {
	n := t.UnixNano()
	w := n / int64(length)
	if n < 0 && n%int64(length) != 0 {
		w--
	}
	return w
}

// WindowStart returns the start of the window.
func WindowStart(window int64, length time.Duration) time.Time {
	return time.Unix(0, window*int64(length))
}

// Counts holds the counts of one source in one window. Version increases with each change.
type Counts struct {
	Version   uint32
	Customers map[string]uint64
}

// Counter counts the attempts of one instance by customer and window. It is safe for
// concurrent use.
//
// An attempt counts from the moment it is sent, at its expected begin, and is moved or taken out
// when its outcome is known. So an instance that is killed has already passed on most of
// what it has sent.
type Counter struct {
	length time.Duration

	mu      sync.Mutex
	windows map[int64]*Counts
}

// NewCounter returns a counter with windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[int64]*Counts{}}
}

// Attempt is a counted attempt. Only one goroutine may use it.
type Attempt struct {
	counter  *Counter
	customer string
	window   int64
}

// Sent counts an attempt for the customer that is expected to begin at the time.
func (c *Counter) Sent(customer string, begin time.Time) *Attempt {
	a := &Attempt{counter: c, customer: customer, window: WindowOf(begin, c.length)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(a.window, customer, 1)
	return a
}

// Began moves the attempt to the window of its begin.
func (a *Attempt) Began(begin time.Time) {
	window := WindowOf(begin, a.counter.length)
	if window == a.window {
		return
	}
	a.counter.mu.Lock()
	defer a.counter.mu.Unlock()
	a.counter.add(a.window, a.customer, -1)
	a.counter.add(window, a.customer, 1)
	a.window = window
}

// NotRun takes out an attempt that no upstream began to run.
func (a *Attempt) NotRun() {
	a.counter.mu.Lock()
	defer a.counter.mu.Unlock()
	a.counter.add(a.window, a.customer, -1)
}

// add changes the count of a customer, unless the window is forgotten.
func (c *Counter) add(window int64, customer string, change int64) {
	w := c.windows[window]
	if w == nil {
		if change < 0 {
			return
		}
		w = &Counts{Customers: map[string]uint64{}}
		c.windows[window] = w
	}
	w.Version++
	next := int64(w.Customers[customer]) + change
	if next <= 0 {
		delete(w.Customers, customer)
		return
	}
	w.Customers[customer] = uint64(next)
}

// Report returns the counts of the source at the time, and removes old windows.
func (c *Counter) Report(source uint64, now time.Time) SourceReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := WindowOf(now, c.length)
	r := SourceReport{Source: source, DoneThrough: current - 1, Windows: map[int64]Counts{}}
	for window, w := range c.windows {
		if window < current-maxWindows {
			delete(c.windows, window)
			continue
		}
		if window > current {
			// Queued attempts may still be moved; nobody closes the window yet.
			continue
		}
		r.Windows[window] = w.clone()
	}
	return r
}

func (c *Counts) clone() Counts {
	customers := make(map[string]uint64, len(c.Customers))
	for name, n := range c.Customers {
		customers[name] = n
	}
	return Counts{Version: c.Version, Customers: customers}
}
