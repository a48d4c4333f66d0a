package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// stateOf returns everything that a request may change, for comparison.
func stateOf(p *Pool) string {
	s := p.services["lookup"]
	text := fmt.Sprintf("%d %v %+v %+v %v\n", s.arrivals, s.pinned, s.spill, s.shares, s.serviceTime)
	for _, t := range s.targets {
		text += fmt.Sprintf("%+v\n", *t)
	}
	return text
}

// reasonOf returns the candidate with the id, and its position.
func reasonOf(t *testing.T, e Explanation, id string) Candidate {
	t.Helper()
	n := slices.IndexFunc(e.Candidates, func(c Candidate) bool { return c.Upstream.Name == id })
	assert.Assert(t, n >= 0, id)
	return e.Candidates[n]
}

// Guards against an upstream that is passed over for another reason than the one that Explain
// names, and against an explanation that changes the state.
func TestExplainNamesEachReasonAndChangesNothing(t *testing.T) {
	for reason, prepare := range map[Reason]func(p *Pool, q *Query, u *target){
		ReasonChosen:   func(*Pool, *Query, *target) {},
		ReasonDraining: func(_ *Pool, _ *Query, u *target) { u.upstream.State = registry.Draining },
		ReasonLeaving:  func(_ *Pool, _ *Query, u *target) { u.leaving = true },
		ReasonEvacuated: func(p *Pool, _ *Query, u *target) {
			u.upstream.FailureDomain = "east-2"
			p.settings.Evacuated = map[string]bool{"east-2": true}
		},
		ReasonVersion: func(_ *Pool, q *Query, u *target) {
			u.upstream.Version = "v2"
			q.AllowsVersion = func(version string) bool { return version == "v1" }
		},
		ReasonHomeRegion: func(_ *Pool, q *Query, u *target) {
			u.region = "west"
			q.AllowsRegion = func(region string) bool { return region == "east" }
		},
		ReasonTried:     func(_ *Pool, q *Query, u *target) { q.Tried = []string{u.upstream.ID} },
		ReasonEjected:   func(_ *Pool, _ *Query, u *target) { u.ejectedUntil = at(3) },
		ReasonColdLimit: func(p *Pool, _ *Query, u *target) { p.cold[u.upstream.ID] = ColdLimit{Until: at(9), Rate: 1} },
		ReasonRateLimit: func(_ *Pool, q *Query, u *target) { q.Admits = func(id string) bool { return id != u.upstream.ID } },
		ReasonPaused:    func(_ *Pool, _ *Query, u *target) { u.shedUntil = at(3) },
		ReasonNoConnection: func(_ *Pool, _ *Query, u *target) {
			u.inFlight = 1
			u.endpoint.Connections = 1
		},
		ReasonQueueTooLong: func(_ *Pool, _ *Query, u *target) { u.inFlight = 2 * slots },
	} {
		t.Run(reason.String(), func(t *testing.T) {
			p, q := newPool(6, Settings{}), query(7)
			lease, preferred := acquire(p, 1, 7)
			lease.Release(at(1), Answered, Load{Known: true, Requests: 0})
			prepare(p, &q, p.targets[preferred])
			before := stateOf(p)
			e := p.Explain(at(2), q)
			assert.Equal(t, stateOf(p), before)
			c := reasonOf(t, e, preferred)
			assert.Equal(t, c.Reason, reason)
			assert.Assert(t, c.Reported && c.ReportAge == time.Second)
			assert.Equal(t, c.For > 0, reason == ReasonEjected || reason == ReasonPaused)
			got, refusal := p.Acquire(at(2), q)
			assert.Equal(t, refusal, e.Refusal)
			assert.Equal(t, got.Upstream, e.Chosen)
			assert.Equal(t, got.Upstream.Name == preferred, reason == ReasonChosen)
		})
	}
}

