package balancing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/units"
)

// TestOwnership checks that the owner does not depend on the order of the instances, is
// in the failure domain if possible, and changes only when its instance leaves.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var instances []Instance
		for i := range rapid.IntRange(1, 12).Draw(rt, "instances") {
			domain := rapid.SampledFrom([]string{"r1-a", "r1-b", "r2-a"}).Draw(rt, "domain")
			instances = append(instances, Instance{fmt.Sprintf("e%d", i), domain, domain[:2]})
		}
		u := &routing.Upstream{Name: rapid.String().Draw(rt, "upstream"), FailureDomain: "r1-a", Region: "r1"}
		owner, ok := Owner(u, instances)
		reordered, _ := Owner(u, rapid.Permutation(instances).Draw(rt, "order"))
		assert.Equal(rt, owner, reordered)
		var inDomain, inRegion int
		var remaining []Instance
		var ownerInstance Instance
		for _, i := range instances {
			if i.FailureDomain == u.FailureDomain {
				inDomain++
			}
			if i.Region == u.Region {
				inRegion++
			}
			if i.Name == owner {
				ownerInstance = i
			}
		}
		assert.Equal(rt, ok, inRegion > 0)
		if !ok {
			return
		}
		assert.Assert(rt, inDomain == 0 || ownerInstance.FailureDomain == u.FailureDomain)
		assert.Equal(rt, ownerInstance.Region, u.Region)
		removed := rapid.SampledFrom(instances).Draw(rt, "gone")
		for _, i := range instances {
			if i != removed {
				remaining = append(remaining, i)
			}
		}
		next, _ := Owner(u, remaining)
		if removed.Name != owner {
			assert.Equal(rt, next, owner)
		}
	})
}

// TestGrantsStayWithinSlots divides grants under random loads; Grants itself also checks
// the bound, as an invariant.
func TestGrantsStayWithinSlots(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4"}
	rapid.Check(t, func(rt *rapid.T) {
		g := NewGrants(failOnViolation(rt))
		inFlight := map[string]int{}
		slots := rapid.IntRange(0, 20).Draw(rt, "slots")
		load := PoolLoad{Slots: slots}
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				name := rapid.SampledFrom(names).Draw(rt, "name")
				if g.Begin(name, load) {
					inFlight[name]++
				}
			},
			"end": func(rt *rapid.T) {
				name := rapid.SampledFrom(names).Draw(rt, "name")
				if inFlight[name] > 0 {
					inFlight[name]--
					g.End(name)
				}
			},
			"divide": func(rt *rapid.T) {
				load.InUse = rapid.IntRange(0, slots).Draw(rt, "in use")
				load.Queued = rapid.IntRange(0, 10).Draw(rt, "queued")
				g.Divide(load)
				total := 0
				for _, name := range names {
					total += g.Granted(name)
				}
				assert.Assert(rt, total <= grantsPerSlot*slots)
			},
		})
	})
}

func TestGrantsAreFairByDemand(t *testing.T) {
	assert.DeepEqual(t, maxMinShares(10, []int{2, 20, 20}), []int{2, 4, 4})
	assert.DeepEqual(t, maxMinShares(2, []int{5, 5, 5}), []int{1, 1, 0})
	assert.DeepEqual(t, maxMinShares(100, []int{1, 2}), []int{1, 2})
	assert.DeepEqual(t, maxMinShares(0, []int{1}), []int{0})
}

func ownerLoad(name, domain string, slots, inUse, granted int, at time.Time) OwnerLoad {
	return OwnerLoad{Instance{name, domain, domain[:2]}, slots, inUse, granted, at}
}

// TestChooserOrder covers the distance, load, grant and age of owners, and the link
// budget.
func TestChooserOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	free := PoolLoad{Slots: 4}
	full := PoolLoad{Slots: 4, InUse: 4}
	near := ownerLoad("near", "r1-a", 4, 0, 4, now)
	region := ownerLoad("region", "r1-b", 4, 0, 4, now)
	far := ownerLoad("far", "r2-a", 4, 0, 4, now)
	with := func(o OwnerLoad, change func(*OwnerLoad)) OwnerLoad {
		change(&o)
		return o
	}
	cases := []struct {
		name  string
		self  PoolLoad
		loads []OwnerLoad
		far   Link
		want  []string
	}{
		{"nearest first", free, []OwnerLoad{far, region, near}, Link{}, []string{"self", "near", "region", "far"}},
		{"self is full", full, []OwnerLoad{far, region, near}, Link{}, []string{"near", "region", "far", "self"}},
		{"self owns nothing", PoolLoad{}, []OwnerLoad{near}, Link{}, []string{"near"}},
		{"busy last", free, []OwnerLoad{with(near, func(o *OwnerLoad) { o.InUse = 4 }), region}, Link{}, []string{"self", "region", "near"}},
		{"no grant yet", free, []OwnerLoad{with(near, func(o *OwnerLoad) { o.Granted = 0 }), region}, Link{}, []string{"self", "near", "region"}},
		{"no slots", free, []OwnerLoad{with(near, func(o *OwnerLoad) { o.Slots = 0 }), region}, Link{}, []string{"self", "region"}},
		{"old report", free, []OwnerLoad{with(near, func(o *OwnerLoad) { o.At = now.Add(-time.Minute) }), region}, Link{}, []string{"self", "region", "near"}},
		{"link used up", full, []OwnerLoad{far, region}, usedUpLink(now), []string{"region", "self"}},
	}
	for _, tc := range cases {
		c := NewChooser(ChooserOptions{
			Self:  Instance{"self", "r1-a", "r1"},
			Links: func(string) Link { return tc.far },
		})
		c.Update(tc.loads)
		assert.DeepEqual(t, c.Order(now, tc.self, false), tc.want)
	}
}

