package overload_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/registry"
)

const (
	regions        = 3
	domains        = 6
	queuePerSlot   = 3
	cachedObjects  = 22
	warmWork       = 0.25
	regionLatency  = 12 * time.Millisecond
	heartbeats     = time.Second
	maxReturns     = 3
	impatientPause = 60 * time.Millisecond
	impatientTries = 6
)

// service is a service of a simulated fleet.
type service struct {
	name string
	// upstreams is the number by region.
	upstreams []int
	slots     int
}

// kind is a kind of requests of one customer.
type kind struct {
	name string
	// service is where the requests go.
	service   string
	customer  string
	priority  int
	objects   int
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	// perSecond is the number of new requests a second after the elapsed time.
	perSecond func(elapsed time.Duration) float64
	// impatient is set for callers that return much earlier than they are told.
	impatient bool
}

// outcome counts the callers of one kind.
type outcome struct{ callers, served, inObjective, attempts int }

func (o *outcome) share() float64 { return float64(o.served) / float64(max(o.callers, 1)) }

func (o *outcome) String() string {
	return fmt.Sprintf("%.3f of %d served, %.3f in the objective, %.2f attempts", o.share(), o.callers, float64(o.inObjective)/float64(max(o.callers, 1)), float64(o.attempts)/float64(max(o.callers, 1)))
}

// fleet is a fleet of instances before the upstreams of its services, in simulated time.
type fleet struct {
	instances int
	services  []service
	kinds     []*kind
	// gated is set when the instances decide with a Gate.
	gated bool
	// lostFrom and lostUntil are when half of the upstreams are away.
	lostFrom, lostUntil time.Duration
	// cutFrom and cutUntil are when the last region is cut off from the others.
	cutFrom, cutUntil time.Duration
	countFrom         time.Duration

	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventQueue
	pools    []*placement.Pool
	gates    []*overload.Gate
	nodes    map[string]*node
	outcomes map[string]*outcome
	// byRegion counts by the region of the caller.
	byRegion []outcome
}

type node struct {
	region  int
	slots   int
	lost    bool
	running int
	waiting []*attempt
	warm    []uint64
}

// call is what one caller wants, with its returns.
type call struct {
	kind     *kind
	region   int
	object   uint64
	at       time.Time
	returns  int
	finished bool
}

type attempt struct {
	call     *call
	instance int
	service  string
	tried    []string
	lease    *placement.Lease
	node     *node
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) { heap.Push(&f.events, event{f.now.Add(d), run}) }

func (f *fleet) every(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		f.after(interval, next)
	}
	f.after(time.Duration(f.random.Float64()*float64(interval)), next)
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

func (f *fleet) cut() bool { return f.elapsed() >= f.cutFrom && f.elapsed() < f.cutUntil }

// connected reports whether the regions can reach each other.
func (f *fleet) connected(a, b int) bool {
	return !f.cut() || (a == regions-1) == (b == regions-1)
}

func (f *fleet) run(seed uint64, duration time.Duration) {
	f.random = rand.New(rand.NewPCG(seed, 9))
	f.start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.now = f.start
	f.nodes, f.outcomes, f.byRegion = map[string]*node{}, map[string]*outcome{}, make([]outcome, regions)
	byDomain := map[string]string{}
	for n := range domains {
		byDomain[fmt.Sprint("d", n)] = fmt.Sprint(n % regions)
	}
	var entries []*registry.Upstream
	priorities := map[string]overload.Priorities{}
	for _, s := range f.services {
		priorities[s.name] = overload.Priorities{}
		for region, count := range s.upstreams {
			for n := range count {
				id := fmt.Sprintf("%s-%d-%d", s.name, region, n)
				f.nodes[id] = &node{region: region, slots: s.slots}
				entries = append(entries, &registry.Upstream{Entry: registry.Entry{ID: id, Address: id, Service: s.name, FailureDomain: fmt.Sprint("d", region+n%2*regions), Slots: s.slots}})
			}
		}
	}
	for _, k := range f.kinds {
		priorities[k.service][k.priority] = k.timeout
		f.outcomes[k.name] = &outcome{}
		f.arrive(k)
	}
	for i := range f.instances {
		p := placement.NewPool(placement.Location{FailureDomain: fmt.Sprint("d", i%domains), Region: fmt.Sprint(i % regions)})
		p.Configure(placement.Settings{Regions: byDomain, Senders: f.instances / regions})
		p.Update(entries, nil)
		g := overload.NewGate(f.random.Float64)
		g.Configure(priorities)
		f.pools, f.gates = append(f.pools, p), append(f.gates, g)
		f.every(time.Second, func() { f.stepShares(p) })
		f.every(heartbeats, func() { f.exchange(i) })
	}
	if f.lostUntil > 0 {
		f.after(f.lostFrom, func() { f.setLost(entries, true) })
		f.after(f.lostUntil, func() { f.setLost(entries, false) })
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		if f.elapsed() > duration {
			return
		}
		next.run()
	}
}

