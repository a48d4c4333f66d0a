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

// errSilent is the cause of the cancellation of calls on a silent connection.
var errSilent = errors.New("the connection to the entry instance is silent")

// connection is one gRPC connection to a peer. A connection that is found to be
// silent is retired: new calls use another one, and it is closed when its last
// call has ended.
type connection struct {
	pool    *Pool
	address string
	cc      *grpc.ClientConn
	// ctx is cancelled when the connection is retired.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastReadNanos is the Unix time, in nanoseconds, when data was last read or
	// the connection was established; 0 if never.
	lastReadNanos atomic.Int64
	// probing is set while probeIfSilent probes.
	probing atomic.Bool

	mu sync.Mutex
	// calls is the number of running calls.
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

// dialTracked opens a network connection that records the time of each read.
func (c *connection) dialTracked(ctx context.Context, _ string) (net.Conn, error) {
	conn, err := c.pool.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.recordRead()
	return &trackedConn{Conn: conn, owner: c}, nil
}

func (c *connection) recordRead() { c.lastReadNanos.Store(time.Now().UnixNano()) }

// lastRead returns the time in lastReadNanos, or the zero time.
func (c *connection) lastRead() time.Time {
	nanos := c.lastReadNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// acquire counts a running call. It returns false if the connection is retired.
func (c *connection) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.calls++
	return true
}

// release ends a counted call and closes a retired connection after its last
// one.
func (c *connection) release() {
	c.mu.Lock()
	c.calls--
	closing := c.retired && c.calls == 0
	c.mu.Unlock()
	if closing {
		c.cc.Close()
	}
}

// retire removes the connection from the pool. Calls end with the code
// Unavailable, except for those marked with KeepOnSilence, which continue.
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

// probeIfSilent probes the connection if nothing has been read from it for
// SilenceTimeout. It does nothing while another such probe runs.
func (c *connection) probeIfSilent() {
	silence := time.Since(c.lastRead())
	if silence < c.pool.config.SilenceTimeout || c.cc.GetState() != connectivity.Ready {
		return
	}
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	defer c.probing.Store(false)
	_ = c.probe(c.ctx)
}

// probe sends a health check and retires the connection if no data comes from
// the peer within SilenceTimeout.
func (c *connection) probe(ctx context.Context) error {
	started := time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, c.pool.config.SilenceTimeout)
	defer cancel()
	_, err := healthpb.NewHealthClient(c.cc).Check(probeCtx, &healthpb.HealthCheckRequest{})
	if err == nil {
		return nil
	}
	silent := probeCtx.Err() != nil && ctx.Err() == nil && c.lastRead().Before(started)
	if silent && c.cc.GetState() == connectivity.Ready {
		c.pool.silent.Add(1)
		c.retire()
	}
	return err
}

// watchCall checks the connection for silence, at intervals of SilenceTimeout, until the
// returned function is called at the end of the call. If nothing was read during the call, one
// check remains: else calls that are shorter than SilenceTimeout would never lead to one.
func (c *connection) watchCall() func() {
	w := &callWatch{conn: c, started: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.pool.config.SilenceTimeout, w.check)
	return w.stop
}

// callWatch repeats the silence check until the call ends.
type callWatch struct {
	conn    *connection
	started time.Time
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (w *callWatch) check() {
	w.conn.probeIfSilent()
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
	if w.conn.lastRead().After(w.started) {
		w.timer.Stop()
	}
}

// trackedConn records the time of each read that returned data.
type trackedConn struct {
	net.Conn
	owner *connection
}

func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		t.owner.recordRead()
	}
	return n, err
}

// translateError returns err, or an error with the code Unavailable if the call
// failed because its connection was retired or closed.
func (c *connection) translateError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil || c.ctx.Err() == nil {
		return err
	}
	return status.Error(codes.Unavailable, context.Cause(c.ctx).Error())
}
