package edge

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/rpc/entrypb"
	standin "samphireferry.example/ferry/standin/records"
)

// instanceEntry is the entry of an instance of one of nine failure domains.
func instanceEntry(t testing.TB, n int, revision platform.Revision) platform.Entry {
	t.Helper()
	i := records.Instance{
		Name: fmt.Sprintf("p-%03d", n), Incarnation: membership.NewIncarnation(fmt.Sprintf("p-%03d", n), uint64(n)),
		Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250), RPCAddress: fmt.Sprintf("10.0.%d.%d:2", n/250, n%250),
		FailureDomain: fmt.Sprintf("east-%d", n%9+1), Region: "east",
	}
	value, err := records.EncodeInstance(i)
	assert.NilError(t, err)
	return platform.Entry{Key: records.PrefixInstances + i.Name, Revision: revision, Value: value}
}

// TestAnInstanceThatStartsCostsOneDecodedRecord guards against work that grows with the square of
// the fleet while it starts: every instance decoded the entries of all others for each one that
// registered.
func TestAnInstanceThatStartsCostsOneDecodedRecord(t *testing.T) {
	const instances = 300
	c := newTestControl(t)
	now := time.Now()
	decoded := c.deps.metrics.Counter("ferry_records_decoded_total", "kind", "instance")
	for n := range instances {
		recordsRead{entries: []platform.Entry{instanceEntry(t, n, platform.Revision(n+1))}, revision: platform.Revision(n + 1)}.apply(c, now)
	}
	assert.Equal(t, decoded.Get(), uint64(instances))
	assert.Equal(t, len(c.members.Snapshot(now).All), instances)
	recordsRead{entries: []platform.Entry{{Key: records.PrefixInstances + "p-007", Revision: instances + 1, Deleted: true}}, revision: instances + 1}.apply(c, now)
	assert.Assert(t, !c.members.Snapshot(now).ByName("p-007").Listed)
}

// TestAColdUpstreamCostsNothingWhileNothingChanges guards against work at each tick: the settings of
// the pool were made anew as long as one upstream was cold.
func TestAColdUpstreamCostsNothingWhileNothingChanges(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	config := standin.Configuration{Version: 1, Services: []string{"lookup"}}
	value, err := config.Value()
	assert.NilError(t, err)
	value = bytes.Replace(value, []byte(`"max_conns"`), []byte(`"cold_s":60,"cold_per_s":2,"max_conns"`), 1)
	u := standin.Upstream{ID: "u-1", Address: "127.0.0.1:9", Service: "lookup", Version: "1", FailureDomain: "east-1", Slots: 4}
	entry, err := u.Value()
	assert.NilError(t, err)
	entry = bytes.Replace(entry, []byte(`"cold_left_ms":0`), []byte(`"cold_left_ms":60000`), 1)
	recordsRead{entries: []platform.Entry{
		{Key: records.KeyConfig, Revision: 1, Value: value}, {Key: u.Key(), Revision: 2, Value: entry},
	}, revision: 2, full: true}.apply(c, now)
	c.publish(now)
	limit, cold := c.coldLimit(now, c.members.Snapshot(now), c.upstreams.Get("u-1"))
	assert.Assert(t, cold && limit.Until.After(now))
	for range 5 {
		now = now.Add(controlTick)
		c.tick(now)
		assert.Assert(t, !c.poolDirty, "the pool is configured again")
		c.publish(now)
	}
}

// TestHeartbeatsOfOneTickAreBuiltOnce guards against a cost of each heartbeat that grows with the
// customers and the sums of failure domains.
func TestHeartbeatsOfOneTickAreBuiltOnce(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	peers := c.members.Snapshot(now)
	first := c.stateFor(now, peers, "east-1", false)
	assert.Assert(t, c.stateFor(now.Add(controlTick/2), peers, "east-1", false) == first)
	assert.Assert(t, c.stateFor(now.Add(controlTick), peers, "east-1", false) != first, "an old heartbeat is sent")
	c.leaving = true
	assert.Assert(t, c.stateFor(now.Add(controlTick), peers, "east-1", false).GetLeaving())
}

