package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
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
