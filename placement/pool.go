package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

// queuePerSlot is the number of waiting requests for each slot of an upstream
// beyond which this instance sends no more: an upstream queues a few.
const queuePerSlot = 1

// Self says where the instance is.
type Self struct {
	FailureDomain string
	Region        string
}

// Pool holds the upstreams of all services. It is safe for concurrent use.
type Pool struct {
	self Self

	mu       sync.Mutex
	targets  map[string]*target
	services map[string][]*target
	// coldRate is what this instance may send to one cold upstream of a service,
	// in requests per second; 0 is no bound.
	coldRate  map[string]float64
	evacuated map[string]bool
}

// NewPool returns a pool without upstreams.
func NewPool(self Self) *Pool {
	return &Pool{self: self, targets: map[string]*target{}}
}

// Settings are what the pool must know besides the upstreams.
type Settings struct {
	// Regions maps a failure domain to its region.
	Regions map[string]string
	// Evacuated failure domains get no requests.
	Evacuated map[string]bool
	// Connections and ColdRate are the parts of this instance by service, for
	// each upstream.
	Connections map[string]int
	ColdRate    map[string]float64
}

// Update replaces the upstreams. What is known of an upstream stays while it has
// the same id and start.
func (p *Pool) Update(upstreams []*registry.Upstream, settings Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets
	p.targets = make(map[string]*target, len(upstreams))
	p.services = map[string][]*target{}
	p.coldRate = settings.ColdRate
	p.evacuated = settings.Evacuated
	for _, u := range upstreams {
		t := old[u.ID]
		if t == nil || t.upstream.Started != u.Started || t.upstream.Address != u.Address {
			t = newTarget(u, routeOf(u, settings))
		}
		t.upstream = u
		p.targets[u.ID] = t
		p.services[u.Service] = append(p.services[u.Service], t)
	}
}

func routeOf(u *registry.Upstream, settings Settings) *routing.Upstream {
	return &routing.Upstream{
		Name:          u.ID,
		Service:       u.Service,
		Version:       u.Version,
		FailureDomain: u.FailureDomain,
		Region:        settings.Regions[u.FailureDomain],
		Address:       u.Address,
		Slots:         u.Slots,
		Connections:   settings.Connections[u.Service],
	}
}

// Upstreams returns the addresses to keep connections to.
func (p *Pool) Upstreams() []*routing.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*routing.Upstream, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, t.route)
	}
	return all
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Object is the hash of the object that the request is about.
	Object uint64
	// AllowsVersion says whether an upstream of the version may serve the request;
	// nil allows all.
	AllowsVersion func(version string) bool
	// AllowsRegion says whether an upstream of the region may serve the request.
	AllowsRegion func(region string) bool
	// Tried are the upstreams that have been tried before.
	Tried []string
}

// Refusal says why no upstream was chosen.
type Refusal uint8

// The reasons for which there is no upstream.
const (
	// Chosen means that there is one.
	Chosen Refusal = iota
	// NoneInReach means that no upstream may serve the request.
	NoneInReach
	// AllBusy means that those that may have no room.
	AllBusy
)

// Acquire takes a place at an upstream. The lease must be released.
func (p *Pool) Acquire(now time.Time, q Query) (*Lease, Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, q)
	if len(candidates) == 0 {
		return nil, NoneInReach
	}
	p.order(candidates, q.Object)
	chosen := p.choose(now, candidates)
	if chosen == nil {
		return nil, AllBusy
	}
	if p.isCold(now, chosen) {
		chosen.cold.take(now, p.coldRate[chosen.upstream.Service])
	}
	chosen.inFlight++
	return &Lease{pool: p, target: chosen, Upstream: chosen.route, begun: now}, Chosen
}

// candidates returns the upstreams that may serve the request.
func (p *Pool) candidates(now time.Time, q Query) []*target {
	var usable []*target
	for _, t := range p.services[q.Service] {
		if t.usable(now) && p.allows(t, q) {
			usable = append(usable, t)
		}
	}
	return usable
}

func (p *Pool) allows(t *target, q Query) bool {
	return !p.evacuated[t.upstream.FailureDomain] &&
		(q.AllowsVersion == nil || q.AllowsVersion(t.upstream.Version)) &&
		(q.AllowsRegion == nil || q.AllowsRegion(t.region)) &&
		!slices.Contains(q.Tried, t.upstream.ID)
}

// order sorts the candidates by distance, then by the rank of the object.
func (p *Pool) order(candidates []*target, object uint64) {
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(
			cmp.Compare(p.distance(a), p.distance(b)),
			cmp.Compare(b.rank(object), a.rank(object)),
		)
	})
}

// distance is 0 in the region of the instance and 1 elsewhere.
func (p *Pool) distance(t *target) int {
	if t.region == p.self.Region {
		return 0
	}
	return 1
}

// choose returns the first candidate with a free slot, or the one with the
// shortest queue, or nil when all queues are full.
func (p *Pool) choose(now time.Time, candidates []*target) *target {
	var shortest *target
	best := float64(1 + queuePerSlot)
	for _, t := range candidates {
		if now.Before(t.shedUntil) || !p.mayTakeCold(now, t) {
			continue
		}
		filled := float64(t.load(now)) / float64(t.upstream.Slots)
		if filled < 1 {
			return t
		}
		if filled < best {
			best, shortest = filled, t
		}
	}
	return shortest
}

func (p *Pool) isCold(now time.Time, t *target) bool {
	return now.Before(t.upstream.ColdUntil) && p.coldRate[t.upstream.Service] > 0
}

func (p *Pool) mayTakeCold(now time.Time, t *target) bool {
	return !p.isCold(now, t) || t.cold.ready(now, p.coldRate[t.upstream.Service])
}
