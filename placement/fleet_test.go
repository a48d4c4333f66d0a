package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// simulatedKind is a kind of request in a simulated fleet.
type simulatedKind struct {
	name      string
	perSecond float64
	// work is what an upstream does without the object in its caches.
	work    time.Duration
	objects int
	aim     time.Duration
	timeout time.Duration
}

// simulation is a fleet of instances and upstreams in simulated time, without a network. Upstreams
// have slots, a queue and a cache of objects; an object in the cache needs warmWork of its work.
type simulation struct {
	instances int
	// upstreams is the number of upstreams of one service by region.
	upstreams []int
	slots     int
	queue     int
	cached    int
	// slow is the fraction of the upstreams that need slowFactor times as long.
	slow  float64
	kinds []simulatedKind
	// share is the time between two exchanges of reports within a failure domain; 0 for none.
	share time.Duration
	// spells are the times in which an upstream is slower; the zero value has none.
	spells spells
	// skew is the exponent of a Zipf distribution of the objects; 0 for equal popularity.
	skew float64
	// warmWork is the fraction of the work for an object in the cache; 0 for the default.
	warmWork float64
	// statesPace makes upstreams state how long work takes there now.
	statesPace bool
	// oracle makes instances know the load and the pace of every upstream at each choice.
	oracle bool

	random *rand.Rand
	// demand draws the arrivals; it equals random unless there are spells, so that simulations
	// with the same seed have the same arrivals and spells whatever is chosen.
	demand *rand.Rand
	now    time.Time
	events eventQueue
	pools  []*Pool
	nodes  []*simulatedUpstream
	byID   map[string]*simulatedUpstream
	result simulationResult
}

const (
	warmWork         = 0.3
	slowFactor       = 3.0
	domainsPerRegion = 3
	regionLatency    = 12 * time.Millisecond
)

// simulationResult counts what became of the requests after the first seconds.
type simulationResult struct {
	requests, inAim, late, cut, shed, refused int
	wasted, worked                            time.Duration
	// waits holds the times from arrival to response beyond the ideal, queued those until the work began.
	waits, queued []time.Duration
	byKind        map[string]*simulationResult
	arrivals      []int
}

type simulatedUpstream struct {
	id      string
	region  int
	factor  float64
	running int
	// slowAt holds the starts of the spells, in ascending order.
	slowAt  []time.Time
	waiting []*simulatedRequest
	// warm holds the objects in the cache, most recently used last.
	warm     []uint64
	arrivals int
}

type simulatedRequest struct {
	kind     *simulatedKind
	object   uint64
	region   int
	pool     int
	arrived  time.Time
	lease    *Lease
	upstream *simulatedUpstream
	counted  bool
	tried    []string
	// ideal is the work of an idle upstream that has the object in its cache.
	ideal time.Duration
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

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now.Add(d), run})
}

func domainName(region, n int) string { return fmt.Sprintf("r%d-%d", region, n) }

// run simulates the duration; requests of the first warmUp are not counted.
func (s *simulation) run(seed uint64, warmUp, duration time.Duration) *simulationResult {
	s.random = rand.New(rand.NewPCG(seed, 1))
	s.demand = s.random
	if s.spells.share > 0 {
		s.demand = rand.New(rand.NewPCG(seed, 2))
	}
	s.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.byID = map[string]*simulatedUpstream{}
	s.result.byKind = map[string]*simulationResult{}
	start := s.now
	regions := map[string]string{}
	for region := range s.upstreams {
		for n := range domainsPerRegion {
			regions[domainName(region, n)] = fmt.Sprint(region)
		}
	}
	var entries []*registry.Upstream
	for region, count := range s.upstreams {
		for n := range count {
			u := &simulatedUpstream{id: fmt.Sprintf("u-%d-%d", region, n), region: region, factor: 1}
			if s.random.Float64() < s.slow {
				u.factor = slowFactor
			}
			u.slowAt = s.spells.starts(s.random, start, duration)
			s.nodes = append(s.nodes, u)
			s.byID[u.id] = u
			entries = append(entries, &registry.Upstream{Entry: registry.Entry{ID: u.id, Address: u.id, Service: "s", FailureDomain: domainName(region, n%domainsPerRegion), Slots: s.slots}})
		}
	}
	domains := len(s.upstreams) * domainsPerRegion
	for i := range s.instances {
		region := i % domains / domainsPerRegion
		p := NewPool(Location{Instance: fmt.Sprint(i), FailureDomain: domainName(region, i%domainsPerRegion), Region: fmt.Sprint(region)})
		p.Configure(Settings{Regions: regions, Senders: s.instances / len(s.upstreams)})
		p.Update(entries, nil)
		s.pools = append(s.pools, p)
		s.every(time.Second, func() { s.stepShares(p) })
		if s.share > 0 {
			s.every(s.share, func() { s.exchange(i) })
		}
	}
	for k := range s.kinds {
		s.arrive(&s.kinds[k])
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		if s.now.Sub(start) > duration {
			break
		}
		if s.result.arrivals == nil && s.now.Sub(start) > warmUp {
			s.result.arrivals = make([]int, len(s.nodes))
			for _, u := range s.nodes {
				u.arrivals = 0
			}
		}
		next.run()
	}
	for n, u := range s.nodes {
		s.result.arrivals[n] = u.arrivals
	}
	return &s.result
}

