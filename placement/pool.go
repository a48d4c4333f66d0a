package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

const (
	// maxPreferredQueuePerSlot is the number of waiting requests per slot up to which a
	// request waits at the preferred upstream of its object: the wait costs less than
	// the work of an upstream without the object in its caches.
	maxPreferredQueuePerSlot = 0.6
	// maxQueuePerSlot is the same limit while the second upstream has no capacity either.
	maxQueuePerSlot = 1.0
	// maxSecondaryUtilization is the number of requests per slot up to which the second
	// upstream of an object takes over. Where all are busy, it would only evict its own
	// objects from its caches.
	maxSecondaryUtilization = 0.7
	// maxTimeFraction is the fraction of the remaining time that the predicted time to a
	// response may take; the rest covers the variance of the service time.
	maxTimeFraction = 0.85
)

// minUsableDivisor is the inverse of the fraction of the upstreams that must stay in use
// even if they fail: when more fail at once, the cause is likely not in the upstreams.
const minUsableDivisor = 2

// Location holds the failure domain and the region of this instance.
type Location struct {
	FailureDomain string
	Region        string
	// Instance is the name of this instance. The extra upstream that some instances consider
	// for an object depends on it.
	Instance string
}

// Pool holds the upstreams of all services. It is safe for concurrent use.
type Pool struct {
	self Location
	// salt is the hash of the name of the instance.
	salt uint64

	mu       sync.Mutex
	settings Settings
	// cold maps the id of a cold upstream to its limit.
	cold map[string]ColdLimit
	// rates maps the id of an upstream that limits its rate to the requests per second
	// that it takes from all instances together.
	rates   map[string]float64
	targets map[string]*target
	// byHash finds the targets by the hash of the id.
	byHash map[uint64]*target
	// learned holds the loads in responses to this instance, oldest first.
	learned  []Report
	services map[string]*service
	// ready is a buffer of candidates.
	ready []ranked
	// regionTimes, firsts and positions are buffers of stableCandidates.
	regionTimes []float64
	firsts      []*target
	positions   []int
	// departures holds the statements of upstreams that they leave, by id.
	departures map[string]departure
}

// NewPool returns a pool without upstreams.
func NewPool(self Location) *Pool {
	return &Pool{self: self, salt: xxhash.Sum64String(self.Instance), cold: map[string]ColdLimit{}, targets: map[string]*target{}, services: map[string]*service{}, departures: map[string]departure{}, byHash: map[uint64]*target{}}
}

// Settings are the inputs of the pool besides the upstreams and their limits.
type Settings struct {
	// Regions maps a failure domain to its region.
	Regions map[string]string
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
	// MaxConnections maps a service to the number of connections that an upstream of it
	// accepts from all instances together.
	MaxConnections map[string]int
	// Connections maps a service to the number of connections that this instance keeps
	// to each of its upstreams.
	Connections map[string]int
	// IgnorePace makes the choice follow the queues alone, whatever upstreams state of their pace.
	IgnorePace bool
	// Senders is the number of instances in this region, which share its upstreams.
	Senders int
	// Stable selects the stable assignment of objects: by slots, and with few moves.
	Stable bool
}

// Configure replaces the settings, whose maps must not be modified afterwards. Only settings
// that concern the upstreams of a service cost work for each of them.
func (p *Pool) Configure(settings Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.settings
	p.settings = settings
	regionsChanged := !maps.Equal(old.Regions, settings.Regions)
	evacuatedChanged := !maps.Equal(old.Evacuated, settings.Evacuated)
	for name, s := range p.services {
		if regionsChanged || old.Connections[name] != settings.Connections[name] || old.MaxConnections[name] != settings.MaxConnections[name] {
			for _, t := range s.targets {
				t.setEndpoint(endpointOf(t.upstream, settings))
			}
		}
		if evacuatedChanged {
			p.setInitialShares(s)
			if settings.Stable && s.arrivals > 0 {
				s.keepStable(settings.Evacuated)
			}
		}
	}
}

