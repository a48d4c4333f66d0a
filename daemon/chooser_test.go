package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/splitting"
)

// chooserView returns the view of an instance in east-1 that owns no upstream, with
// one owner in each of three failure domains.
func chooserView(t *testing.T, splits *splitting.Snapshot) *view {
	t.Helper()
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: benchSet(1)})
	assert.NilError(t, err)
	self := membership.Peer{Name: "self", FailureDomain: "east-1", Region: "east"}
	load := []*entrypb.ServiceLoad{{Service: "lookup", Version: "v1", Slots: 9, Granted: 9}}
	var peers []*membership.Peer
	for _, domain := range []string{"east-1", "east-2", "west-1"} {
		peers = append(peers, &membership.Peer{
			Name: "owner-" + domain, RPCAddress: domain, FailureDomain: domain, Region: domain[:4],
			Health: membership.Alive, LastSeen: time.Now(), State: &entrypb.State{Loads: load},
		})
	}
	o := &ownership{
		deps:  &dependencies{},
		table: table,
		peers: membership.NewPeers(self, peers),
		links: newLinkSet(),
	}
	o.setChoosers()
	o.updateChoosers()
	return &view{
		table: table, peers: o.peers, splits: splits, choosers: o.choosers,
		pools: balancing.NewPools(balancing.PoolOptions{}),
	}
}

func TestChooserFollowsMove(t *testing.T) {
	move := func(share float64) *splitting.Snapshot {
		return splitting.NewRegistry(nil).Build(nil, []splitting.DomainShare{
			{Name: "m", Generation: 1, Service: "lookup", From: "east-1", To: "east-2", Share: share},
		})
	}
	cases := map[string]struct {
		splits *splitting.Snapshot
		want   []string
	}{
		"no move":                         {nil, []string{"east-1", "east-2", "west-1"}},
		"chosen: destination first":       {move(1), []string{"east-2", "east-1", "west-1"}},
		"not chosen: never a destination": {move(0), []string{"east-1", "west-1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			v := chooserView(t, test.splits)
			all := newViews()
			all.store(v)
			request := &dispatch.Request{Route: v.table.Route("lookup")}
			choice := (&chooser{views: all}).Choose(request)
			var addresses []string
			for _, target := range choice.Targets(choice.Version) {
				addresses = append(addresses, target.(*remoteTarget).address)
			}
			assert.DeepEqual(t, addresses, test.want)
		})
	}
}
