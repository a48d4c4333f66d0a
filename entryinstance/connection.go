package entryinstance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// errSilent is the cause with which calls on a silent connection are ended.
var errSilent = errors.New("the connection to the entry instance is silent")

// connection is one gRPC connection to a peer. A connection that was found
// silent is retired: new calls get another one, and it is closed when its last
// call has ended.
type connection struct {
	pool    *Pool
	address string
	cc      *grpc.ClientConn
	// ctx is cancelled when the connection is retired.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// heardNanos is the Unix time in nanoseconds of the last data read.
	heardNanos atomic.Int64
	probing    atomic.Bool

	mu      sync.Mutex
	calls   int
	retired bool
}

func newConnection(pool *Pool, address string) (*connection, error) {
	c := &connection{pool: pool, address: address}
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(pool.ctx))
	cc, err := grpc.NewClient("passthrough:///"+address, pool.dialOptions(c)...)
	if err != nil {
		return nil, errors.Wrapf(err, "entry instance %s", address)
	}
	c.cc = cc
	context.AfterFunc(pool.ctx, c.close)
	return c, nil
}

// dialTracked opens the connection and notes the time of each read from it.
func (c *connection) dialTracked(ctx context.Context, _ string) (net.Conn, error) {
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.heard()
	return &trackedConn{Conn: conn, owner: c}, nil
}

func (c *connection) heard() { c.heardNanos.Store(time.Now().UnixNano()) }

func (c *connection) lastHeard() time.Time {
	nanos := c.heardNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// begin counts a call. It returns false if the connection is retired.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.calls++
	return true
}

// end uncounts a call and closes a retired connection after its last one.
func (c *connection) end() {
	c.mu.Lock()
	c.calls--
	closing := c.retired && c.calls == 0
	c.mu.Unlock()
	if closing {
		c.cc.Close()
	}
}

// retire takes the connection out of use. Calls that may be repeated end with
// the code Unavailable; the others go on.
func (c *connection) retire() {
	c.pool.remove(c)
	c.mu.Lock()
	first := !c.retired
	c.retired = true
	closing := first && c.calls == 0
	c.mu.Unlock()
	c.cancel(errSilent)
	if closing {
		c.cc.Close()
	}
}

// close ends all calls and closes the connection.
func (c *connection) close() {
	c.cancel(ErrClosed)
	c.cc.Close()
}

// checkSilence probes the connection if nothing has been read from it for the
// silence timeout, and retires it if the probe fails too.
func (c *connection) checkSilence() {
	silence := time.Since(c.lastHeard())
	if silence < c.pool.config.SilenceTimeout || c.cc.GetState() != connectivity.Ready {
		return
	}
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	_ = c.probe(c.ctx)
}

// probe asks the peer for a sign of life and retires the connection if none
// comes within the silence timeout.
func (c *connection) probe(ctx context.Context) error {
	started := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, c.pool.config.SilenceTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(c.cc).Check(probeCtx, &healthpb.HealthCheckRequest{})
	if err == nil {
		return nil
	}
	silent := probeCtx.Err() != nil && ctx.Err() == nil && c.lastHeard().Before(started)
	if silent && c.cc.GetState() == connectivity.Ready {
		c.pool.silent.Add(1)
		c.retire()
	}
	return err
}

// watchCall probes the connection while a call waits. The returned function
// ends the watch.
func (c *connection) watchCall() func() {
	w := &callWatch{conn: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.pool.config.SilenceTimeout, w.check)
	return w.stop
}

// callWatch repeats the silence check until the call ends.
type callWatch struct {
	conn    *connection
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *callWatch) check() {
	w.conn.checkSilence()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.conn.pool.config.SilenceTimeout)
	}
}

func (w *callWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// trackedConn notes each read that returned data.
type trackedConn struct {
	net.Conn
	owner *connection
}

func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.owner.heard()
	}
	return n, err
}

// explain replaces the error of a call that was ended by the retirement of its
// connection.
func (c *connection) explain(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil || c.ctx.Err() == nil {
		return err
	}
	return status.Error(codes.Unavailable, context.Cause(c.ctx).Error())
}
