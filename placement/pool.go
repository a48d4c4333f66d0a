package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

const (
	// homeQueue is the number of waiting requests for each slot up to which a
	// request waits at the upstream that knows its object: that costs less than
	// the work of another one that does not.
	homeQueue = 0.6
	// longestQueue is the same where the second upstream has no room either.
	longestQueue = 1.0
	// secondUse is the part of its slots up to which the second upstream of an object
	// helps out. Where all are busy, a second one would only forget its own objects.
	secondUse = 0.7
	// timeReserve is the part of the time left that the predicted time to an answer
	// may take; the rest covers the spread of the work.
	timeReserve = 0.85
)

// ejectedPart is the part of the upstreams, as its inverse, that must stay in use
// whatever they do: when more fail, the fault is not theirs alone.
const ejectedPart = 2

// Self says where the instance is.
type Self struct {
	FailureDomain string
	Region        string
}

// Pool holds the upstreams of all services. It is safe for concurrent use.
type Pool struct {
	self Self

	mu       sync.Mutex
	settings Settings
	targets  map[string]*target
	services map[string]*service
}

// service is what the pool knows of one service.
type service struct {
	targets []*target
	regions []string
	shares  shares
	spill   spillGate
	// arrivals counts requests, not attempts.
	arrivals uint64
	// work is a moving average of the time that an upstream works on a request,
	// without its wait in the queue.
	work time.Duration
}

// NewPool returns a pool without upstreams.
func NewPool(self Self) *Pool {
	return &Pool{self: self, targets: map[string]*target{}, services: map[string]*service{}}
}

// Settings are what the pool must know besides the upstreams.
type Settings struct {
	// Regions maps a failure domain to its region.
	Regions map[string]string
	// Evacuated failure domains get no requests.
	Evacuated map[string]bool
	// Connections is the number of connections of this instance to each upstream
	// of a service.
	Connections map[string]int
	// Cold holds the cold upstreams by id.
	Cold map[string]ColdLimit
}

// Update replaces the upstreams. What is known of an upstream stays while it has
// the same id, start and address.
func (p *Pool) Update(upstreams []*registry.Upstream, settings Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = settings
	oldTargets, oldServices := p.targets, p.services
	p.targets = make(map[string]*target, len(upstreams))
	p.services = map[string]*service{}
	for _, u := range upstreams {
		t := oldTargets[u.ID]
		if t == nil || t.upstream.Started != u.Started || t.upstream.Address != u.Address {
			t = newTarget(u, routeOf(u, settings))
		}
		t.upstream = u
		p.targets[u.ID] = t
		p.add(t, oldServices)
	}
	for _, s := range p.services {
		if s.arrivals == 0 {
			s.shares.parts = targetShares(p.self.Region, nil, p.slots(s, nil), 0)
		}
	}
}

func (p *Pool) add(t *target, old map[string]*service) {
	name := t.upstream.Service
	s := p.services[name]
	if s == nil {
		s = &service{}
		if known := old[name]; known != nil {
			s.shares, s.spill, s.arrivals, s.work = known.shares, known.spill, known.arrivals, known.work
		}
		p.services[name] = s
	}
	s.targets = append(s.targets, t)
	if !slices.Contains(s.regions, t.region) {
		s.regions = append(s.regions, t.region)
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

// Arrivals returns the requests for each service so far.
func (p *Pool) Arrivals() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.services))
	for name, s := range p.services {
		counts[name] = s.arrivals
	}
	return counts
}

// Balance moves the shares of the regions towards the demand, by service.
func (p *Pool) Balance(now time.Time, demand map[string]Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		usable := func(t *target) bool { return t.usable(now) }
		perSlot := easyUse / max(s.work, leastService).Seconds()
		s.shares.step(now, targetShares(p.self.Region, demand[name], p.slots(s, usable), perSlot))
	}
}

// slots adds up the slots of the regions, of all upstreams that may be used when
// usable is nil.
func (p *Pool) slots(s *service, usable func(t *target) bool) map[string]float64 {
	slots := map[string]float64{}
	for _, t := range s.targets {
		if (usable == nil || usable(t)) && !p.settings.Evacuated[t.upstream.FailureDomain] {
			slots[t.region] += float64(t.upstream.Slots)
		}
	}
	return slots
}

