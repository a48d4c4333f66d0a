package edge

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
	standin "samphireferry.example/ferry/standin/records"
	"samphireferry.example/ferry/telemetry"
)

// watchedStore records up to which revision each watch has been processed: a watcher begins its
// next call once it has posted what the last one returned.
type watchedStore struct {
	platform.Store
	mu sync.Mutex
	// after holds the revision from which each watch continues, by prefix.
	after map[string]platform.Revision
}

func (s *watchedStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	s.mu.Lock()
	s.after[prefix] = after
	s.mu.Unlock()
	return s.Store.Watch(ctx, prefix, after, wait)
}

// posted reports whether all watches have posted what changed up to the revision.
func (s *watchedStore) posted(revision platform.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, after := range s.after {
		if after < revision {
			return false
		}
	}
	return len(s.after) > 0
}

// block keeps the control goroutine of the instance busy until the returned function is called.
func block(t *testing.T, c *control) func() {
	t.Helper()
	blocked, release := make(chan struct{}), make(chan struct{})
	c.post(inspect(func(*control) {
		close(blocked)
		<-release
	}))
	<-blocked
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	return unblock
}

// TestAConfigurationGoesBeforeOtherEvents guards against a configuration that is in force late
// because it waits behind all other events of the control goroutine (CONFIG, issue 22).
func TestAConfigurationGoesBeforeOtherEvents(t *testing.T) {
	const queued = 200
	s := newSystem(t)
	s.configure(1, "k1")
	built, err := New(s.settings("e1"), zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	store := &watchedStore{Store: built.deps.store, after: map[string]platform.Revision{}}
	built.deps.store = store
	assert.NilError(t, built.Start())
	i := &instance{Instance: built, t: t}
	defer i.stop()
	i.waitReady(0)
	eventually(t, "the store is watched", func() bool { return store.posted(1) })
	unblock := block(t, i.control)
	versions := make(chan uint64, queued)
	for n := range queued {
		upstream := upstreamEntry(t, fmt.Sprintf("u-%d", n), platform.Revision(1<<20+n))
		i.control.post(recordsRead{entries: []platform.Entry{upstream}, fromPeer: "e2"})
		i.control.post(inspect(func(c *control) { versions <- c.table.Version }))
	}
	s.configure(2, "k9")
	entry, err := s.store.Get(t.Context(), records.KeyConfig)
	assert.NilError(t, err)
	eventually(t, "the watcher has read version 2", func() bool { return store.posted(entry.Revision) })
	unblock()
	before := 0
	for range queued {
		if <-versions < 2 {
			before++
		}
	}
	assert.Equal(t, before, 0, "events of %d that were handled before version 2 was in force", queued)
}

// TestABusyInstancePassesOnTheConfiguration guards against a configuration that is in force late
// because a peer's request for it waits for the busy control goroutine of the leader (CONFIG, issue 22).
func TestABusyInstancePassesOnTheConfiguration(t *testing.T) {
	s := newSystem(t)
	s.configure(7, "k1")
	s.write(standin.Upstream{ID: "u-1", Address: "127.0.0.1:9", Service: "lookup", Version: "1", FailureDomain: "east-1", Slots: 4, Started: time.UnixMilli(1)})
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	unblock := block(t, i.control)
	client, err := i.deps.peers.Client(i.deps.settings.RPCListen)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := client.GetConfig(ctx, &entrypb.GetConfigRequest{OperatorOnly: true})
	unblock()
	assert.NilError(t, err, "the request waits for the control goroutine")
	version := uint64(0)
	for _, entry := range response.GetEntries() {
		assert.Assert(t, strings.HasPrefix(entry.GetKey(), "op/"), "%s is no record of the operator", entry.GetKey())
		if entry.GetKey() == records.KeyConfig {
			config, err := records.DecodeConfig(entry.GetValue())
			assert.NilError(t, err)
			version = config.Version
		}
	}
	assert.Equal(t, version, uint64(7))
}

// operatorPeer is an entry instance that responds to requests for the operator's records and
// never to those for all records.
type operatorPeer struct {
	entrypb.UnimplementedEntryServer
	state atomic.Pointer[entrypb.State]
	// operatorRecords is the response to a request for the operator's records.
	operatorRecords *entrypb.GetConfigResponse
	// askedForAll and asked are signalled by a request for all records, and by any.
	askedForAll, asked chan struct{}
}

func (p *operatorPeer) Heartbeat(context.Context, *entrypb.State) (*entrypb.State, error) {
	return p.state.Load(), nil
}

func (p *operatorPeer) GetConfig(ctx context.Context, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	notify(p.asked)
	if request.GetOperatorOnly() {
		return p.operatorRecords, nil
	}
	notify(p.askedForAll)
	<-ctx.Done()
	return nil, ctx.Err()
}

// notify sends to the channel unless it is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setRevision changes what the peer reports in heartbeats.
func (p *operatorPeer) setRevision(revision, operatorRevision, version uint64) {
	identity := p.state.Load().GetIdentity()
	p.state.Store(&entrypb.State{
		Identity: identity, StoreRevision: revision, OperatorRevision: operatorRevision, ConfigVersion: version, StoreAway: true,
	})
}

// startOperatorPeer starts a peer in the failure domain of the other instances, with the version of
// the configuration, read at the revision.
func startOperatorPeer(t *testing.T, name string, version uint64, revision platform.Revision) *operatorPeer {
	t.Helper()
	address, err := freeport.Next()
	assert.NilError(t, err)
	config := standin.Configuration{
		Version: version, Services: []string{"lookup"},
		Routes: []standin.Route{{Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup", Timeout: time.Second, Attempts: 2}},
	}
	value, err := config.Value()
	assert.NilError(t, err)
	p := &operatorPeer{
		operatorRecords: &entrypb.GetConfigResponse{
			Entries:  []*entrypb.StoreEntry{{Key: records.KeyConfig, Value: value, Revision: uint64(revision)}},
			Revision: uint64(revision), Full: true, Settled: true,
		},
		askedForAll: make(chan struct{}, 1), asked: make(chan struct{}, 1),
	}
	p.state.Store(&entrypb.State{Identity: &entrypb.Identity{
		Name: name, Incarnation: membership.NewIncarnation(name, 1), Address: address, RpcAddress: address,
		FailureDomain: "east-1", Region: "east",
	}})
	server, err := entryinstance.NewServer(rpcConfig(&static.EdgeSettings{}), p)
	assert.NilError(t, err)
	listener, err := entryinstance.Listen(rpcConfig(&static.EdgeSettings{}), address)
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(listener)) }()
	t.Cleanup(server.Close)
	return p
}

// TestAPullThatDoesNotEndDelaysNoConfigurationOfThatPeer guards against a configuration that is in
// force late because the only peer that has it is being asked for all records (CONFIG, issue 22).
func TestAPullThatDoesNotEndDelaysNoConfigurationOfThatPeer(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(0)
	const first, second = 1 << 20, 1<<20 + 1
	p := startOperatorPeer(t, "p1", 2, second)
	client, err := i.deps.peers.Client(i.deps.settings.RPCListen)
	assert.NilError(t, err)
	p.setRevision(first, 0, 1)
	_, err = client.Heartbeat(t.Context(), p.state.Load())
	assert.NilError(t, err)
	eventually(t, "the peer was asked for all records", func() bool { return len(p.askedForAll) == 1 })
	p.setRevision(second, second, 2)
	_, err = client.Heartbeat(t.Context(), p.state.Load())
	assert.NilError(t, err)
	eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
}

// TestAPullThatDoesNotEndDelaysNoConfigurationOfAnotherPeer guards against a configuration that is in
// force late because a second peer is asked only some time after the first (CONFIG, issue 22). The
// time of the control state stands still, so nothing that waits for it happens.
func TestAPullThatDoesNotEndDelaysNoConfigurationOfAnotherPeer(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	c.readsStore = false
	const first, second = 11, 12
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true, fromPeer: "e2"}.apply(c, now)
	slow, newer := startOperatorPeer(t, "p1", 1, first), startOperatorPeer(t, "p2", 2, second)
	slow.setRevision(first, 0, 1)
	newer.setRevision(second, second, 2)
	receive := func(p *operatorPeer) {
		heartbeatReceived{state: p.state.Load(), reply: make(chan *entrypb.State, 1)}.apply(c, now)
	}
	receive(slow)
	eventually(t, "the first peer was asked for all records", func() bool { return len(slow.askedForAll) == 1 })
	receive(newer)
	eventually(t, "the second peer was asked", func() bool { return len(newer.asked) == 1 })
}
