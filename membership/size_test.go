package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExchangesDoNotGrowWithTheFleet guards against processor time that grows with the fleet:
// each heartbeat costs the same on both sides, however few bytes it has.
func TestExchangesDoNotGrowWithTheFleet(t *testing.T) {
	perInstance := func(instances int) float64 {
		f := newFleet(1, 0)
		for i := range instances {
			f.start(i)
		}
		f.publishList()
		f.run(20 * time.Second)
		f.sent = 0
		const seconds = 30
		f.run(seconds * time.Second)
		// Each exchange concerns two instances.
		return 2 * float64(f.sent) / float64(instances) / seconds
	}
	base := perInstance(30)
	for _, instances := range []int{100, 195, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			got := perInstance(instances)
			assert.Assert(t, got <= 1.3*base, "%.1f heartbeats a second at an instance, %.1f with 30 instances", got, base)
			assert.Assert(t, got <= 1.1*MaxExchangesPerSecond, "%.1f heartbeats a second at an instance", got)
		})
	}
}

// TestSnapshotLooksAtChangedPeersOnly guards against a cost of each event that grows with the
// fleet: a heartbeat marks one member for publishing, and the snapshot replaces only that Peer.
func TestSnapshotLooksAtChangedPeersOnly(t *testing.T) {
	r, states := benchRegistry(300)
	before := r.Snapshot(epoch)
	now := epoch.Add(10 * time.Millisecond)
	r.HandleHeartbeat(states[7], now)
	assert.Equal(t, len(r.touched), 1)
	// A change that does not mark its member shows whether the others are examined.
	unmarked := states[8].GetIdentity().GetName()
	r.members[unmarked].leaving = true
	after := r.Snapshot(now)
	assert.Assert(t, !after.ByName(unmarked).Leaving, "a peer that was not updated was examined")
	assert.Equal(t, len(r.touched), 0)
	changed := 0
	for n, peer := range after.All {
		if peer != before.All[n] {
			changed++
		}
	}
	assert.Equal(t, changed, 1)
	assert.Equal(t, after.Generation(), before.Generation())
	assert.Assert(t, after.ByName(states[7].GetIdentity().GetName()).LastSeen.Equal(now))
}
