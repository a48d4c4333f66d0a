package daemon

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

// benchPeers holds the numbers of peers in the fleets that are measured.
var benchPeers = []int{10, 100, 1000, 4600}

// benchControl returns the control state of an instance that has its peers from the
// platform's list and has received one heartbeat from each of its contacts, and the
// states of the contacts. It makes no calls.
func benchControl(b *testing.B, peers int) (*control, []*entrypb.State) {
	injector := newInjector(&static.Settings{
		Name: "self", Region: "east", FailureDomain: "east-1", Advertise: "10.255.0.1:80", RPCAdvertise: "10.255.0.1:90",
		Platform: "http://127.0.0.1:1", AllowPlaintext: true, HeartbeatInterval: 250 * time.Millisecond,
	}, zap.NewNop(), nil)
	deps, err := do.Invoke[*dependencies](injector)
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(func() {
		cancel()
		deps.peers.Close()
		deps.upstreams.Close()
	})
	c := newControl(ctx, deps, do.MustInvoke[*loop](injector))
	states := receiveFromContacts(c, benchStates(peers))
	set := benchSet(8)
	for i := range set.Upstreams {
		set.Upstreams[i].FailureDomain = "far"
	}
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: set})
	assert.NilError(b, err)
	c.setTable(time.Now(), table)
	c.updatePeers(time.Now())
	return c, states
}

// receiveFromContacts applies a list of all instances and one heartbeat from each
// instance that is a contact, and returns the states of the contacts.
func receiveFromContacts(c *control, states []*entrypb.State) []*entrypb.State {
	var list []platform.Instance
	byName := map[string]*entrypb.State{}
	for _, state := range states {
		id := state.GetIdentity()
		byName[id.GetName()] = state
		list = append(list, platform.Instance{
			Name: id.GetName(), Role: membership.RoleEntry, Address: id.GetAddress(), RPCAddress: id.GetRpcAddress(),
			FailureDomain: id.GetFailureDomain(), State: platform.InstanceLive,
		})
	}
	instanceListRead{list: list}.apply(c, time.Now())
	var received []*entrypb.State
	for _, target := range c.registry.Due(time.Now()) {
		state := byName[target.Name]
		c.registry.HandleHeartbeat(state, time.Now())
		received = append(received, state)
	}
	return received
}

// benchStates returns heartbeats of instances in 83 failure domains, or fewer,
// each with loads of three services.
func benchStates(peers int) []*entrypb.State {
	domains := max(6, peers*83/4600)
	states := make([]*entrypb.State, peers)
	for i := range states {
		domain := i % domains
		state := &entrypb.State{Identity: &entrypb.Identity{
			Name: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("%036d", i),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), RpcAddress: fmt.Sprintf("10.0.%d.%d:90", i/256, i%256),
			FailureDomain: fmt.Sprint("d", domain), Region: fmt.Sprint("r", domain/3),
		}}
		for _, service := range []string{"lookup", "ledger", "archive"} {
			state.Loads = append(state.Loads, &entrypb.ServiceLoad{Service: service, Version: "v1", Slots: 18, InUse: 7, Granted: 3})
		}
		states[i] = state
	}
	return states
}

// BenchmarkControlTick measures the stages of one control tick whose cost grows
// with the fleet, after one heartbeat. Ticks come every 50 ms. Network calls are not
// included.
func BenchmarkControlTick(b *testing.B) {
	for _, peers := range benchPeers {
		c, states := benchControl(b, peers)
		stages := []struct {
			name string
			run  func(now time.Time)
		}{
			{"peers", func(now time.Time) { c.updatePeers(now) }},
			{"share_view", func(now time.Time) { c.setShareView(now) }},
			{"state", func(now time.Time) { c.state(now) }},
			{"view", func(now time.Time) { c.dirty = true; c.publish(now) }},
			{"divide", func(time.Time) { c.ownership.divide() }},
		}
		for _, stage := range stages {
			b.Run(fmt.Sprintf("%s/peers=%d", stage.name, peers), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := time.Now()
					c.registry.HandleHeartbeat(states[i%len(states)], now)
					stage.run(now)
				}
			})
		}
	}
}

// BenchmarkControlMemory measures the heap memory of the control state of one
// instance, in bytes per peer.
func BenchmarkControlMemory(b *testing.B) {
	for _, peers := range benchPeers {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				c, states := benchControl(b, peers)
				c.setShareView(time.Now())
				b.ReportMetric(float64(heapInUse()-before)/float64(peers), "bytes/peer")
				runtime.KeepAlive(c)
				runtime.KeepAlive(states)
			}
		})
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
