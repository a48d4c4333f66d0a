package systemtest

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// forwarder passes TCP connections on to another address. Its connections can
// go silent for good, while new ones work.
type forwarder struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     []*forwarded
}

// forwarded is one connection with its two ends.
type forwarded struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

// forward starts a forwarder to the address. It ends with the test.
func forward(t *testing.T, target string) *forwarder {
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
		c := &forwarded{client: client, server: server}
		f.mu.Lock()
		f.open = append(f.open, c)
		f.mu.Unlock()
		go c.copy(server, client)
		go c.copy(client, server)
	}
}

// copy passes bytes on until one end closes. While the connection is silent it
// drops them, and the other end does not learn of a close.
func (c *forwarded) copy(to, from net.Conn) {
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

func (c *forwarded) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// silence makes all open connections silent and returns their number.
func (f *forwarder) silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(f.open)
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		c.client.Close()
		c.server.Close()
	}
}
