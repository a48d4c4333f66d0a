package linger

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/internal/smallwindow"
)

// connect returns the two ends of a connection, of which the accepted one lingers.
func connect(t *testing.T, c *Closer) (peer *net.TCPConn, accepted *Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer inner.Close()
	peer, err = smallwindow.Dial(inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { peer.Close() })
	conn, err := Listener{Listener: inner, Closer: c}.Accept()
	assert.NilError(t, err)
	return peer, conn.(*Conn)
}

// Guards against a response that is cut by the reset of a connection with unread bytes.
func TestAResponseArrivesAlthoughBytesAreUnread(t *testing.T) {
	response := bytes.Repeat([]byte("r"), 40_000)
	for name, send := range map[string]func(peer *net.TCPConn){
		"nothing behind":    func(*net.TCPConn) {},
		"bytes before":      func(peer *net.TCPConn) { _, _ = peer.Write([]byte("next")) },
		"closed one way":    func(peer *net.TCPConn) { _, _ = peer.Write([]byte("next")); _ = peer.CloseWrite() },
		"bytes after":       nil,
		"many bytes before": func(peer *net.TCPConn) { _, _ = peer.Write(bytes.Repeat([]byte("n"), 20_000)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCloser(1)
			peer, accepted := connect(t, c)
			if send != nil {
				send(peer)
			}
			_, err := accepted.Write(response)
			assert.NilError(t, err)
			assert.NilError(t, accepted.Close())
			if send == nil {
				_, err = peer.Write([]byte("next"))
				assert.NilError(t, err)
			}
			got, err := io.ReadAll(peer)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, response), "%d bytes", len(got))
			assert.NilError(t, peer.Close())
			assert.Equal(t, c.Wait(t.Context()), 0)
		})
	}
}

// Guards against a request that is read from a connection that the server has closed.
func TestNothingIsReadAfterTheClose(t *testing.T) {
	c := NewCloser(1)
	peer, accepted := connect(t, c)
	read := make(chan error)
	go func() {
		_, err := accepted.Read(make([]byte, 100))
		read <- err
	}()
	assert.NilError(t, accepted.Close())
	assert.ErrorIs(t, <-read, net.ErrClosed)
	_, err := peer.Write([]byte("next"))
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 100))
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = accepted.Write([]byte("response"))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.ErrorIs(t, accepted.SetReadDeadline(time.Time{}), net.ErrClosed)
	assert.ErrorIs(t, accepted.Close(), net.ErrClosed)
}

// Guards against peers that neither read nor close and together take all descriptors.
func TestTheOldestIsClosedBeyondTheLimit(t *testing.T) {
	const limit, peers = 3, 10
	c := NewCloser(limit)
	for range peers {
		_, accepted := connect(t, c)
		_, err := accepted.Write(bytes.Repeat([]byte("r"), 40_000))
		assert.NilError(t, err)
		assert.NilError(t, accepted.Close())
		assert.Assert(t, c.Lingering() <= limit)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, c.Wait(ended), limit)
	assert.Equal(t, c.Wait(t.Context()), 0)
	c.Unbound()
	for range peers {
		_, accepted := connect(t, c)
		assert.NilError(t, accepted.Close())
	}
	assert.Equal(t, c.Lingering(), peers)
	assert.Equal(t, c.Wait(t.Context()), 0)
}
