package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// nearFraction is the fraction of the limit beyond which refusals ask callers to close the
	// connection: callers repeat a refused request on a new connection and would leave the old one
	// open.
	nearFraction = 0.4
	// sweepFraction is the fraction of the limit beyond which idle connections are closed, the
	// longest idle first.
	sweepFraction = 0.6
	// mostFraction is the fraction of the limit that is open at most. The rest of the descriptors is
	// for upstreams, files and connections that linger.
	mostFraction = 0.8
	// memoryFraction is the fraction of the memory of a machine for connections without the heads and
	// bodies of their requests.
	memoryFraction = 0.25
	// connectionBytes is the memory of such a connection: the stacks of its goroutines and the buffers of
	// the server.
	connectionBytes = 32 << 10
	// sweepInterval is the minimum time between two sweeps of idle connections.
	sweepInterval = 200 * time.Millisecond
)

// MostFor returns how many connections fit into the memory of a machine in bytes, 0 for 0.
func MostFor(memory int64) int {
	return int(float64(memory) * memoryFraction / connectionBytes)
}

// Table holds the open connections of one or more servers. It is safe for concurrent use.
type Table struct {
	limit, most int
	// others returns the number of connections of other kinds.
	others func() int

	mu   sync.Mutex
	open map[net.Conn]*connection
	// waiting holds the *connections that wait for their callers, the first one for longest.
	waiting   *list.List
	lastSweep time.Time
}

// connection is one open connection.
type connection struct {
	conn net.Conn
	// busy is set while a request is handled, idle between two requests.
	busy, idle bool
	// waits is the place in Table.waiting, nil while the caller is not waited for.
	waits *list.Element
}

// New returns a table for a limit of connections. most bounds those that are open further; 0 for no
// further bound. What others returns counts as open, for up to half of the bound; nil for none.
func New(limit, most int, others func() int) *Table {
	open := max(1, int(mostFraction*float64(limit)))
	if most > 0 {
		open = min(open, most)
	}
	if others == nil {
		others = func() int { return 0 }
	}
	return &Table{limit: limit, most: open, others: others, open: map[net.Conn]*connection{}, waiting: list.New()}
}

// Observe tracks a change of a connection's state. It is the ConnState hook of http.Server.
func (t *Table) Observe(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		c := &connection{conn: conn}
		t.open[conn] = c
		t.setWaiting(c, true)
		t.sweep(time.Now())
		t.makeRoom()
		return
	case http.StateClosed, http.StateHijacked:
		t.forget(t.open[conn])
		return
	}
	c := t.open[conn]
	if c == nil {
		// It was closed to make room.
		return
	}
	c.busy, c.idle = state == http.StateActive, state == http.StateIdle
	t.setWaiting(c, !c.busy)
}

// SetWaiting records whether the request that is handled on the connection waits for its caller.
func (t *Table) SetWaiting(conn net.Conn, waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.open[conn]; c != nil {
		t.setWaiting(c, waiting)
	}
}

// NearLimit reports whether so many connections are open that refused callers should close theirs.
func (t *Table) NearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(len(t.open)) > nearFraction*float64(t.limit)
}

// Count returns the number of open connections without and with a request that is handled.
func (t *Table) Count() (unused, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.open {
		if c.busy {
			busy++
		}
	}
	return len(t.open) - busy, busy
}

// setWaiting records whether the connection waits for its caller. The caller holds the mutex.
func (t *Table) setWaiting(c *connection, waiting bool) {
	if c.waits != nil {
		t.waiting.Remove(c.waits)
		c.waits = nil
	}
	if waiting {
		c.waits = t.waiting.PushBack(c)
	}
}

// forget removes a connection, which may be nil. The caller holds the mutex.
func (t *Table) forget(c *connection) {
	if c == nil {
		return
	}
	t.setWaiting(c, false)
	delete(t.open, c.conn)
}

// makeRoom closes the connections that have waited for their callers longest while too many are open. The
// caller holds the mutex.
func (t *Table) makeRoom() {
	most := max(t.most/2, t.most-t.others())
	for len(t.open) > most && t.waiting.Len() > 0 {
		c := t.waiting.Front().Value.(*connection)
		t.forget(c)
		_ = c.conn.Close()
	}
}

// sweep closes the longest idle connections beyond sweepFraction. The caller holds the mutex.
func (t *Table) sweep(now time.Time) {
	excess := len(t.open) - int(sweepFraction*float64(t.limit))
	if excess <= 0 || now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for e := t.waiting.Front(); e != nil && excess > 0; {
		c := e.Value.(*connection)
		e = e.Next()
		if c.idle {
			t.forget(c)
			_ = c.conn.Close()
			excess--
		}
	}
}
