package edge

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
)

// laggingPeer is an entry instance whose heartbeats always have its first state, as that of a
// peer whose next heartbeat is not due yet, or whose control goroutine is late.
type laggingPeer struct {
	entrypb.UnimplementedEntryServer
	state *entrypb.State
	// frozen is set when calls get no response.
	frozen atomic.Bool
	// config is the record that pulls get; without one they get no response.
	config    atomic.Pointer[platform.Entry]
	announced chan *entrypb.Announcement
}

func (p *laggingPeer) Heartbeat(ctx context.Context, _ *entrypb.State) (*entrypb.State, error) {
	if p.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.state, nil
}

func (p *laggingPeer) GetConfig(ctx context.Context, _ *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	config := p.config.Load()
	if config == nil || p.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	revision := uint64(config.Revision)
	return &entrypb.GetConfigResponse{
		Entries:  []*entrypb.StoreEntry{{Key: config.Key, Value: config.Value, Revision: revision}},
		Revision: revision,
	}, nil
}

func (p *laggingPeer) Announce(_ context.Context, told *entrypb.Announcement) (*entrypb.AnnouncementReceipt, error) {
	select {
	case p.announced <- told:
	default:
	}
	return &entrypb.AnnouncementReceipt{}, nil
}

// startLaggingPeer starts the peer and registers it in the store.
func (s *system) startLaggingPeer(name, domain, region string) *laggingPeer {
	s.t.Helper()
	address, err := freeport.Next()
	assert.NilError(s.t, err)
	p := &laggingPeer{announced: make(chan *entrypb.Announcement, 100), state: &entrypb.State{Identity: &entrypb.Identity{
		Name: name, Incarnation: membership.NewIncarnation(name, 1), Address: address, RpcAddress: address,
		FailureDomain: domain, Region: region,
	}}}
	server, err := entryinstance.NewServer(rpcConfig(&static.EdgeSettings{}), p)
	assert.NilError(s.t, err)
	listener, err := entryinstance.Listen(rpcConfig(&static.EdgeSettings{}), address)
	assert.NilError(s.t, err)
	go func() { assert.Check(s.t, server.Serve(listener)) }()
	s.t.Cleanup(server.Close)
	value, err := records.EncodeInstance(records.Instance{
		Name: name, Incarnation: p.state.GetIdentity().GetIncarnation(), Address: address, RPCAddress: address,
		FailureDomain: domain, Region: region,
	})
	assert.NilError(s.t, err)
	s.put(records.PrefixInstances+name, string(value))
	return p
}

// startMember starts the instance "e2" of east-1, which the peer "stuck" leads: its name has the
// lower hash. The instance then makes no watch of the store.
func (s *system) startMember() *instance {
	s.t.Helper()
	settings := s.settings("e2")
	settings.HeartbeatInterval = 5 * time.Second
	i, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(s.t, err)
	assert.NilError(s.t, i.Start())
	member := &instance{Instance: i, t: s.t}
	eventually(s.t, "the peers have sent a heartbeat and one of them leads", func() bool {
		peers := member.deps.views.load().peers
		stuck, far := peers.ByName("stuck"), peers.ByName("w1")
		return !peers.IsLeader() && stuck != nil && stuck.State != nil && far != nil && far.State != nil
	})
	// A watch that began before the peers were known waits 1.4 s at most.
	time.Sleep(2 * time.Second)
	return member
}

// tell announces the record to the instance, as the peer does when it has put it in force.
func tell(t *testing.T, i *instance, sender string, record platform.Entry) {
	t.Helper()
	pool, err := entryinstance.NewPool(rpcConfig(&static.EdgeSettings{}))
	assert.NilError(t, err)
	client, err := pool.Client(i.deps.identity.GetRpcAddress())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	revision := uint64(record.Revision)
	_, err = client.Announce(ctx, &entrypb.Announcement{Sender: sender, StoreRevision: revision, OperatorRevision: revision})
	assert.Check(t, err)
}

// configRecord returns the configuration in the store.
func (s *system) configRecord() platform.Entry {
	s.t.Helper()
	entry, err := s.store.Get(s.t.Context(), records.KeyConfig)
	assert.NilError(s.t, err)
	return entry
}

// assertServedAtHome checks that version 2 gets in force and that a request then runs in west
// alone.
func assertServedAtHome(t *testing.T, i *instance, away *fakeUpstream) {
	t.Helper()
	eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
	got := i.send(http.MethodGet, "/read/7", "k1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "from i-2")
	assert.Equal(t, len(away.requests()), 0, "a request outside the home regions")
}

// startHomes configures a route with its home in east, and an upstream in each region. The first
// one is that in east.
func (s *system) startHomes() *fakeUpstream {
	east, west := newFakeUpstream(s.t, "i-1"), newFakeUpstream(s.t, "i-2")
	s.configureHomes(1, []string{"east"}, nil, "k1")
	s.register(east, "v1", "ready")
	s.registerIn("west-1", west, "v1", "ready")
	return east
}

// TestHomesDoNotWaitForTheLeader guards against HOME because of a late configuration: the leader of
// the failure domain does not pass it on, and the instances of other domains that have it tell nobody.
func TestHomesDoNotWaitForTheLeader(t *testing.T) {
	for name, frozen := range map[string]bool{
		"the leader sends heartbeats with an old revision": false,
		"the leader freezes after a heartbeat":             true,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			away := s.startHomes()
			stuck, far := s.startLaggingPeer("stuck", "east-1", "east"), s.startLaggingPeer("w1", "west-1", "west")
			proxy := newProxy(t, strings.TrimPrefix(s.url, "http://"))
			s.url = "http://" + proxy.listener.Addr().String()
			member := s.startMember()
			defer member.stop()
			member.waitReady(2)
			stuck.frozen.Store(frozen)
			// Without the store, only the peer can have it.
			proxy.close()
			s.configureHomes(2, []string{"west"}, nil, "k1")
			record := s.configRecord()
			far.config.Store(&record)
			tell(t, member, "w1", record)
			assertServedAtHome(t, member, away)
		})
	}
}

