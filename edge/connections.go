package edge

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// busyPart is the part of the allowed connections of callers beyond which
	// refused callers are told to close theirs: they come back on a new one.
	busyPart = 0.4
	// fullPart is the part beyond which unused connections are closed, the longest
	// unused first.
	fullPart = 0.6
	// sweepInterval is the least time between two sweeps for unused connections.
	sweepInterval = 200 * time.Millisecond
)

// connections bounds the open connections of callers, so that the process keeps
// descriptors for upstreams and can always accept.
type connections struct {
	most int

	mu     sync.Mutex
	unused map[net.Conn]time.Time
	open   map[net.Conn]bool
	swept  time.Time
}

func newConnections(most int) *connections {
	return &connections{most: most, unused: map[net.Conn]time.Time{}, open: map[net.Conn]bool{}}
}

// observe is the hook of http.Server.
func (c *connections) observe(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = true
		c.sweep(now)
	case http.StateActive:
		delete(c.unused, conn)
	case http.StateIdle:
		c.unused[conn] = now
	case http.StateClosed, http.StateHijacked:
		delete(c.unused, conn)
		delete(c.open, conn)
	}
}

// busy says whether refused callers should close their connections.
func (c *connections) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.open)) > busyPart*float64(c.most)
}

// sweep closes the longest unused connections beyond fullPart. The mutex is held.
func (c *connections) sweep(now time.Time) {
	excess := len(c.open) - int(fullPart*float64(c.most))
	if excess <= 0 || now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	type unused struct {
		conn  net.Conn
		since time.Time
	}
	oldest := make([]unused, 0, len(c.unused))
	for conn, since := range c.unused {
		oldest = append(oldest, unused{conn, since})
	}
	slices.SortFunc(oldest, func(a, b unused) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, u := range oldest[:min(excess, len(oldest))] {
		// The server removes it from open when it notices.
		_ = u.conn.Close()
		delete(c.unused, u.conn)
	}
}
