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

func encodeConfig(t *testing.T, version uint64, publishID string) []byte {
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
		{encodeConfig(t, 2, "a"), Adopted, 2, 0},
		{encodeConfig(t, 2, "a"), Same, 2, 0},
		{encodeConfig(t, 1, "b"), Older, 2, 0},
		{encodeConfig(t, 3, "bad"), Invalid, 2, 0},
		{encodeConfig(t, 2, "other"), Conflicting, 2, 1},
		{encodeConfig(t, 4, "c"), Adopted, 4, 1},
	} {
		result, _ := h.Offer(c.stored)
		assert.Equal(t, result, c.want)
		assert.Equal(t, h.Version(), c.version)
		assert.Equal(t, checker.Total(), c.violations)
	}
	assert.Equal(t, checker.Violations()[InvariantVersionUnique], int64(1))
}

func TestRecordsAdoptOnlyNewerRevisions(t *testing.T) {
	checker := &invariant.Checker{}
	records := NewRecords(checker)
	entry := func(key string, revision platform.Revision) platform.Entry {
		return platform.Entry{Key: key, Revision: revision, Value: []byte(fmt.Sprint(revision))}
	}
	assert.Equal(t, len(records.Replace([]platform.Entry{entry("a", 3), entry("b", 5)}, 6)), 2)
	assert.Assert(t, !records.Observe(entry("a", 2)))
	assert.Assert(t, records.Observe(entry("c", 9)))

	// An older list neither reverts nor deletes newer records.
	assert.Equal(t, len(records.Replace([]platform.Entry{entry("a", 2)}, 4)), 0)
	assert.Equal(t, records.Complete(), platform.Revision(6))

	// An unknown record at or below the complete revision has been deleted.
	assert.Assert(t, !records.Observe(entry("gone", 4)))

	// A newer list without "b" deletes it and keeps "c", which is newer than the list.
	changes := records.Replace([]platform.Entry{entry("a", 3)}, 8)
	assert.DeepEqual(t, changes, []platform.Entry{{Key: "b", Revision: 8, Deleted: true}})
	_, ok := records.Get("b")
	assert.Assert(t, !ok)
	assert.Assert(t, !records.Observe(entry("b", 5)))
	assert.Equal(t, checker.Total(), int64(0))

	records.Observe(platform.Entry{Key: "c", Revision: 9, Value: []byte("other")})
	assert.Equal(t, checker.Violations()[InvariantRecordUnique], int64(1))
}

func TestPrunedDeletionsReachPeers(t *testing.T) {
	peer, local := NewRecords(nil), NewRecords(nil)
	for _, r := range []*Records{peer, local} {
		r.Advance([]platform.Entry{{Key: "old", Revision: 1}, {Key: "kept", Revision: 2}}, 2)
	}
	peer.Advance([]platform.Entry{{Key: "old", Revision: 3, Deleted: true}}, 3)
	for i := range maxTombstones {
		revision := platform.Revision(4 + i)
		peer.Advance([]platform.Entry{{Key: fmt.Sprint(i), Revision: revision, Deleted: true}}, revision)
	}
	entries, full := peer.Since(local.Complete())
	assert.Assert(t, full)
	local.Replace(entries, peer.Complete())
	assert.Equal(t, len(local.List("")), 1)
	assert.Equal(t, local.Complete(), peer.Complete())
}

func TestPeerFreshnessCountsOnlyWithItsRecords(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	s := NewState(Options{Self: "a", FailureDomain: "d", Started: start})
	_, contacted := s.StoreAge(at(0))
	assert.Assert(t, !contacted)
	s.ApplyUpdate(Update{Entries: []platform.Entry{{Key: "ferry/x", Revision: 5}}, Revision: 5, Full: true, AsOf: at(0)})

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

	// Neither a stale response of the store nor a heartbeat with an unknown
	// transit time counts as fresh.
	s.ApplyUpdate(Update{Revision: 5, Full: true, AsOf: at(20)})
	s.ObservePeer(peer, time.Time{}, at(20))
	age, _ = s.StoreAge(at(20))
	assert.Equal(t, age, 12*time.Second)
}

