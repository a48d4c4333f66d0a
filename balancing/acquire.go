package balancing

import (
	"context"
	"time"

	"samphireferry.example/ferry/errkind"
)

// serviceWeight is the weight of a new sample in the average slot time.
const serviceWeight = 1.0 / 16

// Acquire returns a lease on an upstream, after a wait in the queue when no slot
// is free. The kind of its error is NoUpstream, Overloaded, QueueTimeout,
// DeadlineExceeded or CallerGone.
func (p *Pool) Acquire(ctx context.Context, t Ticket) (Lease, error) {
	lease, w, err := p.start(ctx, t)
	if w == nil {
		return lease, err
	}
	return p.wait(ctx, w)
}

// start takes a free slot or joins the queue.
func (p *Pool) start(ctx context.Context, t Ticket) (Lease, *waiter, error) {
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

// expectedWait estimates the wait of a new request of the customer: the slot
// time of its own waiting requests, at the customer's part of the slots.
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
	part := float64(p.slots) * t.weight() / max(weights, t.weight())
	seconds := float64(len(f.waiters)) * p.service / part
	return time.Duration(seconds * float64(time.Second))
}

// evictFor refuses another waiter in favour of the newcomer, if that is fair.
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
			return evictedOr(lease)
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

// nextWake gives out the slots that time alone has freed and returns the time
// until the waiter has to look again.
func (p *Pool) nextWake(w *waiter) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.serveQueue(now)
	next := w.deadline
	for _, m := range p.members {
		if at := m.pauseEnds(now); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next.Sub(now)
}

// leaveQueue ends a wait, unless a lease has been given in the meantime.
func (p *Pool) leaveQueue(ctx context.Context, w *waiter) (Lease, error) {
	p.mu.Lock()
	removed := p.queue.remove(w)
	p.mu.Unlock()
	if removed {
		return Lease{}, waitError(ctx, w)
	}
	lease, err := evictedOr(<-w.ready)
	if err != nil || ctx.Err() == nil {
		return lease, err
	}
	lease.Release(ResultCanceled)
	return Lease{}, contextError(ctx)
}

func evictedOr(lease Lease) (Lease, error) {
	if lease.grant == nil {
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

// serveQueue gives free slots to waiters, in fair order.
func (p *Pool) serveQueue(now time.Time) {
	for p.queue.length > 0 {
		m, _ := p.pick(now)
		if m == nil {
			return
		}
		f := p.queue.next()
		w := p.queue.pop(f, p.service)
		w.ready <- p.lease(m, w.ticket, f, p.service, now)
	}
	p.queue.sweep()
}

// release ends a lease and gives its slot to the next waiter.
func (p *Pool) release(l Lease, result Result) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := l.grant
	if g.generation != l.generation {
		return
	}
	g.generation++
	p.settle(g, now)
	p.judge(g.member, result, now.Sub(g.started), now)
	g.member, g.flow = nil, nil
	p.free = append(p.free, g)
	p.serveQueue(now)
}

// settle frees the slot and charges the customer for the slot time it used.
func (p *Pool) settle(g *grant, now time.Time) {
	g.member.inUse--
	p.inUse--
	p.dropRetired(g.member)
	p.options.Checker.Check(g.member.inUse >= 0, InvariantCount, g.member.upstream.Name)
	used := now.Sub(g.started).Seconds()
	p.service += (used - p.service) * serviceWeight
	if g.flow == nil {
		return
	}
	g.flow.leases--
	g.flow.tag = max(0, g.flow.tag+(used-g.cost)/g.weight)
	p.queue.forget(g.flow)
}

// dropRetired forgets a removed upstream once its last request has ended.
func (p *Pool) dropRetired(m *member) {
	if m.inUse == 0 && p.retired[m.upstream.Name] == m {
		delete(p.retired, m.upstream.Name)
	}
}

// judge draws conclusions about the upstream from the result of a request.
func (p *Pool) judge(m *member, result Result, latency time.Duration, now time.Time) {
	switch result {
	case ResultOK:
		m.limiter.succeed(m.inUse+1, latency, now)
		if m.health.succeed(now) {
			m.limiter.startRamp(now, p.options.Ramp)
		}
	case ResultError:
		if m.health.answerError() && p.canSpare(m, now) {
			m.health.eject(now)
		}
	case ResultFailed, ResultUnreachable:
		m.limiter.fail(now)
		m.health.fail(now)
	case ResultShed:
		m.limiter.shed(now)
	}
}

// canSpare says whether at least half of the slots are usable without m. An
// error status may be due to the request, so it never ejects most upstreams.
func (p *Pool) canSpare(m *member, now time.Time) bool {
	usable := 0
	for _, other := range p.members {
		if other != m && other.allowed(now) > 0 {
			usable += other.upstream.Slots
		}
	}
	return 2*usable >= p.slots
}
