package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// rebuild replaces all upstreams and settings of a pool, and builds everything anew.
func rebuild(p *Pool, upstreams []*registry.Upstream, settings Settings) {
	p.settings = settings
	oldTargets, oldServices := p.targets, p.services
	p.targets = make(map[string]*target, len(upstreams))
	p.services = map[string]*service{}
	for _, u := range upstreams {
		t := oldTargets[u.ID]
		if t == nil || t.upstream.Started != u.Started || t.upstream.Address != u.Address {
			t = newTarget(u, settings)
		}
		t.upstream = u
		t.setEndpoint(endpointOf(u, settings))
		p.targets[u.ID] = t
		s := p.services[u.Service]
		if s == nil {
			s = newService()
			if known := oldServices[u.Service]; known != nil {
				s.shares, s.spill, s.arrivals, s.serviceTime = known.shares, known.spill, known.arrivals, known.serviceTime
			}
			p.services[u.Service] = s
		}
		s.targets = append(s.targets, t)
		if !slices.Contains(s.regions, t.region) {
			s.regions = append(s.regions, t.region)
		}
	}
	for _, s := range p.services {
		if s.arrivals == 0 {
			s.shares.byRegion = targetShares(p.self.Region, nil, p.slotsAtRate(s, nil, 0), 0)
		}
	}
}

// poolTrial drives a pool by what changes, and a model that is rebuilt at each change.
type poolTrial struct {
	t           *testing.T
	random      *rand.Rand
	pool, model *Pool
	known       map[string]*registry.Upstream
	settings    Settings
	seconds     float64
	// held holds the leases of the same requests on both pools.
	held [][2]*Lease
}

var trialServices = []string{"lookup", "write", "search", "list", "count", "copy"}

func (x *poolTrial) chance(percent int) bool { return x.random.IntN(100) < percent }

// update changes some upstreams.
func (x *poolTrial) update() {
	changed := map[string]*registry.Upstream{}
	var gone []string
	for range 1 + x.random.IntN(3) {
		id := fmt.Sprintf("u%02d", x.random.IntN(14))
		old := x.known[id]
		if changed[id] != nil || slices.Contains(gone, id) {
			continue
		}
		if old != nil && x.chance(45) {
			delete(x.known, id)
			gone = append(gone, id)
			continue
		}
		next := &registry.Upstream{}
		if old != nil {
			*next = *old
		}
		switch {
		case old == nil || x.chance(30):
			next.Entry = registry.Entry{
				ID: id, Started: int64(x.random.IntN(5)), Address: fmt.Sprint("10.0.0.1:", x.random.IntN(3)), Version: "v1",
				Service:       trialServices[x.random.IntN(len(trialServices))],
				FailureDomain: []string{"east-1", "east-2", "west-1", "north-1"}[x.random.IntN(4)], Slots: 1 + x.random.IntN(6),
			}
		case x.chance(50):
			next.State = registry.Draining
		default:
			next.Slots, next.Version = 1+x.random.IntN(6), "v2"
		}
		changed[id], x.known[id] = next, next
	}
	if x.chance(20) {
		gone = append(gone, "unknown")
	}
	x.pool.Update(slices.Collect(maps.Values(changed)), gone)
	for _, id := range gone {
		delete(x.model.cold, id)
	}
	x.rebuild()
}

// configure changes some settings.
func (x *poolTrial) configure() {
	s := &x.settings
	switch x.random.IntN(4) {
	case 0:
		s.Evacuated = map[string]bool{}
		if x.chance(70) {
			s.Evacuated[[]string{"east-1", "west-1", "north-1"}[x.random.IntN(3)]] = true
		}
	case 1:
		s.Connections = map[string]int{trialServices[x.random.IntN(len(trialServices))]: 1 + x.random.IntN(9)}
	case 2:
		s.MaxConnections = map[string]int{trialServices[x.random.IntN(len(trialServices))]: 1 + x.random.IntN(9)}
	case 3:
		s.Senders = x.random.IntN(5)
	}
	x.pool.Configure(*s)
	x.rebuild()
}

func (x *poolTrial) rebuild() {
	ids := slices.Sorted(maps.Keys(x.known))
	var all []*registry.Upstream
	for _, id := range ids {
		all = append(all, x.known[id])
	}
	rebuild(x.model, all, x.settings)
}

