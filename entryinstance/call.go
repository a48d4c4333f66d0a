package entryinstance

import (
	"context"
	"sync"

	"google.golang.org/grpc"
)

type keepKey struct{}

// KeepOnSilence marks a call that must not be repeated. It is left waiting
// when its connection turns silent, because the answer may still come. Other
// calls then end with the code Unavailable, so that they can be repeated on a
// new connection.
func KeepOnSilence(ctx context.Context) context.Context {
	return context.WithValue(ctx, keepKey{}, true)
}

func keptOnSilence(ctx context.Context) bool {
	kept, _ := ctx.Value(keepKey{}).(bool)
	return kept
}

// peerConn sends each call over the connection that is current for an address.
type peerConn struct {
	pool    *Pool
	address string
}

// Invoke makes a unary call.
func (p *peerConn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	c, err := p.pool.begin(p.address)
	if err != nil {
		return err
	}
	defer c.end()
	callCtx, cancel := c.callContext(ctx)
	defer cancel()
	callCtx, cancelTimeout := withDefaultTimeout(callCtx)
	defer cancelTimeout()
	defer c.watchCall()()
	return c.explain(ctx, c.cc.Invoke(callCtx, method, args, reply, opts...))
}

// NewStream starts a streaming call.
func (p *peerConn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c, err := p.pool.begin(p.address)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := c.callContext(ctx)
	stopWatch := c.watchCall()
	finish := sync.OnceFunc(func() {
		stopWatch()
		cancel()
		c.end()
	})
	stream, err := c.cc.NewStream(callCtx, desc, method, opts...)
	if err != nil {
		finish()
		return nil, c.explain(ctx, err)
	}
	context.AfterFunc(callCtx, finish)
	return &watchedStream{ClientStream: stream, conn: c, parent: ctx, finish: finish}, nil
}

// callContext returns a context that also ends when the connection is retired,
// unless the call is kept on silence.
func (c *connection) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	if keptOnSilence(ctx) {
		return callCtx, cancel
	}
	stop := context.AfterFunc(c.ctx, cancel)
	return callCtx, func() {
		stop()
		cancel()
	}
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, DefaultCallTimeout)
}

// watchedStream ends the watch of its connection when the stream ends. The
// user of the stream must read it to its end or cancel its context.
type watchedStream struct {
	grpc.ClientStream
	conn   *connection
	parent context.Context
	finish func()
}

// RecvMsg receives the next message.
func (s *watchedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err == nil {
		return nil
	}
	err = s.conn.explain(s.parent, err)
	s.finish()
	return err
}