// TestHomesAreReadFromTheStoreWhenNoPeerResponds guards against HOME because of a late configuration:
// no peer that has it responds, and an instance that does not lead its domain never reads the store.
func TestHomesAreReadFromTheStoreWhenNoPeerResponds(t *testing.T) {
	s := newSystem(t)
	away := s.startHomes()
	s.startLaggingPeer("stuck", "east-1", "east")
	s.startLaggingPeer("w1", "west-1", "west")
	member := s.startMember()
	defer member.stop()
	member.waitReady(2)
	s.configureHomes(2, []string{"west"}, nil, "k1")
	tell(t, member, "w1", s.configRecord())
	assertServedAtHome(t, member, away)
}

// awaitAnnouncement waits until the peer was told of the record by the sender.
func awaitAnnouncement(t *testing.T, p *laggingPeer, sender string, record platform.Entry) {
	t.Helper()
	eventually(t, "an instance of another failure domain is told", func() bool {
		for len(p.announced) > 0 {
			told := <-p.announced
			if told.GetSender() == sender && told.GetOperatorRevision() >= uint64(record.Revision) {
				return true
			}
		}
		return false
	})
}

// TestALeaderAnnouncesHomesToOtherDomains guards against HOME because of a late configuration: a
// leader tells it to the leaders of other domains alone, and one of them may pass nothing on.
func TestALeaderAnnouncesHomesToOtherDomains(t *testing.T) {
	s := newSystem(t)
	s.startHomes()
	far := s.startLaggingPeer("w1", "west-1", "west")
	leader := s.start("e1")
	defer leader.stop()
	leader.waitReady(2)
	s.configureHomes(2, []string{"west"}, nil, "k1")
	eventually(t, "version 2 is in force", func() bool { return leader.deps.views.load().table.Version == 2 })
	awaitAnnouncement(t, far, "e1", s.configRecord())
}

// TestAMemberAnnouncesHomesToOtherDomains guards against HOME because of a late configuration: an
// instance that does not lead its domain tells it to nobody.
func TestAMemberAnnouncesHomesToOtherDomains(t *testing.T) {
	s := newSystem(t)
	s.startHomes()
	leader, far := s.startLaggingPeer("stuck", "east-1", "east"), s.startLaggingPeer("w1", "west-1", "west")
	member := s.startMember()
	defer member.stop()
	member.waitReady(2)
	s.configureHomes(2, []string{"west"}, nil, "k1")
	record := s.configRecord()
	leader.config.Store(&record)
	state := &entrypb.State{Identity: leader.state.GetIdentity(), StoreRevision: uint64(record.Revision), OperatorRevision: uint64(record.Revision)}
	member.control.post(heartbeatReceived{state: state, reply: make(chan *entrypb.State, 1)})
	eventually(t, "version 2 is in force", func() bool { return member.deps.views.load().table.Version == 2 })
	awaitAnnouncement(t, far, "e2", record)
}

// TestHomesDoNotWaitBehindOtherEvents guards against HOME because of a late configuration: a leader
// under load has read it from the store, and it waits behind seconds of other work.
func TestHomesDoNotWaitBehindOtherEvents(t *testing.T) {
	const queued, allowed = 400, 40
	s := newSystem(t)
	s.startHomes()
	replies := make(chan *entrypb.State, queued)
	before := make(chan int, 1)
	log := zap.New(&hookCore{onMessage: func(message string) {
		if message != "configuration in force" {
			return
		}
		select {
		case <-before:
		default:
		}
		before <- len(replies)
	}})
	leader := s.startLogging("e1", log)
	defer leader.stop()
	leader.waitReady(2)
	watches := func() uint64 { return s.store.Calls()[platform.CallWatch] }
	eventually(t, "the store is watched", func() bool { return watches() >= 2 })
	release := make(chan struct{})
	blocked := make(chan struct{})
	leader.control.post(inspect(func(*control) { close(blocked); <-release }))
	<-blocked
	peer := &entrypb.State{Identity: &entrypb.Identity{
		Name: "e9", Incarnation: membership.NewIncarnation("e9", 1), Address: "127.0.0.1:9", RpcAddress: "127.0.0.1:9",
		FailureDomain: "east-1", Region: "east",
	}}
	for range queued {
		leader.control.post(heartbeatReceived{state: peer, reply: replies})
	}
	begun := watches()
	s.configureHomes(2, []string{"west"}, nil, "k1")
	eventually(t, "the watch has read version 2", func() bool { return watches() >= begun+3 })
	close(release)
	eventually(t, "version 2 is in force", func() bool { return leader.deps.views.load().table.Version == 2 })
	applied := <-before
	assert.Assert(t, applied <= allowed, "%d of %d events were applied before the configuration", applied, queued)
}

// hookCore is a log core that passes each message to a function.
type hookCore struct{ onMessage func(string) }

func (c *hookCore) Enabled(zapcore.Level) bool        { return true }
func (c *hookCore) With([]zapcore.Field) zapcore.Core { return c }
func (c *hookCore) Sync() error                       { return nil }
func (c *hookCore) Write(e zapcore.Entry, _ []zapcore.Field) error {
	c.onMessage(e.Message)
	return nil
}
func (c *hookCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}
