package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pieceBytes is the largest piece that is passed on at once.
const pieceBytes = 16 << 10

// Direction says which way bytes go.
type Direction uint8

// The directions seen from the side that opened the connection.
const (
	Out Direction = iota
	In
)

// Harm is what a proxy does to its connections.
type Harm struct {
	// Refuse closes new connections at once.
	Refuse bool
	// Silent holds back the bytes of a direction for as long as it is set.
	Silent [2]bool
	// Delay is added to each piece that is passed on.
	Delay time.Duration
}

// Proxy passes TCP connections on to a target on the loopback interface.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	harm    Harm
	closed  bool
	conns   map[net.Conn]bool
}

// NewProxy listens on a free port and passes connections on to the target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the harm.
func (p *Proxy) Set(harm Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = harm
	p.changed.Broadcast()
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.changed.Broadcast()
}

// reset closes a connection so that the peer sees a reset.
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
		if p.current().Refuse {
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
	pass := func(direction Direction, from, to net.Conn) {
		p.pass(direction, from, to)
		done <- struct{}{}
	}
	go pass(Out, client, server)
	go pass(In, server, client)
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
	p.forget(client, server)
}

// pass copies one direction until one of the connections ends.
func (p *Proxy) pass(direction Direction, from, to net.Conn) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			delay := p.await(direction)
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

// await blocks while the direction is silent and returns the delay.
func (p *Proxy) await(direction Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.harm.Silent[direction] && !p.closed {
		p.changed.Wait()
	}
	return p.harm.Delay
}

func (p *Proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
