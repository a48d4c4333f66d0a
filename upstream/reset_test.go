package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetPair returns a connection whose other end has written the bytes and reset it.
func resetPair(t *testing.T, bytes string) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	local, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { local.Close() })
	remote, err := listener.Accept()
	assert.NilError(t, err)
	_, err = io.WriteString(remote, bytes)
	assert.NilError(t, err)
	assert.NilError(t, remote.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, remote.Close())
	return local
}

// TestAResetIsNoEndOfAResponse guards against a response without a length that was reset and
// is passed on as whole (MIXED): the system reports a reset once, and a write that met it left
// the reader with a plain end.
func TestAResetIsNoEndOfAResponse(t *testing.T) {
	for name, written := range map[string]bool{"read first": false, "write first": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := newConn(resetPair(t, "half"), now)
			a := newAttempt(t.Context(), now.Add(time.Hour))
			a.bind(c, false, true)
			for written {
				// Write itself would wait for the reader.
				if _, err := c.write([]byte("body")); err != nil {
					break
				}
			}
			data, err := io.ReadAll(c)
			assert.Assert(t, err != nil, "read %q", data)
		})
	}
}