// limit changes a cold limit or the rates.
func (x *poolTrial) limit() {
	id := fmt.Sprintf("u%02d", x.random.IntN(14))
	limit := ColdLimit{}
	if x.chance(60) {
		limit = ColdLimit{Until: at(x.seconds + 3), Rate: 2}
	}
	rates := map[string]float64{fmt.Sprintf("u%02d", x.random.IntN(14)): float64(x.random.IntN(20))}
	for _, p := range []*Pool{x.pool, x.model} {
		p.SetCold(id, limit)
		p.SetRates(rates)
	}
}

// request sends a request to both pools, which must choose the same upstream.
func (x *poolTrial) request(service string) {
	q := Query{Service: service, Object: x.random.Uint64()}
	lease, refusal := x.pool.Acquire(at(x.seconds), q)
	want, wantRefusal := x.model.Acquire(at(x.seconds), q)
	assert.Equal(x.t, refusal, wantRefusal)
	if refusal != Chosen {
		return
	}
	assert.Equal(x.t, *lease.Upstream, *want.Upstream)
	if x.chance(30) {
		x.held = append(x.held, [2]*Lease{lease, want})
		return
	}
	ended, load := at(x.seconds+0.1), Load{Known: x.chance(50), Requests: x.random.IntN(4)}
	lease.Release(ended, Answered, load)
	want.Release(ended, Answered, load)
}

func (x *poolTrial) step() {
	x.seconds += x.random.Float64()
	switch n := x.random.IntN(100); {
	case n < 40:
		x.update()
	case n < 55:
		x.configure()
	case n < 60:
		x.limit()
	case n < 90:
		x.request(trialServices[x.random.IntN(len(trialServices))])
	case n < 97 && len(x.held) > 0:
		last := x.held[len(x.held)-1]
		x.held = x.held[:len(x.held)-1]
		result := []Result{Failed, Shed, Inconclusive}[x.random.IntN(3)]
		last[0].Release(at(x.seconds), result, Load{})
		last[1].Release(at(x.seconds), result, Load{})
	default:
		// Shares of a service that has had no request are set anew by each update that
		// concerns it here, and by all updates in the model.
		for _, service := range trialServices {
			x.request(service)
		}
		demand := map[string]Demand{"lookup": {"east": x.random.Float64() * 50, "west": x.random.Float64() * 50}}
		x.pool.StepShares(at(x.seconds), demand, nil)
		x.model.StepShares(at(x.seconds), demand, nil)
	}
}

// compare checks that the pool is equal to the model.
func (x *poolTrial) compare() {
	x.t.Helper()
	assert.Equal(x.t, len(x.pool.targets), len(x.model.targets))
	for id, want := range x.model.targets {
		got := *x.pool.targets[id]
		assert.Equal(x.t, *got.endpoint, *want.endpoint)
		got.endpoint = want.endpoint
		assert.Assert(x.t, got == *want, "%+v, %+v", got, *want)
	}
	assert.Equal(x.t, len(x.pool.services), len(x.model.services))
	for name, want := range x.model.services {
		got := x.pool.services[name]
		ids := func(s *service) (ids []string) {
			for _, t := range s.targets {
				ids = append(ids, t.upstream.ID)
			}
			return ids
		}
		assert.DeepEqual(x.t, ids(got), ids(want))
		assert.DeepEqual(x.t, slices.Sorted(slices.Values(got.regions)), slices.Sorted(slices.Values(want.regions)))
		assert.DeepEqual(x.t, got.slots(x.settings.Evacuated), x.model.slotsAtRate(want, nil, 0))
		assert.Equal(x.t, got.arrivals, want.arrivals)
		assert.Equal(x.t, got.serviceTime, want.serviceTime)
		assert.Equal(x.t, got.spill, want.spill)
		assert.Equal(x.t, got.shares.steppedAt, want.shares.steppedAt)
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
		assert.Assert(x.t, maps.EqualFunc(got.shares.byRegion, want.shares.byRegion, near), "%s: %v, %v", name, got.shares.byRegion, want.shares.byRegion)
	}
	assert.DeepEqual(x.t, x.pool.cold, x.model.cold)
}

// Guards against a pool that differs from one that is built from all upstreams, because only what
// has changed is looked at.
func TestUpdatesHaveTheResultOfAllUpstreams(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			location := Location{FailureDomain: "east-1", Region: "east"}
			x := &poolTrial{
				t: t, random: rand.New(rand.NewPCG(seed, 0)), pool: NewPool(location), model: NewPool(location), known: map[string]*registry.Upstream{},
				settings: Settings{Regions: map[string]string{"east-1": "east", "east-2": "east", "west-1": "west", "north-1": "north"}},
			}
			x.pool.Configure(x.settings)
			x.rebuild()
			for range 300 {
				x.step()
				x.compare()
			}
		})
	}
}
