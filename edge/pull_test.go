package edge

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// stuckPeer is an entry instance that reports a high revision in its heartbeats and
// never responds to a request for its records.
type stuckPeer struct {
	entrypb.UnimplementedEntryServer
	state *entrypb.State
	asked chan struct{}
	// revision is the highest one that a heartbeat or an announcement had.
	revision atomic.Uint64
}

func (p *stuckPeer) Heartbeat(_ context.Context, state *entrypb.State) (*entrypb.State, error) {
	p.revision.Store(max(p.revision.Load(), state.GetStoreRevision()))
	return p.state, nil
}

func (p *stuckPeer) Announce(_ context.Context, a *entrypb.Announcement) (*entrypb.AnnouncementReceipt, error) {
	p.revision.Store(max(p.revision.Load(), a.GetStoreRevision()))
	return &entrypb.AnnouncementReceipt{}, nil
}

func (p *stuckPeer) GetConfig(ctx context.Context, _ *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	select {
	case p.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// startStuckPeer starts the peer in the failure domain of the other instances.
func startStuckPeer(t *testing.T) *stuckPeer {
	t.Helper()
	address, err := freeport.Next()
	assert.NilError(t, err)
	const name, revision = "stuck", 1 << 40
	p := &stuckPeer{asked: make(chan struct{}, 1), state: &entrypb.State{
		Identity: &entrypb.Identity{
			Name: name, Incarnation: membership.NewIncarnation(name, 1), Address: address, RpcAddress: address,
			FailureDomain: "east-1", Region: "east",
		},
		StoreRevision: revision,
		StoreAway:     true,
	}}
	server, err := entryinstance.NewServer(rpcConfig(&static.EdgeSettings{}), p)
	assert.NilError(t, err)
	listener, err := entryinstance.Listen(rpcConfig(&static.EdgeSettings{}), address)
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(listener)) }()
	t.Cleanup(server.Close)
	return p
}

// TestPeerThatDoesNotRespondDelaysNoConfiguration guards against an instance that asks only
// the peer with the newest records, again and again, while that peer does not respond.
func TestPeerThatDoesNotRespondDelaysNoConfiguration(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	first := s.start("e1")
	defer first.stop()
	proxy := newProxy(t, strings.TrimPrefix(s.url, "http://"))
	direct := s.url
	s.url = "http://" + proxy.listener.Addr().String()
	second := s.start("e2")
	defer second.stop()
	s.url = direct
	first.waitReady(0)
	second.waitReady(0)
	knows := func(i *instance, name string) func() bool {
		return func() bool { return i.deps.views.load().peers.ByName(name) != nil }
	}
	eventually(t, "the second instance knows the first", knows(second, "e1"))
	proxy.close()
	stuck := startStuckPeer(t)
	second.control.post(heartbeatReceived{state: stuck.state, reply: make(chan *entrypb.State, 1)})
	eventually(t, "the stuck peer was asked", func() bool { return len(stuck.asked) == 1 })
	s.configure(2, "k9")
	eventually(t, "version 2 is in force", func() bool { return second.deps.views.load().table.Version == 2 })
}

// peersWith returns a snapshot of the peers, as seen from an instance of east-1.
func peersWith(all ...*membership.Peer) *membership.Peers {
	return membership.NewPeers(membership.Peer{Name: "self", FailureDomain: "east-1", Region: "east", State: &entrypb.State{StoreAway: true}}, all)
}

func TestPullSources(t *testing.T) {
	now := time.Unix(100, 0)
	peer := func(name, domain, region string, revision uint64) *membership.Peer {
		return &membership.Peer{Name: name, FailureDomain: domain, Region: region, State: &entrypb.State{StoreRevision: revision}}
	}
	leader, near := peer("leader", "east-1", "east", 5), peer("near", "east-2", "east", 9)
	far, old := peer("far", "west-1", "west", 9), peer("old", "east-1", "east", 1)
	for name, test := range map[string]struct {
		peers           *membership.Peers
		running, failed string
		want            string
	}{
		"the leader before a newer peer":    {peers: peersWith(leader, near, far, old), want: "leader"},
		"the nearest without a leader":      {peers: peersWith(near, far, old), want: "near"},
		"another one beside a running one":  {peers: peersWith(leader, near, far, old), running: "leader", want: "near"},
		"another one after a failure":       {peers: peersWith(leader, far, old), failed: "leader", want: "far"},
		"a failed one if there is no other": {peers: peersWith(leader, old), failed: "leader", want: "leader"},
		"none is newer":                     {peers: peersWith(old), want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPulls()
			p.running[test.running] = true
			p.failedAt[test.failed] = now
			got := p.source(now, test.peers, 1)
			if test.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, got.Name, test.want)
		})
	}
}

// Guards against a failure domain that waits for an ordinary heartbeat: its leader learned of a
// change from the leader of another domain, and told only the instances that asked.
func TestALeaderAnnouncesWhatAPeerHasPassedOn(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	peer := startStuckPeer(t)
	identity := peer.state.GetIdentity()
	c.members.SetInstances([]platform.Instance{{
		Name: identity.GetName(), Role: membership.RoleEntry, Address: identity.GetAddress(), RPCAddress: identity.GetRpcAddress(),
		FailureDomain: identity.GetFailureDomain(), State: platform.InstanceLive,
	}}, now)
	c.readsStore = true
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true}.apply(c, now)
	eventually(t, "what was read from the store is announced", func() bool { return peer.revision.Load() == 10 })
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-2", 11)}, revision: 11, fromPeer: "w1"}.apply(c, now)
	eventually(t, "what a peer has passed on is announced", func() bool { return peer.revision.Load() == 11 })
}
