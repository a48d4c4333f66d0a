package demo

import (
	"context"
	"net"
	"sync"
)

// Network carries the connections between the processes of a System. Places are
// failure domains, or the platform. While two places are cut off from each
// other, nothing passes between them in either direction, and open connections
// stay open and silent.
type Network struct {
	mu  sync.Mutex
	cut map[link]bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	places  map[string]string
}

// link is a pair of places in order.
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
	return &Network{cut: map[link]bool{}, changed: make(chan struct{}), places: map[string]string{}}
}

// PlacePlatform is the place of the platform.
const PlacePlatform = "platform"

// SetCut cuts two places off from each other, or joins them again.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[newLink(a, b)] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// place records where an address is.
func (n *Network) place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = place
}

// state says whether two places are cut off, and returns a channel that is
// closed at the next change.
func (n *Network) state(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l], n.changed
}

// dialFrom returns a dial function for a process at the place.
func (n *Network) dialFrom(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := newLink(from, n.places[address])
		n.mu.Unlock()
		err := n.wait(ctx.Done(), ctx.Err, l)
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

// wait returns when the link is not cut, or with the error when done is closed.
func (n *Network) wait(done <-chan struct{}, cause func() error, l link) error {
	for {
		cut, changed := n.state(l)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return cause()
		}
	}
}

// networkConn holds back what it reads and writes while its link is cut.
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
	if waitErr := c.network.wait(c.closed, errClosed, c.link); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *networkConn) Write(p []byte) (int, error) {
	err := c.network.wait(c.closed, errClosed, c.link)
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