// TestInstancesThatStartTogetherDoNotWatchTheStore guards against many calls at the start of a
// fleet: before they know each other, all instances consider themselves leaders, and the watch of
// each returned with each registration.
func TestInstancesThatStartTogetherDoNotWatchTheStore(t *testing.T) {
	c := newTestControl(t)
	now := c.startedAt
	first := instanceEntry(t, 0, 1)
	recordsRead{entries: []platform.Entry{first}, revision: 1, full: true}.apply(c, now)
	for ; now.Before(c.startedAt.Add(watchSettleTime)); now = now.Add(controlTick) {
		c.viewDirty = true
		c.publish(now)
		assert.Assert(t, !c.deps.watchRole.role.reads && !c.deps.operatorWatchRole.role.reads)
	}
	c.viewDirty = true
	c.publish(now)
	assert.Assert(t, c.deps.watchRole.role.reads && c.deps.operatorWatchRole.role.reads, "nobody reads the store")
}

// countingStore counts the calls that an instance makes to register.
type countingStore struct {
	platform.Store
	calls int
	taken bool
}

func (s *countingStore) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	s.calls++
	return 1, nil
}

func (s *countingStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.calls++
	if !s.taken {
		return platform.Entry{}, errors.Wrap(platform.ErrNotFound, "test")
	}
	return platform.Entry{Key: key, Revision: 7}, nil
}

func (s *countingStore) CompareAndSwap(_ context.Context, _ string, _ []byte, expected platform.Revision, _ platform.LeaseID) (platform.Revision, error) {
	s.calls++
	if present := map[bool]platform.Revision{true: 7}[s.taken]; expected != present {
		return 0, errors.Wrap(platform.ErrConflict, "test")
	}
	return 8, nil
}

func TestRegistrationTakesFewCalls(t *testing.T) {
	const key = records.PrefixInstances + "e1"
	for _, test := range []struct {
		name  string
		taken bool
		read  []platform.Entry
		calls int
	}{
		{"new", false, nil, 2},
		{"the entry of an earlier process was read", true, []platform.Entry{{Key: "other", Revision: 9}, {Key: key, Revision: 7}}, 2},
		{"the entry of an earlier process was not read", true, nil, 4},
		{"the entry that was read has expired", false, []platform.Entry{{Key: key, Revision: 6}}, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := &countingStore{taken: test.taken}
			r, err := newRegistrar(store, zap.NewNop(), records.Instance{Name: "e1"})
			assert.NilError(t, err)
			r.noteEntries(test.read)
			assert.NilError(t, r.step(t.Context()))
			assert.Equal(t, store.calls, test.calls)
			assert.Equal(t, r.lease, platform.LeaseID(1))
		})
	}
}

// BenchmarkControlSecond measures the control goroutine for one second without requests: its
// ticks and the heartbeats that it receives, with 140 customers of which 40 have demand.
func BenchmarkControlSecond(b *testing.B) {
	for _, instances := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			c := newTestControl(b)
			now := c.startedAt
			// Nothing is sent.
			ended, cancel := context.WithCancel(b.Context())
			cancel()
			c.ctx = ended
			var customers []quota.Customer
			demand := quota.Demand{}
			for n := range 140 {
				name := fmt.Sprintf("c-%d", n)
				customers = append(customers, quota.Customer{Name: name, Rate: 10, Burst: 10})
				if n < 40 {
					demand[quota.IDOf(name)] = 1
				}
			}
			c.rates.Configure(customers)
			var states []*entrypb.State
			for n := range instances {
				entry := instanceEntry(b, n, platform.Revision(n+1))
				recordsRead{entries: []platform.Entry{entry}, revision: platform.Revision(n + 1)}.apply(c, now)
				i, err := records.DecodeInstance(entry)
				assert.NilError(b, err)
				states = append(states, &entrypb.State{Demands: demandsMessage(demand), Identity: &entrypb.Identity{
					Name: i.Name, Incarnation: i.Incarnation, Address: i.Address, RpcAddress: i.RPCAddress,
					FailureDomain: i.FailureDomain, Region: i.Region,
				}})
			}
			heartbeats := 0
			for b.Loop() {
				for range time.Second / controlTick {
					now = now.Add(controlTick)
					c.tick(now)
					c.publish(now)
				}
				for range int(membership.MaxExchangesPerSecond) {
					heartbeats++
					heartbeatReceived{state: states[heartbeats%len(states)], reply: make(chan *entrypb.State, 1)}.apply(c, now)
					c.publish(now)
				}
			}
		})
	}
}