// Update adds or replaces the changed upstreams and removes those with the ids in gone. The
// state of an upstream is kept while its id, start time and address are unchanged, that of
// a service while it has upstreams.
func (p *Pool) Update(changed []*registry.Upstream, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	concerned := map[string]*service{}
	for _, id := range gone {
		if t := p.targets[id]; t != nil {
			p.remove(t, concerned)
			if s := p.services[t.upstream.Service]; p.settings.Stable {
				s.stable.leave(t)
			}
			delete(p.targets, id)
			delete(p.byHash, t.hash)
		}
		delete(p.cold, id)
	}
	for _, u := range changed {
		t := p.targets[u.ID]
		old := t
		if t != nil {
			p.remove(t, concerned)
			if s := p.services[t.upstream.Service]; p.settings.Stable && t.upstream.Service != u.Service {
				s.stable.leave(t)
				old = nil
			}
		}
		if t == nil || t.upstream.Started != u.Started || t.upstream.Address != u.Address {
			t = newTarget(u, p.settings)
			t.leaving = p.departed(u)
		}
		t.upstream = u
		t.setEndpoint(endpointOf(u, p.settings))
		p.targets[u.ID] = t
		p.byHash[t.hash] = t
		p.add(t, concerned)
		if p.settings.Stable {
			p.joinStable(old, t)
		}
	}
	for name, s := range concerned {
		if len(s.targets) == 0 {
			delete(p.services, name)
			continue
		}
		p.setInitialShares(s)
		if p.settings.Stable && s.arrivals > 0 {
			s.keepStable(p.settings.Evacuated)
		}
	}
}

// joinStable makes an upstream take part in the stable assignment of its service, in the place of
// its former start if there is one.
func (p *Pool) joinStable(old, t *target) {
	s := p.services[t.upstream.Service]
	switch {
	case old != nil:
		s.stable.replace(old, t)
	case s.arrivals > 0:
		s.stable.join(t)
	default:
		t.part = 1
	}
}

// add adds an upstream to its service, and the service to the concerned ones.
func (p *Pool) add(t *target, concerned map[string]*service) {
	name := t.upstream.Service
	s := p.services[name]
	if s == nil {
		s = newService()
		p.services[name] = s
	}
	s.add(t)
	concerned[name] = s
}

// remove removes an upstream from its service, and adds the service to the concerned ones.
func (p *Pool) remove(t *target, concerned map[string]*service) {
	name := t.upstream.Service
	s := p.services[name]
	s.remove(t)
	concerned[name] = s
}

// setInitialShares sets the shares of a service that has had no requests.
func (p *Pool) setInitialShares(s *service) {
	if s.arrivals == 0 {
		s.shares.byRegion = targetShares(p.self.Region, nil, s.slots(p.settings.Evacuated), 0)
		if p.settings.Stable {
			s.startStable(p.settings.Evacuated)
		}
	}
}

// SetCold sets the limit of the upstream with the id while it is cold. The zero limit
// removes it.
func (p *Pool) SetCold(id string, limit ColdLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit.Until.IsZero() {
		delete(p.cold, id)
		return
	}
	p.cold[id] = limit
}

// SetRates replaces the rates of the upstreams that limit them, by id, in requests per
// second from all instances together. The map must not be modified afterwards.
func (p *Pool) SetRates(rates map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rates = rates
}

// endpointOf returns the upstream in the form that forwarding uses.
func endpointOf(u *registry.Upstream, settings Settings) routing.Upstream {
	return routing.Upstream{
		Name:           u.ID,
		Service:        u.Service,
		Version:        u.Version,
		FailureDomain:  u.FailureDomain,
		Region:         settings.Regions[u.FailureDomain],
		Address:        u.Address,
		Slots:          u.Slots,
		Connections:    settings.Connections[u.Service],
		MaxConnections: settings.MaxConnections[u.Service],
	}
}

// Upstreams returns the upstreams in no particular order.
func (p *Pool) Upstreams() []*routing.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*routing.Upstream, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, t.endpoint)
	}
	return all
}

// Arrivals returns the number of requests so far by service. Retries are not counted.
func (p *Pool) Arrivals() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]uint64, len(p.services))
	for name, s := range p.services {
		counts[name] = s.arrivals
	}
	return counts
}

// PinnedArrivals returns the requests among Arrivals that may run in one region only, by service and
// region.
func (p *Pool) PinnedArrivals() map[string]map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]map[string]uint64, len(p.services))
	for name, s := range p.services {
		counts[name] = maps.Clone(s.pinned)
	}
	return counts
}

