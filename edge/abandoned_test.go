package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Guards against a control goroutine that falls further behind by work for peers that have
// given up (CONFIG, issue 22).
func TestNoWorkForAPeerThatHasGivenUp(t *testing.T) {
	gone, waits := make(chan struct{}), make(chan struct{})
	close(gone)
	for name, test := range map[string]struct {
		callerGone chan struct{}
		want       int
	}{
		"gone":  {gone, 0},
		"waits": {waits, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			now := time.Now()
			recordsRead{entries: []platform.Entry{upstreamEntry(t, "u-1", 3)}, revision: 10, full: true}.apply(c, now)
			records := make(chan *entrypb.GetConfigResponse, 1)
			recordsRequested{after: 1, reply: records, callerGone: test.callerGone}.apply(c, now)
			assert.Equal(t, len(records), test.want)
			states := make(chan *entrypb.State, 1)
			heartbeat := &entrypb.State{Identity: &entrypb.Identity{
				Name: "e2", Incarnation: "e2_1", Address: "127.0.0.1:1", RpcAddress: "127.0.0.1:2", FailureDomain: "east-1", Region: "east",
			}}
			heartbeatReceived{state: heartbeat, reply: states, callerGone: test.callerGone}.apply(c, now)
			assert.Equal(t, len(states), test.want)
			assert.Assert(t, c.members.Snapshot(now).ByName("e2") != nil, "the heartbeat itself counts")
		})
	}
}
