package edge

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// callerListener accepts the connections of callers as callerConns.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &callerConn{TCPConn: socket, opened: time.Now()}, nil
}

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn
	opened time.Time
	// ended is when a read first found the end of the connection, in nanoseconds since opened;
	// 0 while none has.
	ended atomic.Int64
}

// Read implements net.Conn. It records when the end of the connection was found.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.CompareAndSwap(0, int64(time.Since(c.opened)))
	}
	return n, err
}

// endedSince returns how long ago a read found the end of the connection, and false if none has.
// The connection may be nil.
func (c *callerConn) endedSince() (time.Duration, bool) {
	if c == nil {
		return 0, false
	}
	ended := time.Duration(c.ended.Load())
	return time.Since(c.opened) - ended, ended != 0
}

// closedByCaller reports whether the caller has closed or reset the connection, also if that
// has not been read yet or comes after bytes that have not been read.
func (c *callerConn) closedByCaller() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var closed bool
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0
	})
	return err != nil || closed
}

type callerConnKey struct{}

// withCallerConn is the ConnContext hook of http.Server that makes the connection known to the
// requests on it.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of the request, or nil if it is none of a callerListener.
func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}
