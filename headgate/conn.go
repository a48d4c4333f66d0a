package headgate

import (
	"context"
	"net"
	"net/http"
	"time"

	"samphireferry.example/ferry/buffers"
)

// UnreadBodyTimeout bounds the wait for a body that no handler reads. The server of net/http reads
// up to 256 KiB of the rest before it writes the response, and would wait without end for a body
// that never arrives.
const UnreadBodyTimeout = 1 * time.Second

// Gated is a connection whose requests pass a gate.
type Gated interface{ HeadGate() *Gate }

// Conn is a connection whose requests pass a gate.
type Conn struct {
	net.Conn
	gate *Gate
}

// HeadGate implements Gated.
func (c *Conn) HeadGate() *Gate { return c.gate }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.gate.Read(p) }

// Listener accepts connections as Conns.
type Listener struct {
	net.Listener
	Options *Options
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, gate: New(conn, l.Options)}, nil
}

// Observe is the ConnState hook of a server whose connections are Gated.
func Observe(conn net.Conn, state http.ConnState) {
	gated, ok := conn.(Gated)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		gated.HeadGate().Next()
	case http.StateClosed, http.StateHijacked:
		gated.HeadGate().Release()
	}
}

// ObserveWith returns a ConnState hook like Observe that passes all changes on to next.
func ObserveWith(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		Observe(conn, state)
		next(conn, state)
	}
}

type connKey struct{}

// WithConn is the ConnContext hook of a server whose connections are Gated.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of the request, nil if it has no gate.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// Take returns the memory held for the head of the request, or the refusal of the head. It returns nil
// for a request of a connection without a gate.
func Take(r *http.Request) (*buffers.Holder, error) {
	gated, ok := r.Context().Value(connKey{}).(Gated)
	if !ok {
		return nil, nil
	}
	return gated.HeadGate().Take(r)
}

// BoundUnreadBody bounds the wait for the body of a request that will not be read.
func BoundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Only recorders of tests have no deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
	}
}

// Guard returns a handler that passes on requests with an accepted head to a handler that reads no
// bodies. Others are passed to refuse, which writes the refusal; their connection is closed.
func Guard(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Take(r)
		if err != nil {
			w.Header().Set("Connection", "close")
			refuse(w, err)
			return
		}
		BoundUnreadBody(w, r)
		next.ServeHTTP(w, r)
	})
}
