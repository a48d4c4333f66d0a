package edge

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphireferry.example/ferry/headgate"
)

const (
	// nearLimitFraction is the fraction of the connection limit beyond which refusals
	// ask callers to close the connection: callers repeat a refused request on a new
	// connection and would leave the old one open.
	nearLimitFraction = 0.4
	// sweepFraction is the fraction of the connection limit beyond which idle
	// connections are closed, the longest idle first.
	sweepFraction = 0.6
	// sweepInterval is the minimum time between two sweeps of idle connections.
	sweepInterval = 200 * time.Millisecond
)

// connections bounds the open connections of callers, so that the process keeps file
// descriptors for upstreams and can always accept.
type connections struct {
	limit int

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	// open holds whether a request of the connection is handled.
	open      map[net.Conn]bool
	lastSweep time.Time
}

func newConnections(limit int) *connections {
	return &connections{limit: limit, idle: map[net.Conn]time.Time{}, open: map[net.Conn]bool{}}
}

// observe tracks a change of a connection's state. It is the ConnState hook of
// http.Server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	headgate.Observe(conn, state)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = false
		c.sweep(now)
	case http.StateActive:
		c.open[conn] = true
		delete(c.idle, conn)
	case http.StateIdle:
		c.open[conn] = false
		c.idle[conn] = now
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, conn)
		delete(c.open, conn)
	}
}

// nearLimit reports whether so many connections are open that refused callers should
// close theirs.
func (c *connections) nearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.open)) > nearLimitFraction*float64(c.limit)
}

// count returns the number of open connections without and with a request that is handled.
func (c *connections) count() (unused, busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, used := range c.open {
		if used {
			busy++
		}
	}
	return len(c.open) - busy, busy
}

// sweep closes the longest idle connections beyond sweepFraction. The caller holds the
// mutex.
func (c *connections) sweep(now time.Time) {
	excess := len(c.open) - int(sweepFraction*float64(c.limit))
	if excess <= 0 || now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	type idleConn struct {
		conn  net.Conn
		since time.Time
	}
	longestIdle := make([]idleConn, 0, len(c.idle))
	for conn, since := range c.idle {
		longestIdle = append(longestIdle, idleConn{conn, since})
	}
	slices.SortFunc(longestIdle, func(a, b idleConn) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, oldest := range longestIdle[:min(excess, len(longestIdle))] {
		// The server reports it as closed to observe, which removes it from open.
		_ = oldest.conn.Close()
		delete(c.idle, oldest.conn)
	}
}
