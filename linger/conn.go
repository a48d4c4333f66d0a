package linger

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two looks at the progress of a connection.
	checkInterval = 100 * time.Millisecond
	// discardSize is the size of the buffer into which bytes are read that nobody gets.
	discardSize = 1 << 10
	// maxDiscarded bounds the bytes that are read so, and with it the processor time. More of them fill
	// the receive buffer, so that the peer stops.
	maxDiscarded = 256 << 10
)

// halfCloser is a connection whose directions are closed one at a time.
type halfCloser interface{ CloseWrite() error }

// Conn is a connection whose Close lets the bytes that were written to it arrive.
type Conn struct {
	net.Conn
	closer *Closer

	// reading is held by a read in progress.
	reading sync.Mutex
	// peerEnded is set once a read has found the end of what the peer sends.
	peerEnded atomic.Bool

	mu     sync.Mutex
	closed bool
}

// Conn returns the connection as one that lingers.
func (c *Closer) Conn(conn net.Conn) *Conn { return &Conn{Conn: conn, closer: c} }

// Listener accepts connections as Conns.
type Listener struct {
	net.Listener
	Closer *Closer
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Closer.Conn(conn), nil
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements net.Conn. It fails once Close has been called, also if bytes come.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerEnded.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return io.Copy(c.Conn, r)
}

// CloseWrite ends the direction to the peer, if the connection can.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(halfCloser)
	if !ok {
		return errors.New("the connection has no directions")
	}
	return half.CloseWrite()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn. It returns at once. Reads in progress fail, and the socket is closed once the
// peer has closed it or the connection has lingered for long enough.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	// Ends the read in progress. No other deadline can be set from now on.
	_ = c.Conn.SetReadDeadline(time.Unix(0, 0))
	c.mu.Unlock()
	half, ok := c.Conn.(halfCloser)
	if !ok || c.peerEnded.Load() || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	e := c.closer.add(c)
	go func() {
		c.linger()
		_ = c.Conn.Close()
		c.closer.remove(e)
	}()
	return nil
}

// linger discards what the peer sends until it has closed, or has to be given up.
func (c *Conn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	var buffer [discardSize]byte
	p := newProgress(time.Now(), c.unsent())
	for discarded := 0; ; {
		if discarded < maxDiscarded {
			_ = c.Conn.SetReadDeadline(time.Now().Add(checkInterval))
			n, err := c.Conn.Read(buffer[:])
			discarded += n
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
		} else {
			time.Sleep(checkInterval)
		}
		if p.ended(time.Now(), c.unsent()) {
			return
		}
	}
}

// unsent returns how many of the bytes written the peer has not acknowledged, or unknown.
func (c *Conn) unsent() int {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return unknown
	}
	n := unknown
	err = raw.Control(func(fd uintptr) {
		queued, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if ioctlErr == nil {
			n = queued
		}
	})
	if err != nil {
		return unknown
	}
	return n
}
