package edge

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/registry"
)

// Guards against more senders to a cold upstream than its rate is divided among: they are counted
// without sorting all instances, which the model does.
func TestColdSendersAreTheNearestInstances(t *testing.T) {
	regions := map[string]string{"east-1": "east", "east-2": "east", "west-1": "west"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		peer := func(name string) *membership.Peer {
			domain := slices.Sorted(maps.Keys(regions))[random.IntN(3)]
			return &membership.Peer{Name: name, FailureDomain: domain, Region: regions[domain]}
		}
		var others []*membership.Peer
		for n := range random.IntN(12) {
			others = append(others, peer(fmt.Sprint("e", n)))
		}
		peers := membership.NewPeers(*peer("self"), others)
		u := &registry.Upstream{Entry: registry.Entry{ID: fmt.Sprint("u", seed), FailureDomain: "east-1"}}
		all := append([]*membership.Peer{&peers.Self}, peers.All...)
		distance := func(p *membership.Peer) int {
			return map[bool]int{true: 0, false: map[bool]int{true: 1, false: 2}[p.Region == "east"]}[p.FailureDomain == "east-1"]
		}
		slices.SortFunc(all, func(a, b *membership.Peer) int {
			return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(xxhash.Sum64String(a.Name+u.ID), xxhash.Sum64String(b.Name+u.ID)))
		})
		want := min(len(all), maxColdSenders)
		senders, sends := coldSenders(peers, regions, u)
		assert.Equal(t, senders, want, "seed %d", seed)
		assert.Equal(t, sends, slices.Contains(all[:want], &peers.Self), "seed %d", seed)
	}
}

// Guards against cold upstreams without a limit, because only those that have changed are looked
// at: the model looks at all of them.
func TestAllColdUpstreamsHaveALimit(t *testing.T) {
	limited := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := newUpstreamFleet(t, 10)
		c := f.control
		for range 200 {
			f.now = f.now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
			f.revision++
			switch random.IntN(6) {
			case 0, 1:
				f.read(f.entry(random.IntN(10), "ready", time.Duration(random.IntN(4))*time.Second))
			case 2:
				f.read(platform.Entry{Key: fmt.Sprintf("servers/u-%04d", random.IntN(10)), Revision: f.revision, Deleted: true})
			case 3:
				f.read(platform.Entry{Key: records.PrefixEvacuations + "east-1", Revision: f.revision, Value: []byte("{}"), Deleted: random.IntN(2) == 0})
			case 4:
				config := fmt.Sprintf(`{"version":"%08x","resources":[{"of_kind":"services","meta":{"name":"lookup"},`+
					`"spec":{"health_path":"/health","max_conns":360,"cold_s":%d,"cold_per_s":%d}}]}`, int64(f.revision), random.IntN(4), random.IntN(3))
				f.read(platform.Entry{Key: records.KeyConfig, Revision: f.revision, Value: []byte(config)})
			}
			c.tick(f.now)
			c.publish(f.now)
			want := map[string]time.Time{}
			for u := range c.upstreams.Each() {
				if limit, cold := c.coldLimit(f.now, c.members.Snapshot(f.now), u); cold {
					want[u.ID] = limit.Until
				}
			}
			assert.DeepEqual(t, c.cold.until, want)
			limited += len(want)
		}
	}
	assert.Assert(t, limited > 1000, "%d", limited)
}

// Guards against an instance that treats all upstreams as cold when it has just read them: it
// refused most requests in the first 0.5 s after each start.
func TestWarmUpstreamsHaveNoLimitAfterAStart(t *testing.T) {
	f := newUpstreamFleet(t, 10)
	assert.Equal(t, len(f.control.cold.until), 0)
	f.revision++
	f.read(f.entry(3, "ready", 200*time.Millisecond))
	assert.Equal(t, len(f.control.cold.until), 1)
	f.now = f.now.Add(200 * time.Millisecond)
	f.control.tick(f.now)
	assert.Equal(t, len(f.control.cold.until), 1, "the upstream may have written its entry late")
}

func TestUpstreamsThatAreGoneAreForgottenAgain(t *testing.T) {
	var gone goneUpstreams
	now := time.Now()
	gone.add(now, []string{"u-1", "u-2"})
	gone.add(now.Add(time.Second), []string{"u-3"})
	known := func(id string) bool { return id == "u-2" }
	assert.Equal(t, len(gone.expired(now.Add(goneUpstreamAge), known)), 0)
	assert.DeepEqual(t, gone.expired(now.Add(goneUpstreamAge+time.Millisecond), known), []string{"u-1"})
	assert.DeepEqual(t, gone.expired(now.Add(2*goneUpstreamAge), known), []string{"u-3"})
}
