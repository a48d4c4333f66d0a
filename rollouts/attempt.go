package rollouts

import (
	"sync"
	"time"
)

// Attempt is one request that is under way at an upstream. A nil Attempt
// counts nothing.
//
// An attempt that takes longer than the bound of slow answers is counted as
// slow when it passes the bound, not when it ends, so that a version that never
// answers shows early. Attempts of both versions are counted by the same rule.
type Attempt struct {
	cell    *cell
	start   time.Time
	latency time.Duration
	// waits is set while the attempt is in the list of its cell, counted once
	// nothing more is to be counted.
	waits   bool
	counted bool
	prev    *Attempt
	next    *Attempt
}

// Begin counts nothing yet; the attempt must be ended by End. It returns nil
// for versions or routes that are not compared, and on a nil Recorder.
func (r *Recorder) Begin(route, version string, now time.Time) *Attempt {
	cell := r.cell(route, version)
	if cell == nil {
		return nil
	}
	a := &Attempt{cell: cell, start: now}
	cell.waiting.add(a)
	return a
}

// Head says that the head of the answer has come. The time until then is the
// latency of the attempt, however long the rest of the answer takes.
func (a *Attempt) Head(now time.Time) {
	if a == nil {
		return
	}
	w := &a.cell.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.waits {
		w.remove(a)
		a.latency = now.Sub(a.start)
	}
}

// End counts the attempt. Only the first call counts.
func (a *Attempt) End(now time.Time, result Result) {
	if a == nil {
		return
	}
	w := &a.cell.waiting
	w.mu.Lock()
	if a.waits {
		w.remove(a)
		a.latency = now.Sub(a.start)
	}
	counted := a.counted
	a.counted = true
	w.mu.Unlock()
	if !counted && result != Ignored {
		a.cell.add(result == Failed, a.latency)
	}
}

// waitList holds the attempts without an answer in the order of their start.
type waitList struct {
	mu    sync.Mutex
	first *Attempt
	last  *Attempt
}

func (w *waitList) add(a *Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.waits = true
	a.prev = w.last
	if w.last == nil {
		w.first = a
	} else {
		w.last.next = a
	}
	w.last = a
}

// remove takes an attempt out of the list. The mutex is held.
func (w *waitList) remove(a *Attempt) {
	a.waits = false
	if a.prev == nil {
		w.first = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		w.last = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.prev = nil
	a.next = nil
}

// countOverdue counts the attempts that began before the given time as slow
// answers in the bucket.
func (c *cell) countOverdue(begunBefore time.Time, bucket int) {
	w := &c.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.first != nil && w.first.start.Before(begunBefore) {
		a := w.first
		w.remove(a)
		a.counted = true
		c.latency[bucket].Add(1)
		c.requests.Add(1)
	}
}
