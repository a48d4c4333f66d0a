package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func identity(name, incarnation, address, domain, region string) *entrypb.Identity {
	return &entrypb.Identity{
		Name:          name,
		Incarnation:   incarnation,
		Address:       address + ":80",
		RpcAddress:    address + ":90",
		FailureDomain: domain,
		Region:        region,
	}
}

func newTestRegistry(seeds ...string) *Registry {
	return NewRegistry(Config{
		Self:     identity("self", "i-self", "10.0.0.1", "d1", "r1"),
		Seeds:    seeds,
		Interval: 100 * time.Millisecond,
	}, epoch)
}

func row(name, address string, state platform.InstanceState) platform.Instance {
	return platform.Instance{
		Name: name, Role: RoleEntry, Address: address + ":80", RPCAddress: address + ":90",
		FailureDomain: "d1", State: state,
	}
}

func TestPeerStates(t *testing.T) {
	state := &entrypb.State{Identity: identity("a", "a1", "10.0.0.2", "d1", "r1")}
	leaving := &entrypb.State{Identity: state.Identity, Leaving: true}
	next := &entrypb.State{Identity: identity("a", "a2", "10.0.0.2", "d1", "r1")}
	other := &entrypb.State{Identity: identity("b", "b1", "10.0.0.2", "d1", "r1")}
	live := []platform.Instance{row("a", "10.0.0.2", platform.InstanceLive)}
	stopping := []platform.Instance{row("a", "10.0.0.2", platform.InstanceLeaving)}
	const ms = time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	tests := []struct {
		name string
		do   func(r *Registry)
		at   time.Duration
		want string
	}{
		{"heartbeat received", func(r *Registry) { r.HandleHeartbeat(state, at(0)) }, 200 * ms, "a/a1 alive"},
		{"no heartbeat for long", func(r *Registry) { r.HandleHeartbeat(state, at(0)) }, 400 * ms, "a/a1 suspect"},
		{"no heartbeat for very long", func(r *Registry) { r.HandleHeartbeat(state, at(0)) }, 900 * ms, "a/a1 silent"},
		{"call failed", func(r *Registry) { r.HandleHeartbeat(state, at(0)); r.HandleFailure("10.0.0.2:90", at(1)) }, 100 * ms, "a/a1 suspect"},
		{"responds again", func(r *Registry) {
			r.HandleHeartbeat(state, at(0))
			r.HandleFailure("10.0.0.2:90", at(1))
			r.HandleResponse("10.0.0.2:90", state, at(2))
		}, 100 * ms, "a/a1 alive"},
		{"listed only", func(r *Registry) { r.SetInstances(live, at(0)) }, 100 * ms, "a/ alive"},
		{"leaving in the list", func(r *Registry) { r.SetInstances(stopping, at(0)) }, 100 * ms, "a/ alive leaving"},
		{"leaving mark is permanent", func(r *Registry) {
			r.HandleHeartbeat(leaving, at(0))
			r.HandleHeartbeat(state, at(1))
			r.SetInstances(live, at(2))
		}, 100 * ms, "a/a1 alive leaving"},
		{"new incarnation of a leaving one", func(r *Registry) {
			r.SetInstances(stopping, at(0))
			r.HandleHeartbeat(leaving, at(0))
			r.HandleHeartbeat(next, at(1))
			r.SetInstances(stopping, at(2))
		}, 100 * ms, "a/a2 alive"},
		{"late heartbeat of a replaced incarnation", func(r *Registry) {
			r.HandleHeartbeat(state, at(0))
			r.HandleHeartbeat(next, at(1))
			r.HandleHeartbeat(leaving, at(2))
		}, 100 * ms, "a/a2 alive"},
		{"response reinstates a replaced incarnation", func(r *Registry) {
			r.HandleHeartbeat(next, at(0))
			r.HandleHeartbeat(state, at(1))
			r.HandleResponse("10.0.0.2:90", next, at(2))
			r.HandleHeartbeat(state, at(3))
		}, 100 * ms, "a/a2 alive"},
		{"another name at the address", func(r *Registry) { r.HandleHeartbeat(state, at(0)); r.HandleHeartbeat(other, at(1)) }, 100 * ms, "b/b1 alive"},
		{"heartbeat of this instance", func(r *Registry) {
			r.HandleHeartbeat(&entrypb.State{Identity: identity("self", "i-old", "10.0.0.1", "d1", "r1")}, at(0))
		}, 100 * ms, ""},
		{"malformed", func(r *Registry) { r.HandleHeartbeat(&entrypb.State{}, at(0)) }, 100 * ms, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRegistry()
			test.do(r)
			for now := time.Duration(0); now < test.at; now += 50 * ms {
				r.Due(at(now))
			}
			assert.Equal(t, describe(r.Snapshot(at(test.at))), test.want)
		})
	}
}

