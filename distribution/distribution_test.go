package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

func stored(t *testing.T, version uint64, publishID string) []byte {
	data, err := (&dynamic.Config{Version: version, PublishID: publishID}).Encode()
	assert.NilError(t, err)
	return data
}

func TestHolderOffer(t *testing.T) {
	checker := &invariant.Checker{}
	validate := func(c *dynamic.Config) error {
		if c.PublishID == "bad" {
			return fmt.Errorf("refused")
		}
		return nil
	}
	h := NewHolder(validate, checker)
	for _, c := range []struct {
		stored     []byte
		want       Result
		version    uint64
		violations int64
	}{
		{[]byte("{}"), Invalid, 0, 0},
		{stored(t, 2, "a"), Adopted, 2, 0},
		{stored(t, 2, "a"), Same, 2, 0},
		{stored(t, 1, "b"), Older, 2, 0},
		{stored(t, 3, "bad"), Invalid, 2, 0},
		{stored(t, 2, "other"), Conflicting, 2, 1},
		{stored(t, 4, "c"), Adopted, 4, 1},
	} {
		result, _ := h.Offer(c.stored)
		assert.Equal(t, result, c.want)
		assert.Equal(t, h.Version(), c.version)
		assert.Equal(t, checker.Total(), c.violations)
	}
	assert.Equal(t, checker.Violations()[InvariantVersionUnique], int64(1))
}

func TestRecordsMoveOnlyForward(t *testing.T) {
	checker := &invariant.Checker{}
	r := NewRecords(checker)
	entry := func(key string, revision platform.Revision) platform.Entry {
		return platform.Entry{Key: key, Revision: revision, Value: []byte(fmt.Sprint(revision))}
	}
	assert.Equal(t, len(r.Replace([]platform.Entry{entry("a", 3), entry("b", 5)}, 6)), 2)
	assert.Assert(t, !r.Observe(entry("a", 2)))
	assert.Assert(t, r.Observe(entry("c", 9)))

	// An older list neither takes back nor deletes what is newer than it.
	assert.Equal(t, len(r.Replace([]platform.Entry{entry("a", 2)}, 4)), 0)
	assert.Equal(t, r.Complete(), platform.Revision(6))

	// A record that is unknown below the complete revision has been deleted.
	assert.Assert(t, !r.Observe(entry("gone", 4)))

	// A newer list without "b" deletes it, and leaves "c", which is newer.
	changes := r.Replace([]platform.Entry{entry("a", 3)}, 8)
	assert.DeepEqual(t, changes, []platform.Entry{{Key: "b", Revision: 8, Deleted: true}})
	_, ok := r.Get("b")
	assert.Assert(t, !ok)
	assert.Assert(t, !r.Observe(entry("b", 5)))
	assert.Equal(t, checker.Total(), int64(0))

	r.Observe(platform.Entry{Key: "c", Revision: 9, Value: []byte("other")})
	assert.Equal(t, checker.Violations()[InvariantRecordUnique], int64(1))
}

func TestForgottenDeletionsReachPeers(t *testing.T) {
	peer, own := NewRecords(nil), NewRecords(nil)
	for _, r := range []*Records{peer, own} {
		r.Advance([]platform.Entry{{Key: "old", Revision: 1}, {Key: "kept", Revision: 2}}, 2)
	}
	peer.Advance([]platform.Entry{{Key: "old", Revision: 3, Deleted: true}}, 3)
	for i := range maxTombstones {
		revision := platform.Revision(4 + i)
		peer.Advance([]platform.Entry{{Key: fmt.Sprint(i), Revision: revision, Deleted: true}}, revision)
	}
	entries, full := peer.Since(own.Complete())
	assert.Assert(t, full)
	own.Replace(entries, peer.Complete())
	assert.Equal(t, len(own.List("")), 1)
	assert.Equal(t, own.Complete(), peer.Complete())
}

func TestFreshnessOfAPeerCountsOnlyWithItsRecords(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	s := NewState(Options{Self: "a", FailureDomain: "d", Started: start})
	_, heard := s.StoreAge(at(0))
	assert.Assert(t, !heard)
	s.ApplyUpdate(Update{Entries: []platform.Entry{{Key: "ferry/x", Revision: 5}}, Revision: 5, Full: true, Heard: at(0)})

	peer := &entrypb.State{Identity: &entrypb.Identity{Name: "b", FailureDomain: "d"}, StoreRevision: 7, StoreAgeMs: 1000}
	s.ObservePeer(peer, at(10), at(10))
	age, _ := s.StoreAge(at(10))
	assert.Equal(t, age, 10*time.Second)

	pull, due := s.PlanPull(at(10))
	assert.Assert(t, due)
	response := &entrypb.GetConfigResponse{Revision: 7, StoreAgeMs: 2000, Entries: []*entrypb.StoreEntry{{Key: "ferry/x", Revision: 7}}}
	assert.Equal(t, len(s.ApplyPull(pull, response, nil, at(11)).Entries), 1)
	age, _ = s.StoreAge(at(11))
	assert.Equal(t, age, 3*time.Second)

	// A stale answer of the store, and a heartbeat under way for an unknown
	// time, do not count as fresh.
	s.ApplyUpdate(Update{Revision: 5, Full: true, Heard: at(20)})
	s.ObservePeer(peer, time.Time{}, at(20))
	age, _ = s.StoreAge(at(20))
	assert.Equal(t, age, 12*time.Second)
}