func usedUpLink(now time.Time) Link {
	budget := func() *LinkBudget { return NewLinkBudget(units.Bandwidth(8e6), 0.5, 5, now) }
	l := Link{budget(), budget()}
	l.charge(now, 0, 100_000)
	return l
}

// TestChooserKeepsWithinTheGrant begins requests until the chooser refuses. A busy owner
// without a grant, or with an outdated one, gets minGrant requests.
func TestChooserKeepsWithinTheGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	cases := []struct {
		name string
		load OwnerLoad
		want int
	}{
		{"grant", ownerLoad("near", "r1-a", 4, 4, 5, now), 5},
		{"no grant", ownerLoad("near", "r1-a", 4, 4, 0, now), minGrant},
		{"no grant but free slots", ownerLoad("near", "r1-a", 9, 1, 0, now), 8},
		{"old report", ownerLoad("near", "r1-a", 9, 1, 8, now.Add(-time.Minute)), minGrant},
		{"no slots", ownerLoad("near", "r1-a", 0, 0, 8, now), 0},
	}
	for _, tc := range cases {
		c := NewChooser(ChooserOptions{Self: Instance{"self", "r1-a", "r1"}})
		c.Update([]OwnerLoad{tc.load})
		begun := 0
		for c.Begin("near", now, false) {
			assert.Equal(t, len(c.Order(now, PoolLoad{}, false)) > 0, begun+1 < tc.want, tc.name)
			begun++
		}
		assert.Equal(t, begun, tc.want, tc.name)
	}

	c := NewChooser(ChooserOptions{Self: Instance{"self", "r1-a", "r1"}})
	c.Update([]OwnerLoad{ownerLoad("near", "r1-a", 4, 4, 5, now)})
	for c.Begin("near", now, false) {
	}
	c.Update(nil)
	c.Update([]OwnerLoad{ownerLoad("near", "r1-a", 4, 4, 3, later)})
	c.End("near", later, 0, 0)
	c.End("near", later, 0, 0)
	assert.Assert(t, !c.Begin("near", later, false), "requests in flight count against a lowered grant")
	c.End("near", later, 0, 0)
	assert.Assert(t, c.Begin("near", later, false))
}

// TestLinkBudgetBoundsBytes sends whenever the budget admits a request.
func TestLinkBudgetBoundsBytes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewLinkBudget(units.Bandwidth(80e6), 0.5, 5, now)
	sent, deferred := 0, 0
	const chunk = 10_000
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if b.Open(now, false) {
			b.Charge(now, chunk)
			sent += chunk
		}
		if b.Open(now, true) {
			b.Charge(now, chunk)
			deferred += chunk
		}
	}
	assert.Assert(t, sent+deferred <= 1_000_000*10+250_000+2*chunk, "%d", sent+deferred)
	assert.Assert(t, sent >= 9_000_000, "%d", sent)
	assert.Assert(t, deferred < sent/10, "%d", deferred)
}

func TestRetryBudget(t *testing.T) {
	notRun := errkind.New(errkind.Overloaded, "")
	unknown := errkind.New(errkind.UpstreamFailed, "")
	b := NewRetryBudget()
	assert.Assert(t, !b.Spend(true, unknown))
	assert.Assert(t, b.Spend(true, notRun))
	assert.Assert(t, b.Spend(false, unknown))
	retries := 0
	for range 1000 {
		b.Succeed()
		if b.Spend(false, unknown) {
			retries++
		}
	}
	assert.Assert(t, retries <= 100+maxRetryTokens)
}

func TestOwnershipIsSpread(t *testing.T) {
	var instances []Instance
	for i := range 10 {
		instances = append(instances, Instance{fmt.Sprintf("e%d", i), "r1-a", "r1"})
	}
	var list []*routing.Upstream
	for i := range 1000 {
		list = append(list, &routing.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: "r1-a"})
	}
	total := 0
	for _, i := range instances {
		owned := len(Owned(i.Name, list, instances))
		assert.Assert(t, owned >= 50 && owned <= 200, "%s owns %d", i.Name, owned)
		total += owned
	}
	assert.Equal(t, total, len(list))
}
