package upstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// lateReader is a connection whose reader does not run before release.
type lateReader struct {
	*net.TCPConn
	release chan struct{}
}

func (c lateReader) Read(p []byte) (int, error) {
	<-c.release
	return c.TCPConn.Read(p)
}

// TestNoRequestIsWrittenOnAConnectionThatHasEnded guards against a request whose outcome is
// unknown though it could have gone on another connection: the upstream has closed the pooled
// one, or sent more than its response, and the reader of net/http has not run since.
func TestNoRequestIsWrittenOnAConnectionThatHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		remote func(c *net.TCPConn) error
		usable bool
	}{
		"nothing":    {nil, true},
		"closed":     {func(c *net.TCPConn) error { return c.Close() }, false},
		"reset":      {func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, false},
		"more bytes": {func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err }, false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			inner, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			remote := accepted.(*net.TCPConn)
			defer remote.Close()

			late := lateReader{TCPConn: inner.(*net.TCPConn), release: make(chan struct{})}
			now := time.Now()
			c := newConn(late, now)
			read := make(chan struct{})
			go func() { _, _ = c.Read(make([]byte, 1)); close(read) }()
			if test.remote != nil {
				assert.NilError(t, test.remote(remote))
				awaitArrival(t, late.TCPConn)
			}
			h := &host{start: now}
			assert.Equal(t, h.usable(c, true, time.Hour, now), test.usable)
			close(late.release)
			_ = c.Close()
			<-read
		})
	}
}

// awaitArrival waits until the kernel has something to read from the connection.
func awaitArrival(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	for ready := 0; ready == 0; {
		err = raw.Control(func(fd uintptr) {
			ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 10)
			ready = max(ready, 0)
		})
		assert.NilError(t, err)
	}
}