func TestDeletionsThatAListDidNotShowReachPeers(t *testing.T) {
	peer, own := NewRecords(nil), NewRecords(nil)
	own.Replace([]platform.Entry{{Key: "old", Revision: 1}}, 1)
	// The peer starts after the deletion and has never known the record.
	peer.Replace([]platform.Entry{{Key: "kept", Revision: 3}}, 3)
	entries, full := peer.Since(own.Complete())
	assert.Assert(t, full)
	own.Replace(entries, peer.Complete())
	_, ok := own.Get("old")
	assert.Assert(t, !ok)
}

// TestANewInstanceTakesTheNewestBeforeItServes starts an instance to which the
// store answers with an old value while a peer has the newest.
func TestANewInstanceTakesTheNewestBeforeItServes(t *testing.T) {
	start := time.Unix(1000, 0)
	peer := NewState(Options{Self: "b", FailureDomain: "d", Started: start})
	newest := platform.Entry{Key: platform.KeyConfig, Value: stored(t, 9, "new"), Revision: 90}
	peer.ApplyUpdate(Update{Entries: []platform.Entry{newest}, Revision: 90, Full: true, Heard: start})
	heartbeat := &entrypb.State{Identity: &entrypb.Identity{Name: "b", FailureDomain: "d"}}
	peer.Snapshot().AddTo(heartbeat, start)
	assert.Equal(t, heartbeat.GetConfigVersion(), uint64(9))

	own := NewState(Options{Self: "a", FailureDomain: "d", Started: start})
	assert.Assert(t, !own.Ready(start))
	own.ObservePeer(heartbeat, start, start)
	older := platform.Entry{Key: platform.KeyConfig, Value: stored(t, 8, "old"), Revision: 80}
	own.ApplyUpdate(Update{Entries: []platform.Entry{older}, Revision: 80, Full: true, Heard: start})
	assert.Equal(t, own.Config().Version, uint64(8))
	assert.Assert(t, !own.Ready(start))

	pull, due := own.PlanPull(start)
	assert.Assert(t, due)
	changes := own.ApplyPull(pull, peer.Snapshot().Respond(pull.Request(), start), nil, start)
	assert.Equal(t, changes.Config.Version, uint64(9))
	assert.Assert(t, own.Ready(start))
	// The store's old answer comes again and takes nothing back.
	own.ApplyUpdate(Update{Entries: []platform.Entry{older}, Revision: 80, Full: true, Heard: start})
	assert.Equal(t, own.Config().Version, uint64(9))
}

// An instance that serves goes on serving while a newer configuration is on
// its way, also in the first seconds after its start.
func TestReadyStaysReady(t *testing.T) {
	start := time.Unix(1000, 0)
	config := platform.Entry{Key: platform.KeyConfig, Revision: 5, Value: stored(t, 1, "a")}
	for _, c := range []struct {
		name      string
		heard     bool
		ahead     bool
		after     time.Duration
		ready     bool
		thenAhead bool
	}{
		{name: "the store has answered", heard: true, ready: true},
		{name: "the store has not answered", ready: false},
		{name: "a peer is ahead at first", heard: true, ahead: true, ready: false},
		{name: "a peer is ahead for longer than the grace", heard: true, ahead: true, after: startupGrace, ready: true},
		{name: "a peer gets ahead later", heard: true, ready: true, thenAhead: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(Options{Self: "self", FailureDomain: "d1", Started: start})
			assert.Assert(t, !s.Ready(start.Add(startupGrace)), "there is no configuration")
			if c.heard {
				s.ApplyUpdate(Update{Entries: []platform.Entry{config}, Revision: 5, Full: true, Heard: start})
			} else {
				s.ApplyWrite(config)
			}
			ahead := PeerState{Name: "peer", FailureDomain: "d1", Revision: 9}
			if c.ahead {
				s.puller.Observe(ahead, s.Revision(), start)
			}
			assert.Equal(t, s.Ready(start.Add(c.after)), c.ready)
			if c.thenAhead {
				s.puller.Observe(ahead, s.Revision(), start)
				assert.Assert(t, s.Ready(start.Add(c.after)))
			}
		})
	}
}
