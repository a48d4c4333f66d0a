package linger

import (
	"container/list"
	"context"
	"sync"
)

// Closer bounds the connections that linger. It is safe for concurrent use.
type Closer struct {
	mu    sync.Mutex
	limit int
	// lingering holds the *Conns that linger, the first one has done so longest.
	lingering *list.List
	// none is closed once no connection lingers; nil while nobody waits for it.
	none chan struct{}
}

// NewCloser returns a closer of which at most limit connections linger at a time.
func NewCloser(limit int) *Closer {
	return &Closer{limit: limit, lingering: list.New()}
}

// Unbound lifts the limit, for a stop that closes all connections at once.
func (c *Closer) Unbound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = 0
}

// Lingering returns how many connections linger.
func (c *Closer) Lingering() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering.Len()
}

// Wait returns once no connection lingers, or when the context ends: then it closes those that still do,
// and returns their number.
func (c *Closer) Wait(ctx context.Context) int {
	c.mu.Lock()
	if c.lingering.Len() == 0 {
		c.mu.Unlock()
		return 0
	}
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	c.mu.Unlock()
	select {
	case <-none:
		return 0
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.lingering.Front(); e != nil; e = e.Next() {
		_ = e.Value.(*Conn).Conn.Close()
	}
	return c.lingering.Len()
}

// add registers a connection that lingers from now on. If there are too many, it closes the one that has
// lingered longest.
func (c *Closer) add(conn *Conn) *list.Element {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && c.lingering.Len() >= c.limit {
		oldest := c.lingering.Remove(c.lingering.Front()).(*Conn)
		_ = oldest.Conn.Close()
	}
	return c.lingering.PushBack(conn)
}

// remove forgets a connection that has been closed.
func (c *Closer) remove(e *list.Element) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering.Remove(e)
	if c.lingering.Len() == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}
