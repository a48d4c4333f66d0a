package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errRefused  = errors.New("connection refused for this attempt")
	errSealed   = errors.New("attempt has ended")
	errDeadline = errors.New("deadline passed before the request was written")
)

// conn is a connection that writes only on behalf of the attempt that holds it.
type conn struct {
	net.Conn
	opened time.Time
	// heard is the time of the last byte read, in nanoseconds since opened.
	heard   atomic.Int64
	attempt atomic.Pointer[attempt]
}

func newConn(inner net.Conn, now time.Time) *conn {
	return &conn{Conn: inner, opened: now}
}

// lastHeard returns the time at which the upstream last proved to be there.
func (c *conn) lastHeard() time.Time {
	return c.opened.Add(time.Duration(c.heard.Load()))
}

// Read reads from the upstream and records that it was heard.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// Write writes only while the attempt that holds the connection allows it.
func (c *conn) Write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil {
		return 0, errRefused
	}
	if err := a.beginWrite(c, time.Now()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.endWrite(n)
	return n, err
}

// attempt is one request on one connection.
type attempt struct {
	deadline time.Time

	mu      sync.Mutex
	bound   *conn
	reused  bool
	refused bool
	sealed  bool
	writing bool
	written int64
}

// bind gives the connection to the attempt. After the first written byte, or
// when usable is false, the connection is refused: it cannot be written to.
func (a *attempt) bind(c *conn, reused, usable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reused = reused
	a.refused = !usable || a.written > 0 || a.writing || a.sealed
	if a.refused {
		c.attempt.Store(nil)
		return
	}
	a.bound = c
	c.attempt.Store(a)
}

func (a *attempt) beginWrite(c *conn, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errSealed
	}
	if a.refused || a.bound != c {
		return errRefused
	}
	if now.After(a.deadline) {
		return errDeadline
	}
	a.writing = true
	return nil
}

func (a *attempt) endWrite(n int) {
	a.mu.Lock()
	a.writing = false
	a.written += int64(n)
	a.mu.Unlock()
}

// readable says whether the request body may be read for this attempt.
func (a *attempt) readable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.refused && !a.sealed
}

// hasReused says whether the newest connection of the attempt was pooled.
func (a *attempt) hasReused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// seal ends all writing and says whether any byte may have left.
func (a *attempt) seal() (wrote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.writing || a.written > 0
}