// Shares returns the part of the own requests of a service for each region.
func (p *Pool) Shares(name string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		return maps.Clone(s.shares.parts)
	}
	return nil
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
	// TimeLeft is the time until the request has to be answered.
	TimeLeft time.Duration
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
	s := p.services[q.Service]
	if s == nil {
		return nil, NoneInReach
	}
	if len(q.Tried) == 0 {
		s.arrivals++
		s.spill.arrive(now)
	}
	candidates := p.candidates(now, s, q)
	if len(candidates) == 0 {
		return nil, NoneInReach
	}
	s.order(candidates, q.Object)
	chosen := p.choose(now, s, candidates, s.longestUse(q.TimeLeft))
	if chosen == nil {
		return nil, AllBusy
	}
	if _, cold := p.coldLimit(now, chosen); cold {
		chosen.cold.take()
	}
	chosen.inFlight++
	return &Lease{pool: p, service: s, target: chosen, Upstream: chosen.route, begun: now, Use: float64(chosen.load(now)) / float64(chosen.upstream.Slots)}, Chosen
}

// Home returns the upstream that knows the object and its estimated requests for each
// slot, for the explanation of a refusal. The name is empty when there is none.
func (p *Pool) Home(now time.Time, q Query) (name string, use float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return "", 0
	}
	candidates := p.candidates(now, s, q)
	if len(candidates) == 0 {
		return "", 0
	}
	s.order(candidates, q.Object)
	home := candidates[0]
	return home.upstream.ID, float64(home.load(now)) / float64(home.upstream.Slots)
}

// candidates returns the upstreams that may serve the request.
func (p *Pool) candidates(now time.Time, s *service, q Query) []*target {
	var ready, usable []*target
	for _, t := range s.targets {
		if t.upstream.State != registry.Ready || !p.allows(t, q) {
			continue
		}
		ready = append(ready, t)
		if t.usable(now) {
			usable = append(usable, t)
		}
	}
	if len(usable) < len(ready)/ejectedPart {
		return ready
	}
	return usable
}

func (p *Pool) allows(t *target, q Query) bool {
	return !p.settings.Evacuated[t.upstream.FailureDomain] &&
		(q.AllowsVersion == nil || q.AllowsVersion(t.upstream.Version)) &&
		(q.AllowsRegion == nil || q.AllowsRegion(t.region)) &&
		!slices.Contains(q.Tried, t.upstream.ID)
}

// order sorts the candidates by the order of the object's regions, then by the
// rank of the object.
func (s *service) order(candidates []*target, object uint64) {
	place := make(map[string]int, len(s.regions))
	for i, region := range s.shares.orderRegions(object, s.regions) {
		place[region] = i
	}
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(
			cmp.Compare(place[a.region], place[b.region]),
			cmp.Compare(b.rank(object), a.rank(object)),
		)
	})
}

// homes is the number of upstreams that share the requests for one object. More
// of them would each know too many objects.
const homes = 2

// choose returns the upstream that knows the object while its queue is short, or
// the object's second one when that has much room, or the first one while its queue
// is not too long; nil otherwise. A cold upstream that takes nothing
// now is passed over, a full one is not: its requests would flood the others. The
// second upstream is in another region where a region has only one; then the spill
// gate decides.
func (p *Pool) choose(now time.Time, s *service, candidates []*target, longestUse float64) *target {
	var waits *target
	best := min(1+longestQueue, longestUse)
	eligible := 0
	for _, t := range candidates {
		if !p.mayTakeCold(now, t) {
			continue
		}
		eligible++
		if eligible > homes {
			break
		}
		if now.Before(t.shedUntil) {
			continue
		}
		use := float64(t.load(now)+1) / float64(t.upstream.Slots)
		far := t.region != candidates[0].region
		switch {
		case eligible == 1 && use <= min(1+homeQueue, longestUse), !far && use <= secondUse:
			return t
		case far && use <= secondUse && s.spill.take():
			return t
		case eligible == 1 && use <= best:
			waits = t
		}
	}
	return waits
}

// longestUse returns the requests for each slot beyond which a request would not
// be answered in time.
func (s *service) longestUse(timeLeft time.Duration) float64 {
	if timeLeft <= 0 || s.work <= 0 {
		return 1 + longestQueue
	}
	return timeReserve * float64(timeLeft) / float64(s.work)
}

// coldLimit returns the bound of a cold upstream, and false for a warm one.
func (p *Pool) coldLimit(now time.Time, t *target) (ColdLimit, bool) {
	limit, ok := p.settings.Cold[t.upstream.ID]
	return limit, ok && now.Before(limit.Until)
}

func (p *Pool) mayTakeCold(now time.Time, t *target) bool {
	limit, cold := p.coldLimit(now, t)
	return !cold || t.cold.ready(now, limit.Rate)
}
