package demo

import (
	"context"
	"net"
	"sync"
)

// Network carries the connections between the processes of a System. Each
// address has a location: a failure domain, or the platform. While two locations
// are partitioned, nothing passes between them in either direction, and open
// connections stay open and silent.
type Network struct {
	mu          sync.Mutex
	partitioned map[link]bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	// locations are by address.
	locations map[string]string
}

// link is a pair of locations in lexical order.
type link struct {
	a, b string
}

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

func newNetwork() *Network {
	return &Network{partitioned: map[link]bool{}, changed: make(chan struct{}), locations: map[string]string{}}
}

// LocationPlatform is the location of the platform.
const LocationPlatform = "platform"

// SetPartitioned partitions two locations, or connects them again.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[newLink(a, b)] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// setLocation records the location of an address.
func (n *Network) setLocation(address, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = location
}

// linkState reports whether the link is partitioned, and returns a channel that is
// closed at the next change of any link.
func (n *Network) linkState(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[l], n.changed
}

// dialFrom returns a dial function for a process at the location.
func (n *Network) dialFrom(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := newLink(from, n.locations[address])
		n.mu.Unlock()
		err := n.waitConnected(ctx.Done(), ctx.Err, l)
		if err != nil {
			return nil, err
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &networkConn{Conn: conn, network: n, link: l, closed: make(chan struct{})}, nil
	}
}

// waitConnected returns nil once the link is not partitioned. When done is closed
// first, it returns the error of cause.
func (n *Network) waitConnected(done <-chan struct{}, cause func() error, l link) error {
	for {
		partitioned, changed := n.linkState(l)
		if !partitioned {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return cause()
		}
	}
}

// networkConn delays its reads and writes while its link is partitioned.
type networkConn struct {
	net.Conn
	network *Network
	link    link
	once    sync.Once
	closed  chan struct{}
}

func errClosed() error { return net.ErrClosed }

// Read implements net.Conn.
func (c *networkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.network.waitConnected(c.closed, errClosed, c.link); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *networkConn) Write(p []byte) (int, error) {
	err := c.network.waitConnected(c.closed, errClosed, c.link)
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *networkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