// setLost takes every second upstream away or returns it, with empty caches.
func (f *fleet) setLost(entries []*registry.Upstream, lost bool) {
	var changed []*registry.Upstream
	var gone []string
	for i, u := range entries {
		if i%2 == 1 {
			continue
		}
		n := f.nodes[u.ID]
		n.lost, n.warm = lost, nil
		gone, changed = append(gone, u.ID), append(changed, u)
	}
	for _, p := range f.pools {
		if lost {
			p.Update(nil, gone)
		} else {
			p.Update(changed, nil)
		}
	}
}

func (f *fleet) stepShares(p *placement.Pool) {
	demand := map[string]placement.Demand{}
	for _, k := range f.kinds {
		if demand[k.service] == nil {
			demand[k.service] = placement.Demand{}
		}
		for region := range regions {
			demand[k.service][fmt.Sprint(region)] += k.perSecond(f.elapsed()) / regions
		}
	}
	p.StepShares(f.now, demand, nil)
}

// exchange passes the reports of an instance on within its failure domain.
func (f *fleet) exchange(i int) {
	reports := f.pools[i].Reports(f.now, heartbeats*6/5)
	for other := i % domains; other < f.instances; other += domains {
		if other != i {
			f.pools[other].MergeReports(f.now, reports)
		}
	}
}

func (f *fleet) arrive(k *kind) {
	const idle = 100 * time.Millisecond
	rate := k.perSecond(f.elapsed())
	if rate <= 0 {
		f.after(idle, func() { f.arrive(k) })
		return
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := &call{kind: k, region: f.random.IntN(regions), at: f.now}
		c.object = xxhash.Sum64String(fmt.Sprint(k.name, f.random.IntN(k.objects)))
		if f.elapsed() >= f.countFrom {
			f.outcomes[k.name].callers++
			f.byRegion[c.region].callers++
		} else {
			c.finished = true
		}
		f.send(c)
		f.arrive(k)
	})
}

// send sends an attempt of the caller to a random instance of its region.
func (f *fleet) send(c *call) {
	if !c.finished {
		f.outcomes[c.kind.name].attempts++
	}
	i := c.region + regions*f.random.IntN(f.instances/regions)
	a := &attempt{call: c, instance: i, service: c.kind.service}
	if d := f.decide(a); !d.Admitted {
		f.refuse(c, d.RetryAfter)
		return
	}
	f.place(a)
}

// decide decides whether the attempt may go to its service.
func (f *fleet) decide(a *attempt) overload.Decision {
	if !f.gated {
		return overload.Decision{Admitted: true}
	}
	return f.gates[a.instance].Decide(f.now, f.request(a), func() overload.Room { return f.room(a) })
}

func (f *fleet) room(a *attempt) overload.Room {
	utilization, serviceTime, known := f.pools[a.instance].Room(f.now, placement.Query{Service: a.service})
	return overload.Room{Known: known, Utilization: utilization, ServiceTime: serviceTime}
}

func (c *call) left(now time.Time) time.Duration { return c.kind.timeout - now.Sub(c.at) }

func (f *fleet) request(a *attempt) overload.Request {
	k := a.call.kind
	return overload.Request{
		Service: a.service, Priority: k.priority, Customer: k.customer, Object: a.call.object, HasObject: true,
		Objective: k.objective, Timeout: k.timeout, Left: a.call.left(f.now),
	}
}

