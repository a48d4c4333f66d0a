package edge

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/standin/records"
	"samphireferry.example/ferry/telemetry"
)

// newTestControl returns the control state of an instance that is not started.
func newTestControl(t testing.TB) *control {
	t.Helper()
	settings, err := static.ParseEdge("ferry-edge", []string{
		"-name", "e1", "-region", "east", "-failure-domain", "east-1", "-domain", "east-1=east",
		"-listen", "127.0.0.1:1", "-directory-listen", "127.0.0.1:2", "-ready-listen", "127.0.0.1:3",
		"-rpc-listen", "127.0.0.1:4", "-platform", "http://127.0.0.1:5",
	}, io.Discard)
	assert.NilError(t, err)
	i, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	t.Cleanup(i.cancel)
	return i.control
}

func upstreamEntry(t *testing.T, id string, revision platform.Revision) platform.Entry {
	t.Helper()
	u := records.Upstream{ID: id, Address: "127.0.0.1:9", Service: "lookup", Version: "1", FailureDomain: "east-1", Slots: 4}
	value, err := u.Value()
	assert.NilError(t, err)
	return platform.Entry{Key: u.Key(), Revision: revision, Value: value}
}

// TestRemovalAfterLocalStoreOutageIsConfirmed guards against keeping removed upstreams:
// when only this instance was cut off from the store, upstreams that were removed after
// its return were considered lapsed and got requests for 2.5 s (DRAIN, recallhub-south
// scale-2, seed 905567697749).
func TestRemovalAfterLocalStoreOutageIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name string
		// reportedAfter is the time from the loss of the store to a peer's report of a
		// newer revision; 0 for no report.
		reportedAfter time.Duration
		remaining     int
	}{
		{"a peer reports a change after the store was lost", 2 * time.Second, 1},
		{"no peer reports a change", 0, 2},
		{"the change may have been made before the store was lost", 500 * time.Millisecond, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl(t)
			now := time.Now()
			at := func(d time.Duration) time.Time { return now.Add(d) }
			recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3), upstreamEntry(t, "u-2", 4)}, revision: 10, full: true}.apply(c, now)
			storeFailed{}.apply(c, at(time.Second))
			if test.reportedAfter > 0 {
				changed := []platform.Entry{{Key: "op/evacuate/west-1", Revision: 11}}
				recordsRead{entries: changed, revision: 11, confirmed: true, fromPeer: "e2"}.apply(c, at(time.Second+test.reportedAfter))
			}
			recordsRead{revision: 11}.apply(c, at(4*time.Second))
			removed := []platform.Entry{{Key: "servers/u-1", Revision: 12, Deleted: true}}
			recordsRead{entries: removed, revision: 12}.apply(c, at(4500*time.Millisecond))
			c.upstreams.Tick(at(4600 * time.Millisecond))
			assert.Equal(t, len(c.upstreams.All()), test.remaining)
		})
	}
}

func TestRecordsForAPeerThatIsBehind(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3), upstreamEntry(t, "u-2", 4)}, revision: 10, full: true}.apply(c, now)
	recordsRead{entries: []platform.Entry{{Key: "servers/u-1", Revision: 12, Deleted: true}, upstreamEntry(t, "u-3", 13)}, revision: 13}.apply(c, now)
	for _, test := range []struct {
		after platform.Revision
		full  bool
		keys  int
	}{
		{0, true, 2},
		{9, true, 2},
		{10, false, 2},
		{12, false, 1},
		{13, false, 0},
	} {
		reply := make(chan *entrypb.GetConfigResponse, 1)
		recordsRequested{after: test.after, reply: reply}.apply(c, now)
		got := <-reply
		assert.Equal(t, got.GetFull(), test.full, "after %d", test.after)
		assert.Equal(t, len(got.GetEntries()), test.keys, "after %d", test.after)
		assert.Equal(t, got.GetRevision(), uint64(13))
	}
}

func TestAReloadChangesTheBounds(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	next := *c.deps.bounds.Load()
	next.ListTTL = 3 * time.Second
	next.RetrySlack = 1000
	before := c.deps.retries.forService("lookup")
	reload{bounds: next}.apply(c, now)
	assert.Equal(t, c.deps.bounds.Load().ListTTL, 3*time.Second)
	after := c.deps.retries.forService("lookup")
	assert.Assert(t, after != before, "the retry budgets follow the new bounds")
	reload{bounds: next}.apply(c, now)
	assert.Assert(t, c.deps.retries.forService("lookup") == after, "unchanged bounds change nothing")
}

