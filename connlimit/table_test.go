package connlimit

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

// TestIdleConnectionsAreClosedNearTheLimit guards against running out of file
// descriptors: callers repeated refused requests on a new connection each, until the
// process had no descriptor left and could not accept, and requests waited for seconds
// (CONFIG, recallhub-south, scale-1).
func TestIdleConnectionsAreClosedNearTheLimit(t *testing.T) {
	const limit = 100
	c := New(limit, 0, nil)
	var conns []*fakeConn
	for range limit {
		conn := &fakeConn{}
		c.Observe(conn, http.StateNew)
		c.Observe(conn, http.StateActive)
		c.Observe(conn, http.StateIdle)
		conns = append(conns, conn)
		if len(conns) == int(nearFraction*limit) {
			assert.Assert(t, !c.NearLimit())
		}
	}
	assert.Assert(t, c.NearLimit())
	assert.Assert(t, conns[0].closed, "the longest idle connection is closed first")
	assert.Assert(t, !conns[limit-1].closed)
	for _, conn := range conns {
		c.Observe(conn, http.StateClosed)
	}
	assert.Assert(t, !c.NearLimit())
}

// Guards against descriptors that run out since clients open connections and send nothing, or stop within
// a request, and against callers that cannot connect any more because of them.
func TestTheLongestWaitingIsClosedAtTheBound(t *testing.T) {
	const limit, most = 100, 10
	c := New(limit, most, nil)
	open := func(states ...http.ConnState) *fakeConn {
		conn := &fakeConn{}
		c.Observe(conn, http.StateNew)
		for _, state := range states {
			c.Observe(conn, state)
		}
		return conn
	}
	busy := open(http.StateActive)
	silent := open()
	body := open(http.StateActive)
	c.SetWaiting(body, true)
	answered := open(http.StateActive)
	c.SetWaiting(answered, true)
	c.SetWaiting(answered, false)
	for range most - 4 {
		open(http.StateActive, http.StateIdle)
	}
	assert.Assert(t, !silent.closed)
	open()
	assert.Assert(t, silent.closed && !body.closed)
	open()
	assert.Assert(t, body.closed, "a body is waited for")
	for range 3 * most {
		conn := open(http.StateActive)
		assert.Assert(t, !busy.closed && !answered.closed)
		c.Observe(conn, http.StateClosed)
	}
	for range most - 2 {
		assert.Assert(t, !open(http.StateActive).closed)
	}
	assert.Assert(t, open().closed, "all others are busy")
	_, handled := c.Count()
	assert.Equal(t, handled, most)
	// What is closed is reported later.
	c.Observe(silent, http.StateClosed)
	c.SetWaiting(silent, true)
	unused, _ := c.Count()
	assert.Equal(t, unused, 0)
}

// Guards against a process that has more descriptors than it may, since each request of a caller holds a
// connection to an upstream as well, and against callers that get no connection because of those.
func TestOtherConnectionsCountForHalfOfTheBound(t *testing.T) {
	const limit = 100
	others := 0
	c := New(limit, 0, func() int { return others })
	for others = range 2 * limit {
		conn := &fakeConn{}
		c.Observe(conn, http.StateNew)
		assert.Assert(t, !conn.closed, "the newest")
		unused, _ := c.Count()
		assert.Assert(t, unused+others <= int(mostFraction*limit) || unused <= int(mostFraction*limit)/2, "%d beside %d", unused, others)
	}
	unused, _ := c.Count()
	assert.Equal(t, unused, int(mostFraction*limit)/2)
}