// refuse makes the caller return after the time, or much earlier if it is impatient.
func (f *fleet) refuse(c *call, after time.Duration) {
	left := c.left(f.now)
	tries := maxReturns
	if c.kind.impatient {
		after, tries = impatientPause, impatientTries
	}
	if c.returns >= tries || after > left/3 {
		return
	}
	c.returns++
	f.after(after, func() { f.send(c) })
}

func (f *fleet) place(a *attempt) {
	lease, refusal := f.pools[a.instance].Acquire(f.now, placement.Query{Service: a.service, Object: a.call.object, Tried: a.tried, TimeLeft: a.call.left(f.now)})
	if refusal != placement.Chosen {
		f.refuse(a.call, f.retryAfter(a))
		return
	}
	n := f.nodes[lease.Upstream.Name]
	a.lease, a.node = lease, n
	a.tried = append(a.tried, lease.Upstream.Name)
	if n.lost || !f.connected(n.region, a.call.region) {
		f.after(regionLatency, func() {
			lease.Release(f.now, placement.Unreachable, placement.Load{})
			f.tryAgain(a)
		})
		return
	}
	f.after(f.latency(a), func() { f.reach(a) })
}

func (f *fleet) tryAgain(a *attempt) {
	if len(a.tried) < 3 && a.call.left(f.now) > 0 {
		f.place(a)
		return
	}
	f.refuse(a.call, f.retryAfter(a))
}

func (f *fleet) retryAfter(a *attempt) time.Duration {
	if f.gated {
		return max(overload.MinRetryAfter, f.gates[a.instance].RetryAfter(f.request(a)))
	}
	return overload.MinRetryAfter
}

func (f *fleet) latency(a *attempt) time.Duration {
	if a.node.region != a.call.region {
		return regionLatency
	}
	return time.Millisecond
}

func (f *fleet) reach(a *attempt) {
	n := a.node
	switch {
	case n.running < n.slots:
		f.serve(a)
	case len(n.waiting) < queuePerSlot*n.slots:
		n.waiting = append(n.waiting, a)
	default:
		load := n.load()
		f.after(f.latency(a), func() {
			a.lease.Release(f.now, placement.Shed, load)
			f.tryAgain(a)
		})
	}
}

func (n *node) load() placement.Load {
	return placement.Load{Known: true, Requests: n.running + len(n.waiting)}
}

func (f *fleet) serve(a *attempt) {
	n := a.node
	left := a.call.left(f.now)
	work := float64(a.call.kind.work) * (0.85 + 0.3*f.random.Float64())
	if n.touch(a.call.object) {
		work *= warmWork
	}
	if left <= 0 {
		a.lease.Release(f.now, placement.Late, placement.Load{})
		return
	}
	n.running++
	took := min(time.Duration(work), left)
	f.after(took, func() {
		n.running--
		f.end(a)
		for len(n.waiting) > 0 && n.running < n.slots {
			next := n.waiting[0]
			n.waiting = n.waiting[1:]
			f.serve(next)
		}
	})
}

func (f *fleet) end(a *attempt) {
	load := a.node.load()
	f.after(f.latency(a), func() {
		took := f.now.Sub(a.call.at)
		if took >= a.call.kind.timeout || a.node.lost {
			a.lease.Release(f.now, placement.Late, placement.Load{})
			return
		}
		a.lease.Release(f.now, placement.Answered, load)
		if a.call.finished {
			return
		}
		a.call.finished = true
		o := f.outcomes[a.call.kind.name]
		o.served++
		f.byRegion[a.call.region].served++
		if took <= a.call.kind.objective {
			o.inObjective++
		}
	})
}

// touch makes the object the most recently used one and reports whether it was in the cache.
func (n *node) touch(object uint64) bool {
	for i, known := range n.warm {
		if known == object {
			n.warm = append(append(n.warm[:i], n.warm[i+1:]...), object)
			return true
		}
	}
	n.warm = append(n.warm, object)
	if len(n.warm) > cachedObjects {
		n.warm = n.warm[1:]
	}
	return false
}