// StepShares moves the region shares of each service one step towards the shares that
// its demand calls for: that of requests which may run in several regions, by region of the
// callers, and pinned, that of the others by region where they run. It returns the services in
// the stable assignment some of whose objects move for it.
func (p *Pool) StepShares(now time.Time, demand, pinned map[string]Demand) (moved []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.services {
		usable := func(t *target) bool { return t.usable(now) }
		perSlot := maxLocalUtilization / max(s.serviceTime, minServiceTime).Seconds()
		slots := freeSlots(demand[name], pinned[name], p.slotsAtRate(s, usable, perSlot), perSlot)
		target := targetShares(p.self.Region, demand[name], slots, perSlot)
		if p.settings.Stable {
			if p.stepStable(now, s, demand[name], target, slots, perSlot) {
				moved = append(moved, name)
			}
			continue
		}
		s.shares.step(now, target)
	}
	return moved
}

// slotsAtRate returns the number of slots by region, without evacuated failure domains. It
// counts the upstreams for which usable returns true, or all when usable is nil. Of an upstream
// that limits its rate, it counts at most as many slots as serve that rate, with perSlot
// requests per second at each slot.
func (p *Pool) slotsAtRate(s *service, usable func(t *target) bool, perSlot float64) map[string]float64 {
	slots := map[string]float64{}
	for _, t := range s.targets {
		if usable != nil && !usable(t) || p.settings.Evacuated[t.upstream.FailureDomain] {
			continue
		}
		usableSlots := float64(t.upstream.Slots)
		if rate, limited := p.rates[t.upstream.ID]; limited && perSlot > 0 {
			usableSlots = min(usableSlots, rate/perSlot)
		}
		slots[t.region] += usableSlots
	}
	return slots
}

// Shares returns, by region, the share of this region's requests for the service that
// is to run there, or nil for an unknown service.
func (p *Pool) Shares(name string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[name]; s != nil {
		return maps.Clone(s.shares.byRegion)
	}
	return nil
}

// Query describes a request that needs an upstream.
type Query struct {
	Service string
	// Object is the hash of the object that the request is about.
	Object uint64
	// AllowsVersion reports whether an upstream of the version may serve the request;
	// nil allows all.
	AllowsVersion func(version string) bool
	// AllowsRegion reports whether an upstream of the region may serve the request; nil
	// allows all.
	AllowsRegion func(region string) bool
	// Admits reports whether the rate that an upstream states leaves room for a request now;
	// nil admits all.
	Admits func(id string) bool
	// Tried holds the ids of the upstreams that earlier attempts used.
	Tried []string
	// Denied holds the ids of the upstreams that have no permit for this attempt.
	Denied []string
	// TimeLeft is the time until the deadline of the request; 0 or less means unknown.
	TimeLeft time.Duration
}

// admits reports whether the upstream takes a request now.
func (q Query) admits(id string) bool {
	return (q.Admits == nil || q.Admits(id)) && !slices.Contains(q.Denied, id)
}

// pinnedRegion returns the region if the request may run in one of them only, or an empty string.
func (q Query) pinnedRegion(regions []string) string {
	if q.AllowsRegion == nil {
		return ""
	}
	only := ""
	for _, region := range regions {
		if !q.AllowsRegion(region) {
			continue
		}
		if only != "" {
			return ""
		}
		only = region
	}
	return only
}

// Refusal is the reason why no upstream was chosen.
type Refusal uint8

// The reasons for a refusal.
const (
	// Chosen is no refusal: an upstream was chosen.
	Chosen Refusal = iota
	// NoCandidates means that no upstream may serve the request.
	NoCandidates
	// AllBusy means that the upstreams that may serve the request have no capacity.
	AllBusy
)

// Acquire chooses an upstream for the request. It returns a lease, which must be
// released, and Chosen, or nil and the reason for the refusal.
func (p *Pool) Acquire(now time.Time, q Query) (*Lease, Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return nil, NoCandidates
	}
	if len(q.Tried) == 0 && len(q.Denied) == 0 {
		s.arrivals++
		if region := q.pinnedRegion(s.regions); region != "" {
			s.pinned[region]++
		}
		s.spill.recordArrival(now)
	}
	candidates := p.candidates(now, s, q)
	if candidates.len() == 0 {
		return nil, NoCandidates
	}
	var chosen *target
	var choice Choice
	if s.paced {
		chosen, choice = p.chooseByCompletion(now, s, candidates, q)
	} else {
		chosen = p.choose(now, s, candidates, q)
	}
	if chosen == nil {
		return nil, AllBusy
	}
	_, cold := p.coldLimit(now, chosen)
	if cold {
		chosen.cold.take()
	}
	chosen.inFlight++
	return &Lease{pool: p, service: s, target: chosen, Upstream: chosen.endpoint, acquiredAt: now, cold: cold, Choice: choice, Utilization: p.load(now, s, chosen) / float64(chosen.upstream.Slots)}, Chosen
}

