package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// chunkBytes is the size of the largest chunk that is forwarded at once.
const chunkBytes = 16 << 10

// Direction is the direction in which bytes are forwarded.
type Direction uint8

// Directions as seen from the side that opened the connection.
const (
	Outbound Direction = iota
	Inbound
)

// ProxyFault is a fault that a proxy applies to its connections. The zero value has none.
type ProxyFault struct {
	// Refuse resets new connections immediately.
	Refuse bool
	// Silent, indexed by Direction, withholds the bytes of a direction while it is set.
	Silent [2]bool
	// Delay is added to each chunk that is forwarded.
	Delay time.Duration
}

// Proxy forwards TCP connections to a target on the loopback interface.
type Proxy struct {
	listener net.Listener
	target   string

	mu           sync.Mutex
	faultChanged *sync.Cond
	fault        ProxyFault
	closed       bool
	conns        map[net.Conn]bool
}

// NewProxy listens on a free port and forwards connections to the target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.faultChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns the host and port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault.
func (p *Proxy) SetFault(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	p.faultChanged.Broadcast()
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.faultChanged.Broadcast()
}

// reset closes a connection so that the peer receives a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault().Refuse {
			reset(client)
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, server)
	done := make(chan struct{}, 2)
	forward := func(direction Direction, from, to net.Conn) {
		p.forward(direction, from, to)
		done <- struct{}{}
	}
	go forward(Outbound, client, server)
	go forward(Inbound, server, client)
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
	p.untrack(client, server)
}

// forward copies one direction until one of the connections ends; a read error resets
// the other connection.
func (p *Proxy) forward(direction Direction, from, to net.Conn) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay := p.waitWhileSilent(direction)
			time.Sleep(delay)
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// waitWhileSilent blocks while the direction is silent and returns the delay of a chunk.
func (p *Proxy) waitWhileSilent(direction Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.fault.Silent[direction] && !p.closed {
		p.faultChanged.Wait()
	}
	return p.fault.Delay
}

func (p *Proxy) currentFault() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