func (s *simulation) every(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		s.after(interval, next)
	}
	s.after(time.Duration(s.random.Float64()*float64(interval)), next)
}

func (s *simulation) stepShares(p *Pool) {
	demand := Demand{}
	for region := range s.upstreams {
		for _, k := range s.kinds {
			demand[fmt.Sprint(region)] += k.perSecond / float64(len(s.upstreams))
		}
	}
	p.StepShares(s.now, map[string]Demand{"s": demand}, nil)
}

// exchange passes the reports of instance i on to the others of its failure domain.
func (s *simulation) exchange(i int) {
	reports := s.pools[i].Reports(s.now, s.share*6/5)
	domains := len(s.upstreams) * domainsPerRegion
	for other := i % domains; other < s.instances; other += domains {
		if other != i {
			s.pools[other].MergeReports(s.now, reports)
		}
	}
}

// arrive schedules the next request of the kind.
func (s *simulation) arrive(k *simulatedKind) {
	pick := func() uint64 { return uint64(s.demand.IntN(k.objects)) }
	if s.skew > 0 {
		pick = rand.NewZipf(s.demand, s.skew, 8, uint64(k.objects-1)).Uint64
	}
	s.after(time.Duration(s.demand.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		pool := s.demand.IntN(s.instances)
		domains := len(s.upstreams) * domainsPerRegion
		r := &simulatedRequest{
			kind: k, pool: pool, region: pool % domains / domainsPerRegion, arrived: s.now,
			object: mix(pick()*7919 + uint64(len(k.name))<<32), counted: s.result.arrivals != nil,
		}
		s.place(r)
		s.arrive(k)
	})
}

func (s *simulation) place(r *simulatedRequest) {
	left := r.kind.timeout - s.now.Sub(r.arrived)
	if s.oracle {
		s.tellAll(s.pools[r.pool])
	}
	lease, refusal := s.pools[r.pool].Acquire(s.now, Query{Service: "s", Object: r.object, Tried: r.tried, TimeLeft: left})
	if refusal != Chosen {
		s.count(r, func(c *simulationResult) { c.refused++ })
		return
	}
	u := s.byID[lease.Upstream.Name]
	r.lease, r.upstream = lease, u
	r.tried = append(r.tried, u.id)
	u.arrivals++
	s.after(s.latency(r), func() { s.reach(r) })
}

func (s *simulation) latency(r *simulatedRequest) time.Duration {
	if r.upstream.region != r.region {
		return regionLatency
	}
	return time.Millisecond
}

// reach lets the request arrive at its upstream.
func (s *simulation) reach(r *simulatedRequest) {
	u := r.upstream
	switch {
	case u.running < s.slots:
		s.serve(r)
	case len(u.waiting) < s.queue:
		u.waiting = append(u.waiting, r)
	default:
		load := s.load(u)
		s.after(s.latency(r), func() {
			r.lease.Release(s.now, Shed, load)
			if len(r.tried) < 2 {
				s.place(r)
				return
			}
			s.count(r, func(c *simulationResult) { c.shed++ })
		})
	}
}

func (s *simulation) load(u *simulatedUpstream) Load {
	load := Load{Known: true, Requests: u.running + len(u.waiting)}
	if s.statesPace {
		load.Pace = int(100 * s.spells.factor(u, s.now))
	}
	return load
}

func (s *simulation) serve(r *simulatedRequest) {
	u := r.upstream
	left := r.kind.timeout - s.now.Sub(r.arrived)
	if left <= 0 {
		s.end(r, 0)
		return
	}
	work := float64(r.kind.work) * u.factor * (0.85 + 0.3*s.random.Float64())
	r.ideal = time.Duration(work * cmp.Or(s.warmWork, warmWork))
	if u.touch(r.object, s.cached) {
		work *= cmp.Or(s.warmWork, warmWork)
	}
	u.running++
	if r.counted {
		s.result.queued = append(s.result.queued, s.now.Sub(r.arrived))
	}
	took := min(s.spells.stretch(u, s.now, time.Duration(work)), left)
	s.after(took, func() {
		u.running--
		s.end(r, took)
		for len(u.waiting) > 0 && u.running < s.slots {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			s.serve(next)
		}
	})
}

