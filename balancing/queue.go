package balancing

import (
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	ticket   Ticket
	flow     *flow
	deadline time.Time
	// ready receives the lease, or the zero Lease when the waiter is evicted.
	ready chan Lease
}

// flow is the queue of one customer in one class (deferrable or not).
type flow struct {
	key     flowKey
	waiters []*waiter
	// startTag is the virtual start time of the next waiter, in seconds of slot time
	// divided by weight.
	startTag float64
	leases   int
}

type flowKey struct {
	customer   string
	deferrable bool
}

// fairQueue implements start-time fair queueing; the pool bounds its length. Waiters
// that are not deferrable come first; within a class the flow with the smallest start
// tag is next.
type fairQueue struct {
	flows  map[flowKey]*flow
	length int
	// virtual is the virtual time of each class, indexed by classOf.
	virtual [2]float64
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[flowKey]*flow{}} }

func classOf(deferrable bool) int {
	if deferrable {
		return 1
	}
	return 0
}

func (q *fairQueue) flowOf(t Ticket) *flow {
	key := flowKey{t.Customer, t.Deferrable}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key}
		q.flows[key] = f
	}
	return f
}

func (q *fairQueue) push(w *waiter) {
	f := q.flowOf(w.ticket)
	if len(f.waiters) == 0 {
		f.startTag = max(f.startTag, q.virtual[classOf(f.key.deferrable)])
	}
	w.flow = f
	f.waiters = append(f.waiters, w)
	q.length++
}

// next returns the flow whose first waiter is served next, or nil.
func (q *fairQueue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiters) > 0 && (best == nil || servedBefore(f, best)) {
			best = f
		}
	}
	return best
}

func servedBefore(a, b *flow) bool {
	if a.key.deferrable != b.key.deferrable {
		return b.key.deferrable
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.key.customer < b.key.customer
}

// pop removes the first waiter of the flow and charges the flow for its cost, in seconds
// of slot time.
func (q *fairQueue) pop(f *flow, cost float64) *waiter {
	w := f.waiters[0]
	f.waiters[0] = nil
	f.waiters = f.waiters[1:]
	q.length--
	class := classOf(f.key.deferrable)
	q.virtual[class] = max(q.virtual[class], f.startTag)
	f.startTag += cost / w.ticket.weight()
	return w
}

// remove removes a waiter from the queue. It returns false if it is no longer queued.
func (q *fairQueue) remove(w *waiter) bool {
	for i, other := range w.flow.waiters {
		if other != w {
			continue
		}
		w.flow.waiters = append(w.flow.waiters[:i], w.flow.waiters[i+1:]...)
		q.length--
		q.dropIfIdle(w.flow)
		return true
	}
	return false
}

// victim returns the waiter to evict for the newcomer: the newest one of the flow that
// is longest relative to its weight. It returns nil if the newcomer itself is to be
// refused. Deferrable waiters are evicted first.
func (q *fairQueue) victim(newcomer Ticket) *waiter {
	var longest *flow
	for _, f := range q.flows {
		if len(f.waiters) > 0 && (longest == nil || evictBefore(f, longest)) {
			longest = f
		}
	}
	if longest == nil {
		return nil
	}
	last := longest.waiters[len(longest.waiters)-1]
	if newcomer.Deferrable && !longest.key.deferrable {
		return nil
	}
	if newcomer.Deferrable == longest.key.deferrable && q.lengthWith(newcomer) >= relativeLength(longest) {
		return nil
	}
	return last
}

func evictBefore(a, b *flow) bool {
	if a.key.deferrable != b.key.deferrable {
		return a.key.deferrable
	}
	if la, lb := relativeLength(a), relativeLength(b); la != lb {
		return la > lb
	}
	return a.key.customer > b.key.customer
}

func relativeLength(f *flow) float64 {
	return float64(len(f.waiters)) / f.waiters[0].ticket.weight()
}

// lengthWith returns the relative length of the newcomer's flow once it has joined.
func (q *fairQueue) lengthWith(t Ticket) float64 {
	n := 1
	if f := q.flows[flowKey{t.Customer, t.Deferrable}]; f != nil {
		n += len(f.waiters)
	}
	return float64(n) / t.weight()
}

// dropIfIdle drops the flow if it no longer affects any decision.
func (q *fairQueue) dropIfIdle(f *flow) {
	idle := len(f.waiters) == 0 && f.leases == 0
	if idle && f.startTag <= q.virtual[classOf(f.key.deferrable)] {
		delete(q.flows, f.key)
	}
}

// sweep drops the flows without leases once the queue is empty. It raises the virtual
// time of each class to the largest start tag, so that past use no longer counts.
func (q *fairQueue) sweep() {
	if q.length > 0 {
		return
	}
	for _, f := range q.flows {
		class := classOf(f.key.deferrable)
		q.virtual[class] = max(q.virtual[class], f.startTag)
		if f.leases == 0 {
			delete(q.flows, f.key)
		}
	}
}
