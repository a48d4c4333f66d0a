package entryinstance

import (
	"context"
	"sync"

	"google.golang.org/grpc"
)

type keepOnSilenceKey struct{}

// KeepOnSilence marks a call that must not be repeated. It keeps waiting when
// its connection becomes silent, because the response may still arrive. Other
// calls then end with the code Unavailable, so that they can be repeated on a
// new connection.
func KeepOnSilence(ctx context.Context) context.Context {
	return context.WithValue(ctx, keepOnSilenceKey{}, true)
}

func keepsOnSilence(ctx context.Context) bool {
	keep, _ := ctx.Value(keepOnSilenceKey{}).(bool)
	return keep
}

// peerConn is a grpc.ClientConnInterface that sends each call over the current
// connection to an address.
type peerConn struct {
	pool    *Pool
	address string
}

// Invoke makes a unary call.
func (p *peerConn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	c, err := p.pool.acquire(p.address)
	if err != nil {
		return err
	}
	defer c.release()
	callCtx, cancel := c.callContext(ctx)
	defer cancel()
	callCtx, cancelTimeout := withDefaultTimeout(callCtx)
	defer cancelTimeout()
	defer c.watchCall()()
	return c.translateError(ctx, c.cc.Invoke(callCtx, method, args, reply, opts...))
}

// NewStream starts a streaming call.
func (p *peerConn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c, err := p.pool.acquire(p.address)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := c.callContext(ctx)
	stopWatch := c.watchCall()
	finish := sync.OnceFunc(func() {
		stopWatch()
		cancel()
		c.release()
	})
	stream, err := c.cc.NewStream(callCtx, desc, method, opts...)
	if err != nil {
		finish()
		return nil, c.translateError(ctx, err)
	}
	context.AfterFunc(callCtx, finish)
	return &watchedStream{ClientStream: stream, conn: c, parent: ctx, finish: finish}, nil
}

// callContext returns a context that is also cancelled when the connection is
// retired, unless ctx is marked with KeepOnSilence.
func (c *connection) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	if keepsOnSilence(ctx) {
		return callCtx, cancel
	}
	stop := context.AfterFunc(c.ctx, cancel)
	return callCtx, func() {
		stop()
		cancel()
	}
}

// withDefaultTimeout limits a context without a deadline to DefaultCallTimeout.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, DefaultCallTimeout)
}

// watchedStream stops the silence checks of its call when the stream ends. The
// caller must read the stream to its end or cancel its context.
type watchedStream struct {
	grpc.ClientStream
	conn   *connection
	parent context.Context
	finish func()
}

// RecvMsg receives the next message. After an error the call no longer counts as
// a running call of its connection.
func (s *watchedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if err == nil {
		return nil
	}
	err = s.conn.translateError(s.parent, err)
	s.finish()
	return err
}