func describe(peers *Peers) string {
	text := ""
	for _, p := range peers.All {
		text += fmt.Sprintf("%s/%s %s", p.Name, p.Incarnation, p.Health)
		if p.Leaving {
			text += " leaving"
		}
	}
	return text
}

func TestLocalPauseDoesNotMarkPeersSilent(t *testing.T) {
	r := newTestRegistry()
	r.HandleHeartbeat(&entrypb.State{Identity: identity("a", "a1", "10.0.0.2", "d1", "r1")}, epoch)
	r.Due(epoch)
	assert.Equal(t, describe(r.Snapshot(epoch.Add(time.Minute))), "a/a1 alive")
}

func TestEvidence(t *testing.T) {
	r := newTestRegistry()
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	assert.Equal(t, r.Evidence("a").AbsentFor(), time.Duration(0), "no list yet")
	both := []platform.Instance{row("a", "10.0.0.2", platform.InstanceLive), row("b", "10.0.0.3", platform.InstanceLive)}
	r.SetInstances(both, at(0))
	r.SetInstances(both[1:], at(10))
	r.SetInstances(nil, at(15))
	assert.Equal(t, r.Evidence("a").AbsentFor(), time.Duration(0), "an empty list is no evidence")
	r.SetInstances(both[1:], at(20))
	assert.Equal(t, r.Evidence("a").AbsentFor(), 10*time.Second)
	assert.Equal(t, r.Evidence("never").AbsentFor(), 20*time.Second)
	r.SetInstances(both, at(30))
	assert.Equal(t, r.Evidence("a").AbsentFor(), time.Duration(0), "listed again")
	r.HandleHeartbeat(&entrypb.State{Identity: identity("a", "a1", "10.0.0.2", "d1", "r1")}, at(31))
	assert.Equal(t, r.Evidence("a").LastSeen, at(31))
	r.HandleResponse("10.0.0.2:90", &entrypb.State{Identity: identity("c", "c1", "10.0.0.2", "d1", "r1")}, at(32))
	assert.Assert(t, r.Replaced("a1"))
}

// TestContactsAtSize checks the number of contacts and the byte budget at the
// size given in CAPACITY.md.
func TestContactsAtSize(t *testing.T) {
	const regions, domains, perDomain = 26, 83, 55
	r := NewRegistry(Config{Self: identity("n-0-0", "self", "10.0.0.0", "d0", "r0"), Interval: 350 * time.Millisecond}, epoch)
	for d := range domains {
		for n := range perDomain {
			id := identity(fmt.Sprintf("n-%d-%d", d, n), fmt.Sprintf("i-%d-%d", d, n), fmt.Sprintf("10.%d.%d.1", d, n), fmt.Sprintf("d%d", d), fmt.Sprintf("r%d", d%regions))
			r.HandleHeartbeat(&entrypb.State{Identity: id, Loads: make([]*entrypb.ServiceLoad, 3)}, epoch)
		}
	}
	contacted := 0
	const rounds, step = 600, 100 * time.Millisecond
	for i := range rounds {
		contacted += len(r.Due(epoch.Add(time.Duration(i) * step)))
	}
	bytesPerSecond := float64(contacted) * r.avgStateBytes / (rounds * step).Seconds()
	t.Logf("contacts %d, interval %s, %.0f bytes of heartbeats sent per second", len(r.contacts), r.Interval(), bytesPerSecond)
	assert.Assert(t, len(r.contacts) < 160)
	assert.Assert(t, bytesPerSecond < 1.2*ByteBudget)
	assert.Equal(t, len(r.Snapshot(epoch).All), peerCount(domains, perDomain))
}

func peerCount(domains, perDomain int) int { return domains*perDomain - 1 }

// TestZeroPeersIsEmpty checks that the zero value can be used: services read it
// until the first snapshot has been made.
func TestZeroPeersIsEmpty(t *testing.T) {
	var p Peers
	assert.Assert(t, p.ByName("a") == nil)
	assert.Assert(t, p.ByIncarnation(NewIncarnation("a", 1)) == nil)
	assert.Equal(t, len(p.InDomain("d1")), 0)
}
