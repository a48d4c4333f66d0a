package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

func peerIn(domain, name string) *Peer {
	return &Peer{Name: name, FailureDomain: domain, State: &entrypb.State{}}
}

func TestLeaderSelection(t *testing.T) {
	loseStore := func(p *Peer) { p.State = &entrypb.State{StoreAway: true} }
	tests := []struct {
		name   string
		change func(first *Peer)
		stays  bool
	}{
		{"no change", func(*Peer) {}, true},
		{"peer leaving", func(p *Peer) { p.Leaving = true }, false},
		{"peer suspect", func(p *Peer) { p.Health = Suspect }, false},
		{"store unavailable", loseStore, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all := []*Peer{peerIn("d2", "a"), peerIn("d2", "b"), peerIn("d2", "c")}
			self := *peerIn("d1", "self")
			before := NewPeers(self, all).Leader("d2")
			test.change(before)
			after := NewPeers(self, all)
			assert.Equal(t, after.Leader("d2") == before, test.stays)
			assert.Assert(t, after.IsLeader(), "an instance that is alone leads its domain")
			assert.Equal(t, after.LeaderCount(), 2)
		})
	}
}

// TestLeadersContactEachOther checks that the leaders of all domains are
// contacts of each other even where most pairs of instances are not. Otherwise
// information would not reach every domain in one exchange.
func TestLeadersContactEachOther(t *testing.T) {
	var rows []platform.Instance
	for i := range 60 {
		r := row(fmt.Sprintf("n%02d", i), fmt.Sprintf("10.0.1.%d", i), platform.InstanceLive)
		r.FailureDomain = fmt.Sprintf("d%d", 1+i%6)
		rows = append(rows, r)
	}
	regions := map[string]string{"d1": "r1", "d2": "r1", "d3": "r2", "d4": "r2", "d5": "r3", "d6": "r3"}
	r := newTestRegistry()
	r.SetRegions(regions)
	r.SetInstances(rows, epoch)
	// The peers in the local domain do not reach the store, so this instance is
	// the leader.
	for i := 0; i < 60; i += 6 {
		state := &entrypb.State{
			Identity:  identity(rows[i].Name, rows[i].Name+"_1", fmt.Sprintf("10.0.1.%d", i), "d1", "r1"),
			StoreAway: true,
		}
		r.HandleHeartbeat(state, epoch)
	}
	peers := r.Snapshot(epoch)
	assert.Assert(t, peers.IsLeader() && !peers.FullMesh())
	due := map[string]bool{}
	for _, target := range r.Due(epoch.Add(200 * time.Millisecond)) {
		due[target.Name] = true
	}
	for domain := range regions {
		if domain != "d1" {
			assert.Assert(t, due[peers.Leader(domain).Name], "the leader of %s is not a contact", domain)
		}
	}
}

// Guards against a change that depends on one instance where there are few failure domains.
func TestAtLeastThreeInstancesRead(t *testing.T) {
	for _, domains := range []int{1, 2, 3, 5} {
		const instances = 10
		var all []*Peer
		for n := range instances {
			name := fmt.Sprintf("i%d", n)
			all = append(all, &Peer{Name: name, FailureDomain: fmt.Sprintf("d%d", n%domains), State: &entrypb.State{}})
		}
		readers := 0
		for n, self := range all {
			others := slices.Delete(slices.Clone(all), n, n+1)
			if NewPeers(*self, others).IsReader(3) {
				readers++
			}
		}
		assert.Equal(t, readers, max(domains, 3), "%d domains", domains)
	}
	alone := NewPeers(Peer{Name: "i", FailureDomain: "d", State: &entrypb.State{}}, nil)
	assert.Assert(t, alone.IsReader(3))
}