// Allows reports whether the request may still be sent to the upstream of the lease: that has
// not left or been replaced since, and fits the query. Its load and limits do not matter, since
// the lease has taken the capacity.
func (p *Pool) Allows(l *Lease, q Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := l.target
	return p.targets[t.upstream.ID] == t && t.upstream.Service == q.Service && t.accepts() && p.allows(t, q)
}

// PreferredUpstream returns the name of the preferred upstream of the object and its
// estimated number of requests per slot, to explain a refusal. The name is empty when
// there is none.
func (p *Pool) PreferredUpstream(now time.Time, q Query) (name string, utilization float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return "", 0
	}
	candidates := p.candidates(now, s, q)
	if candidates.len() == 0 {
		return "", 0
	}
	preferred := candidates.at(0)
	return preferred.upstream.ID, p.load(now, s, preferred) / float64(preferred.upstream.Slots)
}

// PauseLeft returns the time until the first of the upstreams of the request's object may get
// a request again after a refusal. It returns 0 when one of them has no pause, or there is none.
func (p *Pool) PauseLeft(now time.Time, q Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return 0
	}
	candidates := p.candidates(now, s, q)
	var shortest time.Duration
	eligible, considered := 0, p.considered(s, q.Object)
	for n := range candidates.len() {
		t := candidates.at(n)
		if !p.withinColdLimit(now, t) || !q.admits(t.upstream.ID) {
			continue
		}
		eligible++
		if eligible > considered {
			break
		}
		left := t.shedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if eligible == 1 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

func (p *Pool) allows(t *target, q Query) bool {
	return !p.settings.Evacuated[t.upstream.FailureDomain] &&
		(q.AllowsVersion == nil || q.AllowsVersion(t.upstream.Version)) &&
		(q.AllowsRegion == nil || q.AllowsRegion(t.region)) &&
		!slices.Contains(q.Tried, t.upstream.ID)
}

// upstreamsPerObject is the number of upstreams that share the requests for one object.
// With more, the caches of each upstream would have to hold too many objects.
const upstreamsPerObject = 2

// choose returns the preferred upstream of the object while its queue is short, the
// second one if that has enough spare capacity, or the preferred one while its queue is
// within the limits; otherwise nil. Upstreams that q.Admits rejects, and cold ones at their
// rate limit, are passed over. A full one still counts towards upstreamsPerObject: passing it
// over would flood the others with its requests. Where a region has only one upstream, the
// second one is in another region; then the spill limiter decides.
func (p *Pool) choose(now time.Time, s *service, candidates *ranking, q Query) *target {
	var fallback *target
	maxUtilization := s.maxUtilization(q.TimeLeft)
	eligible := 0
	for n := range candidates.len() {
		t := candidates.at(n)
		if !p.withinColdLimit(now, t) || !q.admits(t.upstream.ID) {
			continue
		}
		eligible++
		if eligible > upstreamsPerObject {
			break
		}
		if now.Before(t.shedUntil) || t.withoutConnection() {
			continue
		}
		utilization := (p.load(now, s, t) + 1) / float64(t.upstream.Slots)
		switch fitOf(eligible == 1, t.region != candidates.at(0).region, utilization, maxUtilization) {
		case fitChosen:
			return t
		case fitSpill:
			if s.spill.tryTake() {
				return t
			}
		case fitFallback:
			fallback = t
		}
	}
	return fallback
}

// maxUtilization returns the number of requests per slot beyond which a request would
// not get its response in time.
func (s *service) maxUtilization(timeLeft time.Duration) float64 {
	if timeLeft <= 0 || s.serviceTime <= 0 {
		return 1 + maxQueuePerSlot
	}
	return maxTimeFraction * float64(timeLeft) / float64(s.serviceTime)
}

// coldLimit returns the limit of a cold upstream, or false for a warm one.
func (p *Pool) coldLimit(now time.Time, t *target) (ColdLimit, bool) {
	limit, ok := p.cold[t.upstream.ID]
	return limit, ok && now.Before(limit.Until)
}

// withinColdLimit reports whether the upstream is warm or its cold limit admits a
// request now.
func (p *Pool) withinColdLimit(now time.Time, t *target) bool {
	limit, cold := p.coldLimit(now, t)
	return !cold || t.cold.allows(now, limit.Rate)
}
