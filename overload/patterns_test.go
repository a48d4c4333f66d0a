package overload_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/overload"
)

func constantly(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// step is a rate that is multiplied from one time to another.
func step(perSecond, factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < until {
			return perSecond * factor
		}
		return perSecond
	}
}

func wave(perSecond float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		return perSecond * (1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/36))
	}
}

func urgent(perSecond func(time.Duration) float64) *kind {
	return &kind{name: "urgent", service: "shared", customer: "a", objects: 300, work: 372 * time.Millisecond, objective: 250 * time.Millisecond, timeout: 2 * time.Second, perSecond: perSecond}
}

func bulk(name string, perSecond func(time.Duration) float64) *kind {
	return &kind{name: name, service: "shared", customer: name, priority: 3, objects: 150, work: 2320 * time.Millisecond, objective: 3 * time.Second, timeout: 12 * time.Second, perSecond: perSecond}
}

// shared is a service with several priorities, of which one region has few upstreams.
var shared = []service{{"shared", []int{10, 9, 5}, 9}}

// pattern is a load pattern on 24 upstreams of 9 slots.
type pattern struct {
	name  string
	kinds func() []*kind
	// lost is set when half of the upstreams are away from second 6 to 12, cut when one region is cut off from
	// second 6 on.
	lost, cut bool
}

// beginning and end are when the load of a pattern is higher.
const beginning, end, duration = 6 * time.Second, 22 * time.Second, 30 * time.Second

func patterns() []pattern {
	base := []pattern{
		{name: "many callers of the urgent kind", kinds: func() []*kind {
			return []*kind{urgent(step(150, 4, beginning, end)), bulk("bulk 1", constantly(60)), bulk("bulk 2", constantly(60))}
		}},
		{name: "many callers of the least urgent kind", kinds: func() []*kind {
			return []*kind{urgent(constantly(150)), bulk("bulk 1", step(60, 4, beginning, end)), bulk("bulk 2", step(60, 4, beginning, end))}
		}},
		{name: "one customer at 8 times its rate", kinds: func() []*kind {
			return []*kind{urgent(constantly(150)), bulk("greedy", step(30, 8, beginning, end)), bulk("bulk 1", constantly(30)), bulk("bulk 2", constantly(30))}
		}},
		{name: "a wave", kinds: func() []*kind {
			return []*kind{urgent(wave(150)), bulk("bulk 1", wave(90)), bulk("bulk 2", wave(90))}
		}},
		{name: "a thundering herd after a loss", lost: true, kinds: func() []*kind {
			return []*kind{urgent(constantly(300)), bulk("bulk 1", constantly(60)), bulk("bulk 2", constantly(60))}
		}},
	}
	all := base
	for _, p := range base {
		p.name += ", a region cut off"
		p.cut = true
		all = append(all, p)
	}
	return all
}

func (p pattern) run(seed uint64, gated bool) *fleet {
	f := &fleet{instances: 24, services: shared, kinds: p.kinds(), gated: gated, countFrom: 4 * time.Second}
	if p.lost {
		f.lostFrom, f.lostUntil = beginning, beginning+6*time.Second
	}
	if p.cut {
		f.cutFrom, f.cutUntil = beginning, duration
	}
	f.run(seed, duration)
	return f
}

// TestUrgentRequestsAreServedFirst guards against an urgent kind, whose callers wait for a short time
// only, being served less often than a less urgent one of the same service, and against the
// starvation of a kind, a customer or a region.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	const (
		// tolerance is by how much a less urgent kind may be served more often.
		tolerance = 0.05
		// minRegionShare bounds the share of a region's callers that are served, against all.
		minRegionShare = 0.7
	)
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			before, after := p.run(1, false), p.run(1, true)
			first := after.outcomes["urgent"]
			for _, k := range after.kinds {
				t.Logf("%s before: %v", k.name, before.outcomes[k.name])
				t.Logf("%s after:  %v", k.name, after.outcomes[k.name])
				o := after.outcomes[k.name]
				assert.Assert(t, o.share() <= first.share()+tolerance, "%s: %v, the urgent kind: %v", k.name, o, first)
				assert.Assert(t, o.share() >= overload.MinFraction, "%s is starved: %v", k.name, o)
				if greedy := after.outcomes["greedy"]; greedy != nil {
					assert.Assert(t, o.share() >= greedy.share(), "%s: %v, the greedy customer: %v", k.name, o, greedy)
				}
			}
			assert.Assert(t, first.share() >= before.outcomes["urgent"].share(), "the urgent kind: %v", first)
			all := outcome{}
			for _, o := range after.byRegion {
				all.callers += o.callers
				all.served += o.served
			}
			for region, o := range after.byRegion {
				t.Logf("region %d: %.3f before, %.3f after", region, before.byRegion[region].share(), o.share())
				assert.Assert(t, p.cut || o.share() >= minRegionShare*all.share(), "region %d: %.3f of its callers are served", region, o.share())
			}
		})
	}
}

// TestImpatientCallersGainNothing guards against callers that return much earlier than told, and
// more often, being served more often than those that wait as told.
func TestImpatientCallersGainNothing(t *testing.T) {
	impatient := bulk("impatient", step(60, 4, beginning, end))
	impatient.impatient = true
	f := &fleet{instances: 24, services: shared, gated: true, countFrom: beginning}
	f.kinds = []*kind{urgent(constantly(150)), bulk("patient", step(60, 4, beginning, end)), impatient}
	f.run(1, duration)
	for _, k := range f.kinds {
		t.Logf("%s: %v", k.name, f.outcomes[k.name])
	}
	assert.Assert(t, f.outcomes["impatient"].share() <= f.outcomes["patient"].share())
}
