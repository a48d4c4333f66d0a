package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// fleet is several registries that exchange heartbeats over a lossy network.
type fleet struct {
	registries map[string]*Registry
	states     map[string]*entrypb.State
	// down holds the addresses that do not respond.
	down map[string]bool
	rand *rand.Rand
	loss float64
	now  time.Time
	sent int
}

func newFleet(seed uint64, loss float64) *fleet {
	return &fleet{
		registries: map[string]*Registry{},
		states:     map[string]*entrypb.State{},
		down:       map[string]bool{},
		rand:       rand.New(rand.NewPCG(seed, 1)),
		loss:       loss,
		now:        epoch,
	}
}

// start adds instance i, or restarts it with a new incarnation.
func (f *fleet) start(i int) string {
	id := identity(fmt.Sprintf("n%02d", i), NewIncarnation(fmt.Sprintf("n%02d", i), f.rand.Uint64()), fmt.Sprintf("10.0.0.%d", i), fmt.Sprintf("d%d", i%6), fmt.Sprintf("r%d", i%6/2))
	f.states[id.RpcAddress] = &entrypb.State{Identity: id}
	f.registries[id.RpcAddress] = NewRegistry(Config{Self: id, Rand: rand.New(rand.NewPCG(uint64(i), 2))}, f.now)
	return id.RpcAddress
}

// publishList gives every registry the list of all instances.
func (f *fleet) publishList() {
	var rows []platform.Instance
	for address, state := range f.states {
		rows = append(rows, platform.Instance{
			Name: state.Identity.Name, Role: RoleEntry, Address: state.Identity.Address, RPCAddress: address,
			FailureDomain: state.Identity.FailureDomain, State: platform.InstanceLive,
		})
	}
	for _, r := range f.registries {
		r.SetInstances(rows, f.now)
	}
}

// run advances the time by d in steps of 50 ms and exchanges the heartbeats
// that are due.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for _, address := range slices.Sorted(maps.Keys(f.registries)) {
			if f.down[address] {
				continue
			}
			for _, target := range f.registries[address].Due(f.now) {
				f.exchange(address, target.RPCAddress)
			}
		}
	}
}

// exchange delivers one heartbeat and its response, or reports the call as
// failed.
func (f *fleet) exchange(from, to string) {
	f.sent++
	if f.down[to] || f.rand.Float64() < f.loss {
		f.registries[from].HandleFailure(to, f.now)
		return
	}
	f.registries[to].HandleHeartbeat(f.states[from], f.now)
	f.registries[from].HandleResponse(to, f.states[to], f.now)
}

// forEachLive calls check with the address and the snapshot of each live
// instance.
func (f *fleet) forEachLive(check func(from string, peers *Peers)) {
	for address, r := range f.registries {
		if !f.down[address] {
			check(address, r.Snapshot(f.now))
		}
	}
}

// TestFleetTracksHealthUnderLoss checks, with lost heartbeats, that no live
// instance becomes Silent, that a failed one does, and that a restarted one is
// found with its new incarnation.
func TestFleetTracksHealthUnderLoss(t *testing.T) {
	for seed, loss := range []float64{0, 0.05, 0.2} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			f := newFleet(uint64(seed), loss)
			for i := range 10 {
				f.start(i)
			}
			f.publishList()
			f.run(30 * time.Second)
			f.forEachLive(func(_ string, peers *Peers) {
				assert.Equal(t, len(peers.All), 9)
				for _, p := range peers.All {
					assert.Assert(t, p.Health != Silent && p.Incarnation != "")
				}
			})
			perPair := float64(f.sent) / 30 / 45
			t.Logf("%.2f exchanges per second and pair", perPair)
			assert.Assert(t, perPair < 1.5/defaultInterval.Seconds()/(1-loss))

			f.down["10.0.0.3:90"] = true
			f.run(10 * time.Second)
			f.forEachLive(func(_ string, peers *Peers) { assert.Equal(t, peers.ByName("n03").Health, Silent) })

			f.down["10.0.0.3:90"] = false
			f.start(3)
			f.publishList()
			f.run(5 * time.Second)
			f.forEachLive(func(from string, peers *Peers) {
				if from != "10.0.0.3:90" {
					assert.Equal(t, peers.ByName("n03").Incarnation, f.states["10.0.0.3:90"].Identity.Incarnation)
					assert.Assert(t, peers.ByName("n03").Health != Silent)
				}
			})
		})
	}
}

// TestLeavingMarkReachesPeersInOneRound checks that in a full mesh one round of
// heartbeats announces the leaving instance to every peer.
func TestLeavingMarkReachesPeersInOneRound(t *testing.T) {
	f := newFleet(1, 0)
	for i := range 10 {
		f.start(i)
	}
	f.publishList()
	f.run(5 * time.Second)
	const leaving = "10.0.0.4:90"
	f.states[leaving] = &entrypb.State{Identity: f.states[leaving].Identity, Leaving: true}
	f.registries[leaving].SetSelf(f.states[leaving])
	f.registries[leaving].AnnounceLeaving(f.now)
	for _, target := range f.registries[leaving].Due(f.now) {
		f.exchange(leaving, target.RPCAddress)
	}
	f.forEachLive(func(from string, peers *Peers) {
		if from == leaving {
			assert.Assert(t, peers.Self.Leaving)
			return
		}
		assert.Assert(t, peers.ByName("n04").Leaving && !peers.ByName("n04").Usable())
	})
}

func TestHeartbeatDomainNowContactsOnlyLocalDomain(t *testing.T) {
	f := newFleet(1, 0)
	for i := range 18 {
		f.start(i)
	}
	f.publishList()
	f.run(5 * time.Second)
	const sender = "10.0.0.4:90"
	r := f.registries[sender]
	r.Due(f.now)
	r.HeartbeatDomainNow(f.now)
	var names []string
	for _, target := range r.Due(f.now) {
		names = append(names, target.Name)
	}
	slices.Sort(names)
	assert.DeepEqual(t, names, []string{"n10", "n16"})
}
