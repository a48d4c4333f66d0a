package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// TestSnapshotMatchesMembers changes members at random and compares each
// snapshot with all members. A snapshot reuses the peers that it considers
// unchanged, so a missed change would leave one out of date.
func TestSnapshotMatchesMembers(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		r := NewRegistry(Config{Self: identity("self", "self_1", "10.0.0.1", "d0", "r0")}, epoch)
		now := epoch
		for range 300 {
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			applyRandomChange(r, random, now)
			peers := r.Snapshot(now)
			assert.Equal(t, len(peers.All), len(r.members))
			for _, m := range r.members {
				want := m.peer(m.health(now, r.resumed, r.Interval()))
				assert.Assert(t, *peers.ByName(m.name) == want, "seed %d: %s is out of date", seed, m.name)
			}
		}
	}
}

// applyRandomChange applies a heartbeat, a failed call, a change of regions or
// an instance list.
func applyRandomChange(r *Registry, random *rand.Rand, now time.Time) {
	n := random.IntN(40)
	name := fmt.Sprint("e", n)
	incarnation := fmt.Sprintf("%s_%d", name, random.IntN(3))
	address := fmt.Sprintf("10.0.1.%d", random.IntN(40))
	switch random.IntN(5) {
	case 0, 1:
		state := &entrypb.State{
			Identity:     identity(name, incarnation, address, fmt.Sprint("d", n%4), fmt.Sprint("r", n%2)),
			Leaving:      random.IntN(4) == 0,
			LoadPermille: random.Uint32N(1000),
		}
		r.HandleHeartbeat(state, now)
	case 2:
		r.HandleFailure(address+":90", now)
	case 3:
		r.SetRegions(map[string]string{fmt.Sprint("d", n%4): fmt.Sprint("r", n%3)})
	case 4:
		var list []platform.Instance
		for i := range 40 {
			row := platform.Instance{Name: fmt.Sprint("e", i), Role: RoleEntry, RPCAddress: fmt.Sprintf("10.0.2.%d:90", i), FailureDomain: fmt.Sprint("d", i%4)}
			if random.IntN(3) == 0 {
				row.State = platform.InstanceLeaving
			}
			if random.IntN(3) > 0 {
				list = append(list, row)
			}
		}
		r.SetInstances(list, now)
	}
}