func TestExplainNamesTheLimitsOfAnObjectAndOfARegion(t *testing.T) {
	p := newPool(1, Settings{})
	p.Update([]*registry.Upstream{upstreamIn("west-a", "west-1"), upstreamIn("west-b", "west-1")}, nil)
	p.services["lookup"].shares.byRegion = map[string]float64{"east": 1}
	e := p.Explain(at(1), query(7))
	assert.Equal(t, e.Chosen.Name, "u00")
	assert.Equal(t, e.Candidates[1].Reason, ReasonLessPreferred)
	assert.Equal(t, e.Candidates[2].Reason, ReasonNotOfObject)
	p.targets["u00"].inFlight = 3 * slots
	e = p.Explain(at(1), query(7))
	assert.Equal(t, e.Refusal, AllBusy)
	assert.Equal(t, e.Candidates[1].Reason, ReasonOtherRegion)
	p.targets["u00"].inFlight = (1+maxQueuePerSlot)*slots - 1
	e = p.Explain(at(1), query(7))
	assert.Equal(t, e.Candidates[0].Reason, ReasonChosen, "no other one has room")
	lease, refusal := p.Acquire(at(1), query(7))
	assert.Equal(t, refusal, Chosen)
	assert.Equal(t, lease.Upstream, e.Chosen)
	p.targets["u00"].shedUntil = at(2)
	for _, id := range []string{"west-a", "west-b"} {
		p.targets[id].inFlight = slots
	}
	assert.Equal(t, p.Explain(at(1), query(7)).Candidates[1].Reason, ReasonBusy)
	assert.Equal(t, p.Explain(at(1), Query{Service: "unknown"}).Refusal, NoCandidates)
	for _, u := range p.targets {
		u.ejectedUntil = at(3)
	}
	assert.Assert(t, p.Explain(at(1), query(7)).EjectionsIgnored)
}

// Guards against a difference between Explain and Acquire: of two pools with the same requests,
// one explains each of them first.
func TestExplainAgreesWithAcquire(t *testing.T) {
	for seed := range uint64(60) {
		local := 1 + 2*int(seed%2)
		explained, plain := mixedPool(local), mixedPool(local)
		// A third of the pools each assign objects by slots, and have upstreams that state their pace.
		for _, p := range []*Pool{explained, plain} {
			p.settings.Stable = seed%3 == 1
		}
		pace := map[bool]int{true: 100 + 30*int(seed%5)}[seed%3 == 2]
		random := rand.New(rand.NewPCG(seed, 1))
		var leases [][2]*Lease
		outcomes := map[Refusal]int{}
		for n := range 600 {
			now := at(float64(n) * 0.02)
			q := query(random.Uint64N(12))
			q.TimeLeft = time.Duration(random.IntN(3)) * 300 * time.Millisecond
			if random.IntN(4) == 0 {
				q.AllowsRegion = func(region string) bool { return region == "east" }
			}
			e := explained.Explain(now, q)
			first, refusal := explained.Acquire(now, q)
			second, same := plain.Acquire(now, q)
			assert.Equal(t, e.Refusal, refusal)
			assert.Equal(t, refusal, same, "the explanation has changed the decision")
			outcomes[refusal]++
			if refusal == Chosen {
				assert.Equal(t, e.Chosen, first.Upstream)
				assert.Assert(t, reflect.DeepEqual(first.Upstream, second.Upstream))
				leases = append(leases, [2]*Lease{first, second})
			}
			if len(leases) > 0 && random.IntN(5) > 0 {
				k := random.IntN(len(leases))
				result := Result(random.IntN(int(Inconclusive) + 1))
				for _, lease := range leases[k] {
					lease.Release(now, result, Load{Known: result == Answered, Requests: int(seed) % 9, Pace: pace})
				}
				leases = slices.Delete(leases, k, k+1)
			}
		}
		assert.Assert(t, outcomes[Chosen] > 0 && outcomes[AllBusy] > 0, "%v", outcomes)
	}
}

// mixedPool returns a pool of two regions with local upstreams in the nearer one, of which the second
// is cold, a draining one and few connections. With one local upstream, objects spill.
func mixedPool(local int) *Pool {
	p := newPool(local, Settings{Connections: map[string]int{"lookup": 6}, Senders: 3})
	draining := upstreamIn("drains", "east-1")
	draining.State = registry.Draining
	p.Update([]*registry.Upstream{upstreamIn("west-a", "west-1"), upstreamIn("west-b", "west-1"), draining}, nil)
	p.services["lookup"].shares.byRegion = map[string]float64{"east": 0.9, "west": 0.1}
	p.SetCold("u01", ColdLimit{Until: at(5), Rate: 3})
	return p
}
