package balancing

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/routing"
)

// The invariants of a Pool.
const (
	// InvariantSlots requires that an upstream runs no more requests than it has slots.
	InvariantSlots invariant.Name = "upstream_in_use_within_slots"
	// InvariantDrained requires that a draining or removed upstream gets no lease.
	InvariantDrained invariant.Name = "no_lease_on_drained_upstream"
	// InvariantCount requires that the number of running requests is never negative.
	InvariantCount invariant.Name = "upstream_in_use_not_negative"
)

// Defaults of PoolOptions.
const (
	defaultQueueTimeout = 200 * time.Millisecond
	defaultRamp         = 10 * time.Second
	// adoptionRamp is the ramp of an upstream that had another owner.
	adoptionRamp   = 1 * time.Second
	minQueueLength = 16
	queuePerSlot   = 4
)

// PoolOptions are the settings of a Pool. Zero values stand for the defaults.
type PoolOptions struct {
	// QueueTimeout bounds the wait for a slot. Default 200 ms.
	QueueTimeout time.Duration
	// QueueLength bounds the number of waiting requests. Default 4 per slot, but at
	// least 16.
	QueueLength int
	// Ramp is the time over which the limit of a cold upstream rises to its slots.
	// Default 10 s.
	Ramp time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Rand breaks ties between upstreams. The default has a fixed seed.
	Rand *rand.Rand
	// Checker receives violations of invariants; it may be nil.
	Checker *invariant.Checker
}

// Pool holds the upstreams of one service version that this instance owns. It
// is safe for concurrent use.
type Pool struct {
	options PoolOptions

	mu      sync.Mutex
	members []*member
	byName  map[string]*member
	// retired are members that are no longer listed but have requests running.
	retired map[string]*member
	leaving map[string]bool
	queue   *fairQueue
	slots   int
	inUse   int
	// meanSlotTime is a moving average of the slot time of a request, in seconds.
	meanSlotTime float64
	freeRecords  []*leaseRecord
}

// NewPool returns a pool without upstreams.
func NewPool(options PoolOptions) *Pool {
	options.QueueTimeout = cmp.Or(options.QueueTimeout, defaultQueueTimeout)
	options.Ramp = cmp.Or(options.Ramp, defaultRamp)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Pool{options: options, byName: map[string]*member{}, queue: newFairQueue()}
}

// Update sets the upstreams of the pool. Upstreams that stay keep their state, as do
// those that return while requests are still running on them. Running requests of
// removed upstreams are not affected.
func (p *Pool) Update(upstreams []*routing.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName
	maps.Copy(old, p.retired)
	p.retired = map[string]*member{}
	p.byName = make(map[string]*member, len(upstreams))
	p.members = make([]*member, 0, len(upstreams))
	p.slots = 0
	for _, u := range upstreams {
		m := reuseOrNew(old[u.Name], u)
		m.health.leaving = p.leaving[u.Name]
		p.byName[u.Name] = m
		p.members = append(p.members, m)
		p.slots += u.Slots
	}
	for name, m := range old {
		m.removed = p.byName[name] != m
		if m.removed && m.inUse > 0 {
			p.retired[name] = m
		}
	}
	p.serveQueue(p.options.Now())
}

// reuseOrNew returns the member for the upstream: the old one, unless the address or the
// version has changed.
func reuseOrNew(old *member, u *routing.Upstream) *member {
	if old == nil || old.upstream.Address != u.Address || old.upstream.Version != u.Version {
		return &member{upstream: u, limiter: newLimiter(u.Slots)}
	}
	old.limiter.resize(u.Slots)
	old.upstream = u
	return old
}

// MarkCold starts the ramp of an upstream that is new, restarted or has a new address.
func (p *Pool) MarkCold(upstream string) { p.startRamp(upstream, p.options.Ramp) }

// MarkAdopted starts the short ramp of an upstream whose previous owner may still
// have requests running on it.
func (p *Pool) MarkAdopted(upstream string) { p.startRamp(upstream, adoptionRamp) }

