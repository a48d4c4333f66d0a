package edge

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
	c := newConnections(limit)
	var conns []*fakeConn
	for range limit {
		conn := &fakeConn{}
		c.observe(conn, http.StateNew)
		c.observe(conn, http.StateActive)
		c.observe(conn, http.StateIdle)
		conns = append(conns, conn)
		if len(conns) == int(nearLimitFraction*limit) {
			assert.Assert(t, !c.nearLimit())
		}
	}
	assert.Assert(t, c.nearLimit())
	assert.Assert(t, conns[0].closed, "the longest idle connection is closed first")
	assert.Assert(t, !conns[limit-1].closed)
	for _, conn := range conns {
		c.observe(conn, http.StateClosed)
	}
	assert.Assert(t, !c.nearLimit())
}
