package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
)

// applyAll applies all queued events in the order of the control goroutine.
func applyAll(c *control) {
	for {
		c.applyUrgent()
		select {
		case e := <-c.events:
			c.applyQueued(e)
		default:
			return
		}
	}
}

// Guards against an upstream that is used after its removal (DRAIN): a batch of changes with a
// record of the operator overtook an earlier one, which peers that were served in between
// never got.
func TestPeersGetEveryBatchOfChanges(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	listed := []platform.Entry{upstreamEntry(t, "u-1", 3), upstreamEntry(t, "u-2", 4)}
	recordsRead{entries: listed, revision: 10, full: true}.apply(c, now)
	reply := make(chan *entrypb.GetConfigResponse, 2)
	c.post(recordsRequested{after: 10, operatorAfter: 10, reply: reply})
	c.post(recordsRead{entries: []platform.Entry{{Key: "servers/u-1", Revision: 11, Deleted: true}}, revision: 11})
	c.post(recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-2", 12), {Key: "op/evacuate/west-1", Revision: 13, Value: []byte("{}")}}, revision: 13})
	applyAll(c)
	member := newTestControl(t)
	recordsRead{entries: listed, revision: 10, full: true, fromPeer: "e1"}.apply(member, now)
	recordsFrom("e1", now, <-reply).apply(member, now)
	recordsRequested{after: member.revision, operatorAfter: member.operator.revision, reply: reply}.apply(c, now)
	recordsFrom("e1", now, <-reply).apply(member, now)
	assert.Assert(t, !c.upstreams.Has("u-1"))
	assert.Assert(t, !member.upstreams.Has("u-1"), "a member at revision %v of %v uses it", member.revision, c.revision)
}

// Guards against an upstream that comes back after its removal (DRAIN): a list with records of
// the operator overtook an earlier batch.
func TestAListIsNotFollowedByAnOlderBatch(t *testing.T) {
	c := newTestControl(t)
	recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true}.apply(c, time.Now())
	c.post(recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-9", 11)}, revision: 11})
	// u-9 was removed at 15, and the history up to 20 is gone.
	c.post(recordsRead{entries: []platform.Entry{configEntry(t, 1, 5), upstreamEntry(t, "u-1", 3)}, revision: 20, full: true})
	applyAll(c)
	assert.Assert(t, !c.upstreams.Has("u-9"), "at revision %v", c.revision)
}

// Guards against an evacuation that comes back: an older read of all records had it, after a
// newer one of the operator's records.
func TestAnOlderReadBringsNoEvacuationBack(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	evacuation := platform.Entry{Key: "op/evacuate/west-1", Revision: 10, Value: []byte("{}")}
	// The operator's records at 30 come from a peer first; the evacuation was removed at 28.
	recordsRead{entries: []platform.Entry{configEntry(t, 1, 5)}, revision: 30, full: true, prefix: records.PrefixOperator, fromPeer: "e2"}.apply(c, now)
	// The listing, or a pull from a peer that is behind, is from 25.
	recordsRead{entries: []platform.Entry{configEntry(t, 1, 5), evacuation, upstreamEntry(t, "u-1", 3)}, revision: 25, full: true, fromPeer: "e3"}.apply(c, now)
	assert.Assert(t, !c.evacuated["west-1"], "evacuated by an older read")
}

// Guards against an evacuation that lasts: it came back by an older read, and pulls left out its
// removal as known.
func TestPullsEndAnEvacuationOfAnOlderRead(t *testing.T) {
	leader := newTestControl(t)
	now := time.Now()
	evacuation := platform.Entry{Key: "op/evacuate/west-1", Revision: 10, Value: []byte("{}")}
	recordsRead{entries: []platform.Entry{configEntry(t, 1, 5), evacuation, upstreamEntry(t, "u-1", 3)}, revision: 20, full: true}.apply(leader, now)
	c := newTestControl(t)
	reply := make(chan *entrypb.GetConfigResponse, 1)
	recordsRequested{reply: reply}.apply(leader, now)
	older := recordsFrom("e1", now, <-reply)
	recordsRead{entries: []platform.Entry{{Key: evacuation.Key, Revision: 28, Deleted: true}}, revision: 30}.apply(leader, now)
	newer := recordsFrom("e1", now, leader.operator.published.Load().respond(&entrypb.GetConfigRequest{OperatorOnly: true}, now))
	newer.prefix = records.PrefixOperator
	newer.apply(c, now)
	older.apply(c, now)
	recordsRequested{after: c.revision, operatorAfter: c.operator.revision, reply: reply}.apply(leader, now)
	recordsFrom("e1", now, <-reply).apply(c, now)
	recordsRead{revision: 40, entries: []platform.Entry{upstreamEntry(t, "u-1", 40)}}.apply(leader, now)
	recordsRequested{after: c.revision, operatorAfter: c.operator.revision, reply: reply}.apply(leader, now)
	recordsFrom("e1", now, <-reply).apply(c, now)
	assert.Equal(t, c.revision, leader.revision)
	assert.DeepEqual(t, c.evacuated, leader.evacuated)
}

// Guards against a roll-out that starts a second time (EXPOSURE): the response of a peer that had the
// operator's records of a restored store, but not yet the others, held both eras.
func TestAPullDuringARestoreStartsNoRolloutAgain(t *testing.T) {
	now := time.Now()
	order := func(revision platform.Revision) platform.Entry {
		return platform.Entry{Key: records.PrefixRolloutOrders + "lookup", Revision: revision, Value: []byte(`{"service":"lookup","to_version":"v2","over_s":600}`)}
	}
	last, first := platform.NewRevision(1, 50), platform.NewRevision(2, 45)
	peer, c := newTestControl(t), newTestControl(t)
	for _, x := range []*control{peer, c} {
		recordsRead{entries: []platform.Entry{order(platform.NewRevision(1, 40)), upstreamEntry(t, "u-1", 3)}, revision: last, full: true}.apply(x, now)
	}
	run := c.rollouts.runs["lookup"]
	assert.Assert(t, run != nil)
	recordsRead{entries: []platform.Entry{order(platform.NewRevision(2, 40))}, revision: first, full: true, prefix: records.PrefixOperator}.apply(peer, now)
	reply := make(chan *entrypb.GetConfigResponse, 1)
	recordsRequested{after: last - 5, operatorAfter: last, reply: reply}.apply(peer, now)
	response := <-reply
	recordsFrom("e2", now, response).apply(c, now.Add(time.Second))
	assert.Assert(t, c.rollouts.runs["lookup"] == run, fmt.Sprint("the roll-out has started again, by a response of revision ", platform.Revision(response.GetRevision())))
}

// repeated is an urgent event that is followed by another one.
type repeated struct{ count *int }

func (repeated) urgent() bool { return true }

func (e repeated) apply(c *control, _ time.Time) {
	*e.count++
	if *e.count < 100*maxUrgentEvents {
		c.post(e)
	}
}

// Guards against urgent events that keep coming and hold up everything else.
func TestUrgentEventsHoldUpOthersForAShortTime(t *testing.T) {
	c := newTestControl(t)
	count, before := 0, 0
	c.post(inspect(func(*control) { before = count }))
	c.post(repeated{&count})
	applyAll(c)
	assert.Equal(t, before, maxUrgentEvents)
}
