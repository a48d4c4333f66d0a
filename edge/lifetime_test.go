package edge

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/linger"
)

// connect returns the two ends of a connection to a callerListener.
func connect(t *testing.T) (caller *net.TCPConn, accepted *callerConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { dialled.Close() })
	conn, err := callerListener{Listener: listener, heads: &headgate.Options{}, closer: linger.NewCloser(1)}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return dialled.(*net.TCPConn), conn.(*callerConn)
}

// Guards against requests that are sent because the goroutine that watches the connection has not
// run since the caller closed it: nothing reads from the connection here (GONE).
func TestALifetimeFindsTheCloseItself(t *testing.T) {
	for name, leave := range map[string]func(caller *net.TCPConn) error{
		"closed": func(caller *net.TCPConn) error { return caller.Close() },
		"reset": func(caller *net.TCPConn) error {
			_ = caller.SetLinger(0)
			return caller.Close()
		},
		"closed behind bytes": func(caller *net.TCPConn) error {
			_, _ = caller.Write([]byte("GET / HTTP/1.1\r\n"))
			return caller.Close()
		},
		"closed for writing": func(caller *net.TCPConn) error { return caller.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			l, release := newLifetime(httptest.NewRequest("GET", "/", nil), accepted, time.Now().Add(time.Hour), &stopping{})
			defer release()
			child, cancel := context.WithCancel(l)
			defer cancel()
			_, err := caller.Write([]byte("bytes of the next request"))
			assert.NilError(t, err)
			assert.NilError(t, l.mayBegin(), "bytes are no close")
			assert.NilError(t, leave(caller))
			eventually(t, "the close is found", func() bool { return l.Err() != nil })
			assert.Equal(t, errkind.Of(l.mayBegin()), errkind.CallerGone)
			assert.Equal(t, context.Cause(l), error(errCallerGone))
			assert.ErrorIs(t, child.Err(), context.Canceled)
		})
	}
}
