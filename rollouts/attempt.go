package rollouts

import (
	"sync"
	"time"
)

// Attempt is one request that is in flight to an upstream. A nil Attempt
// counts nothing.
//
// An attempt that takes longer than the bound for slow responses is counted as
// slow when it passes the bound, not when it ends, so that a version that never
// responds is detected early. Attempts of both versions are counted by the same
// rule.
type Attempt struct {
	counters *counters
	start    time.Time
	latency  time.Duration
	// pending is set while the attempt is in the pending list of its counters,
	// counted once the attempt has been counted or must not be counted any more.
	pending bool
	counted bool
	prev    *Attempt
	next    *Attempt
}

// Begin starts an attempt without counting it; the caller must end it with End.
// It returns nil for versions or routes that are not compared, and on a nil
// Recorder.
func (r *Recorder) Begin(route, version string, now time.Time) *Attempt {
	counters := r.counters(route, version)
	if counters == nil {
		return nil
	}
	a := &Attempt{counters: counters, start: now}
	counters.pending.add(a)
	return a
}

// ResponseStarted records that the response head has arrived. The time until then
// is the latency of the attempt, however long the rest of the response takes.
func (a *Attempt) ResponseStarted(now time.Time) {
	if a == nil {
		return
	}
	list := &a.counters.pending
	list.mu.Lock()
	defer list.mu.Unlock()
	if a.pending {
		list.remove(a)
		a.latency = now.Sub(a.start)
	}
}

// End counts the attempt, unless its result is Ignored or it was counted
// already. Only the first call has an effect.
func (a *Attempt) End(now time.Time, result Result) {
	if a == nil {
		return
	}
	list := &a.counters.pending
	list.mu.Lock()
	if a.pending {
		list.remove(a)
		a.latency = now.Sub(a.start)
	}
	counted := a.counted
	a.counted = true
	list.mu.Unlock()
	if !counted && result != Ignored {
		a.counters.record(result == Failed, a.latency)
	}
}

// pendingList holds the attempts without a response in the order of their
// start.
type pendingList struct {
	mu    sync.Mutex
	first *Attempt
	last  *Attempt
}

func (l *pendingList) add(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.pending = true
	a.prev = l.last
	if l.last == nil {
		l.first = a
	} else {
		l.last.next = a
	}
	l.last = a
}

// remove removes an attempt from the list. The caller holds the mutex.
func (l *pendingList) remove(a *Attempt) {
	a.pending = false
	if a.prev == nil {
		l.first = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		l.last = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.prev = nil
	a.next = nil
}

// countOverdue counts the pending attempts that began before the given time as
// slow responses in the bucket.
func (c *counters) countOverdue(startedBefore time.Time, bucket int) {
	list := &c.pending
	list.mu.Lock()
	defer list.mu.Unlock()
	for list.first != nil && list.first.start.Before(startedBefore) {
		a := list.first
		list.remove(a)
		a.counted = true
		c.latency[bucket].Add(1)
		c.requests.Add(1)
	}
}