// end reports the response, or that the request was cut at its timeout.
func (s *simulation) end(r *simulatedRequest, worked time.Duration) {
	load := s.load(r.upstream)
	s.after(s.latency(r), func() {
		took := s.now.Sub(r.arrived)
		cut := took >= r.kind.timeout
		if cut {
			r.lease.Release(s.now, Late, Load{})
		} else {
			r.lease.Release(s.now, Answered, load)
		}
		s.count(r, func(c *simulationResult) {
			c.worked += worked
			switch {
			case cut:
				c.cut++
				c.wasted += worked
			case took <= r.kind.aim:
				c.inAim++
				c.waits = append(c.waits, took-r.ideal)
			default:
				c.late++
				c.waits = append(c.waits, took-r.ideal)
			}
		})
	})
}

func (s *simulation) count(r *simulatedRequest, add func(c *simulationResult)) {
	if !r.counted {
		return
	}
	if s.result.byKind[r.kind.name] == nil {
		s.result.byKind[r.kind.name] = &simulationResult{}
	}
	for _, c := range []*simulationResult{&s.result, s.result.byKind[r.kind.name]} {
		c.requests++
		add(c)
	}
}

// touch makes the object the most recently used one of the cache and reports whether it was there.
func (u *simulatedUpstream) touch(object uint64, cached int) bool {
	for n, known := range u.warm {
		if known == object {
			u.warm = append(append(u.warm[:n], u.warm[n+1:]...), object)
			return true
		}
	}
	u.warm = append(u.warm, object)
	if len(u.warm) > cached {
		u.warm = u.warm[1:]
	}
	return false
}

// busiest returns the arrivals of the busiest upstream against the mean.
func (r *simulationResult) busiest() float64 {
	most, sum := 0, 0
	for _, n := range r.arrivals {
		most = max(most, n)
		sum += n
	}
	return float64(most) * float64(len(r.arrivals)) / math.Max(float64(sum), 1)
}

func (r *simulationResult) share(n int) float64 { return float64(n) / float64(max(r.requests, 1)) }

func (r *simulationResult) String() string {
	return fmt.Sprintf("in aim %.3f late %.3f cut %.3f shed %.3f refused %.3f, wasted %.3f, busiest %.2f", r.share(r.inAim), r.share(r.late),
		r.share(r.cut), r.share(r.shed), r.share(r.refused), float64(r.wasted)/float64(max(r.worked, 1)), r.busiest())
}

// heavyObjects are few objects of which each keeps a good part of an upstream busy, so that those
// that happen to share one overload it while others are idle.
var heavyObjects = []simulatedKind{
	{"search", 278, 3200 * time.Millisecond, 116, 2 * time.Second, 5 * time.Second},
	{"citation", 133, 5200 * time.Millisecond, 55, 3 * time.Second, 8 * time.Second},
}

func heavyFleet(instances int, slow float64, share time.Duration) *simulation {
	return &simulation{
		instances: instances, upstreams: []int{147, 31, 124}, slots: 6, queue: 18, cached: 19, slow: slow,
		kinds: heavyObjects, share: share,
	}
}

// TestInstancesThatMeetUpstreamsSeldomShareTheirReports answers the load of a large fleet: each
// instance meets a given upstream once in a minute, so it sends to the preferred upstream of an
// object however many requests wait there. With reports that are passed on within a failure
// domain, few requests wait for a busy upstream while the second one of their object is idle.
func TestInstancesThatMeetUpstreamsSeldomShareTheirReports(t *testing.T) {
	const (
		warmUp, duration = 4 * time.Second, 16 * time.Second
		heartbeats       = 1500 * time.Millisecond
		// maxCut and maxWasted bound the requests that end at their timeout, and the work for them.
		maxCut, maxWasted = 0.01, 0.01
	)
	for _, instances := range []int{99, 198, 297} {
		for seed := range uint64(1) {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				alone := heavyFleet(instances, 0, 0).run(seed, warmUp, duration)
				shared := heavyFleet(instances, 0, heartbeats).run(seed, warmUp, duration)
				t.Logf("alone:  %v", alone)
				t.Logf("shared: %v", shared)
				assert.Assert(t, shared.inAim > alone.inAim, "%.3f of the requests are in time, %.3f without reports", shared.share(shared.inAim), alone.share(alone.inAim))
				assert.Assert(t, shared.share(shared.cut) <= maxCut, "%.3f of the requests are cut", shared.share(shared.cut))
				assert.Assert(t, float64(shared.wasted) <= maxWasted*float64(shared.worked), "%v of %v of work for requests that were cut", shared.wasted, shared.worked)
				for kind, r := range shared.byKind {
					assert.Assert(t, r.share(r.inAim) >= shared.share(shared.inAim)/2, "%s is served less than half as often as the mean", kind)
				}
			})
		}
	}
}