func (p *Pool) startRamp(upstream string, ramp time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.byName[upstream]; m != nil {
		m.limiter.startRamp(p.options.Now(), ramp)
	}
}

// SetLeaving sets the upstreams that the platform lists as leaving. The map must
// not be changed afterwards.
func (p *Pool) SetLeaving(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = names
	for _, m := range p.members {
		m.health.leaving = names[m.upstream.Name]
	}
	p.serveQueue(p.options.Now())
}

// Observe applies the result of a probe.
func (p *Pool) Observe(result ProbeResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byName[result.Upstream]
	if m == nil {
		return
	}
	now := p.options.Now()
	wasDown := m.health.probeFailed && now.Sub(m.health.lastSuccess) > maxEvidenceAge
	m.health.probeFailed = !result.Healthy
	m.health.draining = result.Draining
	becameCold := result.Cold && !m.health.cold
	m.health.cold = result.Cold
	if result.Load >= 0 {
		m.limiter.recordLoad(result.Load, m.inUse, result.At)
	}
	if result.Healthy && (becameCold || wasDown) {
		m.limiter.startRamp(now, p.options.Ramp)
	}
	p.serveQueue(now)
}

// PoolLoad is the load of a pool at one point in time.
type PoolLoad struct {
	// Slots is the number of requests that the upstreams may run concurrently, ignoring
	// short pauses after refusals.
	Slots int
	// InUse is the number of running requests.
	InUse int
	// Queued is the number of waiting requests.
	Queued int
}

// Load returns the current load of the pool.
func (p *Pool) Load() PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	load := PoolLoad{InUse: p.inUse, Queued: p.queue.length}
	for _, m := range p.members {
		load.Slots += m.capacity(now)
	}
	return load
}

// pick returns the upstream with the lowest utilization among those with a free slot, or
// nil. usable is false if no upstream would accept a request even if it were idle.
func (p *Pool) pick(now time.Time) (best *member, usable bool) {
	bestUtilization := 1.0
	n := len(p.members)
	start := 0
	if n > 1 {
		start = p.options.Rand.IntN(n)
	}
	for i := range n {
		m := p.members[(start+i)%n]
		allowed := m.allowed(now)
		usable = usable || allowed > 0 || !m.stopped() && m.limiter.paused(now)
		if allowed <= m.inUse {
			continue
		}
		utilization := float64(m.inUse) / float64(allowed)
		if utilization < bestUtilization {
			best, bestUtilization = m, utilization
		}
	}
	if usable {
		return best, true
	}
	return p.pickLastResort(now)
}

// pickLastResort returns an idle upstream for which nothing but its probe indicates a
// fault, or nil.
func (p *Pool) pickLastResort(now time.Time) (*member, bool) {
	usable := false
	for _, m := range p.members {
		if m.stopped() || !m.health.usableAsLastResort() || m.limiter.current(now) == 0 {
			continue
		}
		usable = true
		if m.inUse == 0 {
			return m, true
		}
	}
	return nil, usable
}

func (p *Pool) lease(m *member, t Ticket, f *flow, cost float64, now time.Time) Lease {
	p.options.Checker.Check(!m.stopped(), InvariantDrained, m.upstream.Name)
	m.inUse++
	p.inUse++
	if m.inUse > m.upstream.Slots {
		p.options.Checker.Check(false, InvariantSlots, fmt.Sprintf("%s: %d of %d", m.upstream.Name, m.inUse, m.upstream.Slots))
	}
	if f != nil {
		f.leases++
	}
	r := p.newRecord()
	r.member, r.flow, r.started = m, f, now
	r.cost, r.weight = cost, t.weight()
	return Lease{Upstream: m.upstream, record: r, generation: r.generation}
}

func (p *Pool) newRecord() *leaseRecord {
	if n := len(p.freeRecords); n > 0 {
		r := p.freeRecords[n-1]
		p.freeRecords = p.freeRecords[:n-1]
		return r
	}
	return &leaseRecord{pool: p, generation: 1}
}