func TestDeletionsMissingFromListReachPeers(t *testing.T) {
	peer, local := NewRecords(nil), NewRecords(nil)
	local.Replace([]platform.Entry{{Key: "old", Revision: 1}}, 1)
	// The peer starts after the deletion and has never seen the record.
	peer.Replace([]platform.Entry{{Key: "kept", Revision: 3}}, 3)
	entries, full := peer.Since(local.Complete())
	assert.Assert(t, full)
	local.Replace(entries, peer.Complete())
	_, ok := local.Get("old")
	assert.Assert(t, !ok)
}

// TestNewInstanceAdoptsNewestBeforeItServes starts an instance that gets a
// stale value from the store while a peer has the newest one.
func TestNewInstanceAdoptsNewestBeforeItServes(t *testing.T) {
	start := time.Unix(1000, 0)
	peer := NewState(Options{Self: "b", FailureDomain: "d", Started: start})
	newest := platform.Entry{Key: platform.KeyConfig, Value: encodeConfig(t, 9, "new"), Revision: 90}
	peer.ApplyUpdate(Update{Entries: []platform.Entry{newest}, Revision: 90, Full: true, AsOf: start})
	heartbeat := &entrypb.State{Identity: &entrypb.Identity{Name: "b", FailureDomain: "d"}}
	peer.Snapshot().AddTo(heartbeat, start)
	assert.Equal(t, heartbeat.GetConfigVersion(), uint64(9))

	local := NewState(Options{Self: "a", FailureDomain: "d", Started: start})
	assert.Assert(t, !local.Ready(start))
	local.ObservePeer(heartbeat, start, start)
	older := platform.Entry{Key: platform.KeyConfig, Value: encodeConfig(t, 8, "old"), Revision: 80}
	local.ApplyUpdate(Update{Entries: []platform.Entry{older}, Revision: 80, Full: true, AsOf: start})
	assert.Equal(t, local.Config().Version, uint64(8))
	assert.Assert(t, !local.Ready(start))

	pull, due := local.PlanPull(start)
	assert.Assert(t, due)
	changes := local.ApplyPull(pull, peer.Snapshot().Respond(pull.Request(), start), nil, start)
	assert.Equal(t, changes.Config.Version, uint64(9))
	assert.Assert(t, local.Ready(start))
	// The store repeats its stale response, which reverts nothing.
	local.ApplyUpdate(Update{Entries: []platform.Entry{older}, Revision: 80, Full: true, AsOf: start})
	assert.Equal(t, local.Config().Version, uint64(9))
}

// TestReadyStaysReady checks that an instance that is ready stays ready while a
// newer configuration is on its way, also in the first seconds after its start.
func TestReadyStaysReady(t *testing.T) {
	start := time.Unix(1000, 0)
	config := platform.Entry{Key: platform.KeyConfig, Revision: 5, Value: encodeConfig(t, 1, "a")}
	for _, c := range []struct {
		name           string
		storeContacted bool
		peerAhead      bool
		after          time.Duration
		ready          bool
		peerAheadLater bool
	}{
		{name: "the store has responded", storeContacted: true, ready: true},
		{name: "the store has not responded", ready: false},
		{name: "a peer is ahead at first", storeContacted: true, peerAhead: true, ready: false},
		{name: "a peer is ahead for longer than the grace", storeContacted: true, peerAhead: true, after: startupGrace, ready: true},
		{name: "a peer gets ahead later", storeContacted: true, ready: true, peerAheadLater: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(Options{Self: "self", FailureDomain: "d1", Started: start})
			assert.Assert(t, !s.Ready(start.Add(startupGrace)), "there is no configuration")
			if c.storeContacted {
				s.ApplyUpdate(Update{Entries: []platform.Entry{config}, Revision: 5, Full: true, AsOf: start})
			} else {
				s.ApplyWrite(config)
			}
			peerAhead := PeerState{Name: "peer", FailureDomain: "d1", Revision: 9}
			if c.peerAhead {
				s.puller.Observe(peerAhead, s.Revision(), start)
			}
			assert.Equal(t, s.Ready(start.Add(c.after)), c.ready)
			if c.peerAheadLater {
				s.puller.Observe(peerAhead, s.Revision(), start)
				assert.Assert(t, s.Ready(start.Add(c.after)))
			}
		})
	}
}
