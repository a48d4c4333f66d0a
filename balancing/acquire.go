package balancing

import (
	"context"
	"time"

	"samphireferry.example/ferry/errkind"
)

// slotTimeWeight is the weight of a new sample in the average slot time.
const slotTimeWeight = 1.0 / 16

// Acquire returns a lease on an upstream, waiting in the queue while no slot is free.
// The kind of its error is NoUpstream, Overloaded, QueueTimeout, DeadlineExceeded or
// CallerGone.
func (p *Pool) Acquire(ctx context.Context, t Ticket) (Lease, error) {
	lease, w, err := p.acquireOrEnqueue(ctx, t)
	if w == nil {
		return lease, err
	}
	return p.wait(ctx, w)
}

// acquireOrEnqueue leases a free slot or joins the queue.
func (p *Pool) acquireOrEnqueue(ctx context.Context, t Ticket) (Lease, *waiter, error) {
	now := p.options.Now()
	if err := ctx.Err(); err != nil {
		return Lease{}, nil, contextError(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serveQueue(now)
	m, usable := p.pick(now)
	if m != nil && p.queue.length == 0 {
		return p.lease(m, t, nil, 0, now), nil, nil
	}
	if !usable {
		return Lease{}, nil, errkind.New(errkind.NoUpstream, "")
	}
	w, err := p.enqueue(ctx, t, now)
	return Lease{}, w, err
}

func (p *Pool) enqueue(ctx context.Context, t Ticket, now time.Time) (*waiter, error) {
	deadline := now.Add(p.options.QueueTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if p.expectedWait(t) > deadline.Sub(now) {
		return nil, errkind.New(errkind.Overloaded, "the queue is too long for the deadline")
	}
	if p.queue.length >= p.queueLength() && !p.evictFor(t) {
		return nil, errkind.New(errkind.Overloaded, "the queue is full")
	}
	w := &waiter{ticket: t, deadline: deadline, ready: make(chan Lease, 1)}
	p.queue.push(w)
	return w, nil
}

func (p *Pool) queueLength() int {
	if p.options.QueueLength > 0 {
		return p.options.QueueLength
	}
	return max(minQueueLength, queuePerSlot*p.slots)
}

// expectedWait estimates the wait of a new request of the customer: the slot time of
// the customer's waiting requests, divided by the customer's fair share of the slots.
func (p *Pool) expectedWait(t Ticket) time.Duration {
	f := p.queue.flows[flowKey{t.Customer, t.Deferrable}]
	if f == nil || p.slots == 0 {
		return 0
	}
	weights := 0.0
	for _, other := range p.queue.flows {
		if len(other.waiters) > 0 && other.key.deferrable == f.key.deferrable {
			weights += other.waiters[0].ticket.weight()
		}
	}
	customerSlots := float64(p.slots) * t.weight() / max(weights, t.weight())
	seconds := float64(len(f.waiters)) * p.meanSlotTime / customerSlots
	return time.Duration(seconds * float64(time.Second))
}

// evictFor evicts another waiter in favour of the newcomer if that is fair, and reports
// whether it did.
func (p *Pool) evictFor(t Ticket) bool {
	victim := p.queue.victim(t)
	if victim == nil {
		return false
	}
	p.queue.remove(victim)
	victim.ready <- Lease{}
	return true
}

func (p *Pool) wait(ctx context.Context, w *waiter) (Lease, error) {
	timer := time.NewTimer(p.nextWake(w))
	defer timer.Stop()
	for {
		select {
		case lease := <-w.ready:
			return leaseOrEvicted(lease)
		case <-ctx.Done():
			return p.leaveQueue(ctx, w)
		case <-timer.C:
		}
		if !p.options.Now().Before(w.deadline) {
			return p.leaveQueue(ctx, w)
		}
		timer.Reset(p.nextWake(w))
	}
}

// nextWake assigns the slots that became available by the passing of time, such as the
// end of a pause, and returns the time until the waiter has to check again.
func (p *Pool) nextWake(w *waiter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.serveQueue(now)
	next := w.deadline
	for _, m := range p.members {
		if at := m.pauseEnd(now); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next.Sub(now)
}

// leaveQueue ends a wait, unless the waiter has received a lease in the meantime.
func (p *Pool) leaveQueue(ctx context.Context, w *waiter) (Lease, error) {
	p.mu.Lock()
	removed := p.queue.remove(w)
	p.mu.Unlock()
	if removed {
		return Lease{}, waitError(ctx, w)
	}
	lease, err := leaseOrEvicted(<-w.ready)
	if err != nil || ctx.Err() == nil {
		return lease, err
	}
	lease.Release(ResultCanceled)
	return Lease{}, contextError(ctx)
}

func leaseOrEvicted(lease Lease) (Lease, error) {
	if lease.record == nil {
		return Lease{}, errkind.New(errkind.Overloaded, "the queue is full")
	}
	return lease, nil
}

func waitError(ctx context.Context, w *waiter) error {
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	if d, ok := ctx.Deadline(); ok && !d.After(w.deadline) {
		return errkind.New(errkind.DeadlineExceeded, "")
	}
	return errkind.New(errkind.QueueTimeout, "")
}

func contextError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return errkind.New(errkind.CallerGone, "")
	}
	return errkind.New(errkind.DeadlineExceeded, "")
}

// serveQueue assigns free slots to waiters in fair order.
func (p *Pool) serveQueue(now time.Time) {
	for p.queue.length > 0 {
		m, _ := p.pick(now)
		if m == nil {
			return
		}
		f := p.queue.next()
		w := p.queue.pop(f, p.meanSlotTime)
		w.ready <- p.lease(m, w.ticket, f, p.meanSlotTime, now)
	}
	p.queue.sweep()
}

// release ends a lease and assigns its slot to the next waiter.
func (p *Pool) release(l Lease, result Result) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := l.record
	if r.generation != l.generation {
		return
	}
	r.generation++
	p.freeSlot(r, now)
	p.recordResult(r.member, result, now.Sub(r.started), now)
	r.member, r.flow = nil, nil
	p.freeRecords = append(p.freeRecords, r)
	p.serveQueue(now)
}

// freeSlot frees the slot and charges the customer for the slot time used.
func (p *Pool) freeSlot(r *leaseRecord, now time.Time) {
	r.member.inUse--
	p.inUse--
	p.dropRetired(r.member)
	p.options.Checker.Check(r.member.inUse >= 0, InvariantCount, r.member.upstream.Name)
	used := now.Sub(r.started).Seconds()
	p.meanSlotTime += (used - p.meanSlotTime) * slotTimeWeight
	if r.flow == nil {
		return
	}
	r.flow.leases--
	r.flow.startTag = max(0, r.flow.startTag+(used-r.cost)/r.weight)
	p.queue.dropIfIdle(r.flow)
}

// dropRetired drops a removed upstream once its last request has ended.
func (p *Pool) dropRetired(m *member) {
	if m.inUse == 0 && p.retired[m.upstream.Name] == m {
		delete(p.retired, m.upstream.Name)
	}
}

// recordResult updates the limit and the health of the upstream with the result of a
// request.
func (p *Pool) recordResult(m *member, result Result, latency time.Duration, now time.Time) {
	switch result {
	case ResultOK:
		m.limiter.recordSuccess(m.inUse+1, latency, now)
		if m.health.recordSuccess(now) {
			m.limiter.startRamp(now, p.options.Ramp)
		}
	case ResultError:
		if m.health.recordErrorStatus() && p.canEject(m, now) {
			m.health.eject(now)
		}
	case ResultFailed, ResultUnreachable:
		m.limiter.recordFailure(now)
		m.health.recordFailure(now)
	case ResultShed:
		m.limiter.recordShed(now)
	}
}

// canEject reports whether at least half of the slots are usable without m. An error
// status may be caused by the request, so error statuses never eject most upstreams.
func (p *Pool) canEject(m *member, now time.Time) bool {
	usable := 0
	for _, other := range p.members {
		if other != m && other.allowed(now) > 0 {
			usable += other.upstream.Slots
		}
	}
	return 2*usable >= p.slots
}
