package systemtest

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// forwarder forwards TCP connections to another address. Its open connections can be
// made silent for good, while new ones work.
type forwarder struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	connections []*forwardedConn
}

// forwardedConn is one connection with its two ends.
type forwardedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

// startForwarder starts a forwarder to the address. It is closed at the end of the
// test.
func startForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{target: target, listener: listener}
	go f.accept()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			client.Close()
			continue
		}
		c := &forwardedConn{client: client, server: server}
		f.mu.Lock()
		f.connections = append(f.connections, c)
		f.mu.Unlock()
		go c.copy(server, client)
		go c.copy(client, server)
	}
}

// copy forwards bytes until one end closes. While the connection is silent it drops
// them, and does not close the other end.
func (c *forwardedConn) copy(to, from net.Conn) {
	_, _ = io.Copy(writerFunc(func(p []byte) (int, error) {
		if c.isSilent() {
			return len(p), nil
		}
		return to.Write(p)
	}), from)
	if !c.isSilent() {
		c.client.Close()
		c.server.Close()
	}
}

func (c *forwardedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// writerFunc adapts a function to io.Writer.
type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// silenceConnections makes all open connections silent and returns their number.
func (f *forwarder) silenceConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.connections {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(f.connections)
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.connections {
		c.client.Close()
		c.server.Close()
	}
}
