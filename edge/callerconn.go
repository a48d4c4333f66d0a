package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/linger"
)

// callerListener accepts the connections of callers as callerConns.
type callerListener struct {
	net.Listener
	heads  *headgate.Options
	closer *linger.Closer
}

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
	raw, err := socket.SyscallConn()
	if err != nil {
		// An error of Accept would end the server. The connection is unusable, which it finds itself.
		return conn, nil
	}
	lingering := l.closer.Conn(socket)
	return &callerConn{Conn: lingering, gate: headgate.New(lingering, l.heads), raw: raw, opened: time.Now()}, nil
}

// callerConn is the connection of a caller.
type callerConn struct {
	*linger.Conn
	gate   *headgate.Gate
	raw    syscall.RawConn
	opened time.Time
	// ended is when a read first found the end of the connection, in nanoseconds since opened;
	// 0 while none has.
	ended atomic.Int64
}

// HeadGate implements headgate.Gated.
func (c *callerConn) HeadGate() *headgate.Gate { return c.gate }

// Read implements net.Conn. It records when the end of the connection was found.
//
// While a request is handled, net/http reads one byte and takes an error for the close. A byte that
// the caller has sent behind the request would end that watch, so such a read goes on to wait for the
// close, and returns io.EOF together with the byte.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.gate.Read(p)
	if n == 1 && err == nil && c.gate.IsAhead() {
		err = c.awaitClose()
	}
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

// awaitClose waits until the caller closes the connection, which it returns as io.EOF, or until the
// read deadline, for which it returns nil.
func (c *callerConn) awaitClose() error {
	// The function is called again after each event of the socket.
	err := c.raw.Read(closedByPeer)
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// closedByCaller reports whether the caller has closed or reset the connection, also if that
// has not been read yet or comes after bytes that have not been read.
func (c *callerConn) closedByCaller() bool {
	var closed bool
	err := c.raw.Control(func(fd uintptr) { closed = closedByPeer(fd) })
	return err != nil || closed
}

// closedByPeer reports whether the peer of the socket has closed or reset the connection.
func closedByPeer(fd uintptr) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0
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