// TestLeaderConsidersStoreUnavailableWhileItTries checks that a leader does not
// consider the store available again merely because time passes: a call may still hang,
// since a watch waits longer than storeFailureExpiry.
func TestLeaderConsidersStoreUnavailableWhileItTries(t *testing.T) {
	for _, readsStore := range []bool{true, false} {
		c := newTestControl(t)
		now := time.Now()
		recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true}.apply(c, now)
		storeFailed{}.apply(c, now)
		c.readsStore = readsStore
		c.expireStoreFailure(now.Add(storeFailureExpiry + time.Second))
		assert.Equal(t, c.storeUnavailable, readsStore)
		assert.Equal(t, c.upstreams.ConfirmsRemovals(now.Add(2*storeFailureExpiry)), !readsStore)
	}
}

// oddEntry returns an entry of an upstream that cannot be read.
func oddEntry(id string, revision platform.Revision) platform.Entry {
	return platform.Entry{Key: "servers/" + id, Revision: revision, Value: []byte(`{"addr":"10.0.0.9:70000"}`)}
}

// changes applies entries that a watch returned.
func (c *control) changes(now time.Time, entries ...platform.Entry) {
	recordsRead{entries: entries, revision: entries[len(entries)-1].Revision}.apply(c, now)
}

// TestAnOddEntryIsLoggedOncePerChange guards against a log that grows with every change of
// any upstream while one odd entry is in the store.
func TestAnOddEntryIsLoggedOncePerChange(t *testing.T) {
	c := newTestControl(t)
	core, logs := observer.New(zap.WarnLevel)
	c.deps.log = zap.New(core)
	now := time.Now()
	c.changes(now, oddEntry("u-odd", 1), platform.Entry{Key: "ferry/instances/odd", Revision: 2, Value: []byte(`[`)},
		platform.Entry{Key: "op/rollout/odd", Revision: 3, Value: []byte(`{}`)})
	assert.Equal(t, logs.Len(), 3)
	for beat := range platform.Revision(100) {
		c.changes(now, upstreamEntry(t, "u-1", 10+4*beat),
			platform.Entry{Key: "ferry/instances/other", Revision: 11 + 4*beat, Deleted: true},
			platform.Entry{Key: "op/rollout/other", Revision: 12 + 4*beat, Deleted: true})
	}
	assert.Equal(t, logs.Len(), 3)
	c.changes(now, oddEntry("u-odd", 1000))
	assert.Equal(t, logs.Len(), 4)
	assert.Equal(t, c.deps.metrics.Counter("ferry_unreadable_entries_total").Get(), uint64(4))
	c.changes(now, upstreamEntry(t, "u-odd", 1001))
	c.changes(now, platform.Entry{Key: "servers/u-odd", Revision: 1002, Deleted: true})
	c.changes(now, oddEntry("u-odd", 1003))
	assert.Equal(t, logs.Len(), 5)
}

// TestAnOddEntryNamesNoUpstream guards against requests to an upstream whose entry another
// writer has replaced: while missing entries only lapse, after an outage of the store, it
// stayed in use.
func TestAnOddEntryNamesNoUpstream(t *testing.T) {
	for name, lost := range map[string]bool{"store available": false, "store was lost": true} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			now := time.Now()
			recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3), upstreamEntry(t, "u-2", 4)}, revision: 10, full: true}.apply(c, now)
			if lost {
				storeFailed{}.apply(c, now.Add(time.Second))
			}
			at := now.Add(2 * time.Second)
			c.changes(at, oddEntry("u-1", 11))
			assert.Assert(t, !c.upstreams.Has("u-1"))
			assert.Assert(t, c.upstreams.Has("u-2"), "the others hold")
			c.changes(at, upstreamEntry(t, "u-3", 12))
			assert.Assert(t, c.upstreams.Has("u-3"), "later changes hold")
			assert.Assert(t, !c.upstreams.Has("u-1"))
			c.changes(at, upstreamEntry(t, "u-1", 13))
			assert.Assert(t, c.upstreams.Has("u-1"), "the upstream has written again")
			recordsRead{entries: []platform.Entry{oddEntry("u-1", 14), upstreamEntry(t, "u-2", 4)}, revision: 15, full: true}.apply(c, at)
			assert.Assert(t, !c.upstreams.Has("u-1"))
			assert.Assert(t, c.upstreams.Has("u-2"))
		})
	}
}
