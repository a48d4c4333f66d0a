package entryinstance

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/rpc/entrypb"
)

// ErrClosed means that the pool or the connection has been closed.
var ErrClosed = errors.New("connection closed")

// Dialer opens a connection to an IP address and port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool holds one connection for each peer address. It is safe for concurrent
// use.
type Pool struct {
	config Config
	creds  credentials.TransportCredentials
	dial   Dialer
	// silent counts the connections that were found silent.
	silent atomic.Uint64
	// ctx is cancelled when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.RWMutex
	closed bool
	conns  map[string]*connection
}

// NewPool returns an empty pool. It returns an error if the TLS certificates and
// keys are not valid.
func NewPool(config Config) (*Pool, error) {
	return NewPoolWithDialer(config, dialTCP)
}

// NewPoolWithDialer returns an empty pool that opens connections with dial. It
// returns an error if the TLS certificates and keys are not valid.
func NewPoolWithDialer(config Config, dial Dialer) (*Pool, error) {
	config = config.withDefaults()
	creds, err := config.clientCredentials()
	if err != nil {
		return nil, err
	}
	p := &Pool{config: config, creds: creds, dial: dial, conns: map[string]*connection{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Client returns a client for the peer at the IP address and port, and an error
// for any other form of address. It does not connect: each call uses the pool's
// connection to the peer at the time of the call, and fails if the peer is
// unreachable. The client can be reused for any number of calls.
func (p *Pool) Client(rpcAddress string) (entrypb.EntryClient, error) {
	if _, err := netip.ParseAddrPort(rpcAddress); err != nil {
		return nil, errors.Newf("%q is not an IP address and port", rpcAddress)
	}
	return entrypb.NewEntryClient(&peerConn{pool: p, address: rpcAddress}), nil
}

// UsageClient is like Client, for the usage protocol.
func (p *Pool) UsageClient(rpcAddress string) (entrypb.UsageClient, error) {
	if _, err := netip.ParseAddrPort(rpcAddress); err != nil {
		return nil, errors.Newf("%q is not an IP address and port", rpcAddress)
	}
	return entrypb.NewUsageClient(&peerConn{pool: p, address: rpcAddress}), nil
}

// Confirm returns nil if data came from the address within the last maxAge, or
// if the peer responds to a probe now. It is to be called before a call that must
// not be sent on a silent connection; nothing of that call has been sent when
// Confirm fails.
func (p *Pool) Confirm(ctx context.Context, rpcAddress string, maxAge time.Duration) error {
	c, err := p.acquire(rpcAddress)
	if err != nil {
		return err
	}
	defer c.release()
	if lastRead := c.lastRead(); !lastRead.IsZero() && time.Since(lastRead) < maxAge {
		return nil
	}
	defer c.watchCall()()
	return c.probe(ctx)
}

// LastRead returns when data was last read from the current connection to the
// address, or when that was established; the zero time if there is none.
func (p *Pool) LastRead(rpcAddress string) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if c := p.conns[rpcAddress]; c != nil {
		return c.lastRead()
	}
	return time.Time{}
}

// SilentConnections returns how many connections were found silent.
func (p *Pool) SilentConnections() uint64 { return p.silent.Load() }

// Forget closes the connection to the address, if there is one, and ends its
// calls.
func (p *Pool) Forget(rpcAddress string) {
	p.mu.Lock()
	c := p.conns[rpcAddress]
	delete(p.conns, rpcAddress)
	p.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Close closes all connections and ends their calls. Later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.conns = map[string]*connection{}
	p.cancel()
}

// acquire returns the current connection to the address and counts a running call
// on it. The caller must release the connection after the call.
func (p *Pool) acquire(address string) (*connection, error) {
	for {
		c, err := p.current(address)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		if c.acquire() {
			return c, nil
		}
		p.remove(c)
	}
}

// current returns the connection to the address and creates it if needed.
func (p *Pool) current(address string) (*connection, error) {
	p.mu.RLock()
	c, closed := p.conns[address], p.closed
	p.mu.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if c != nil {
		return c, nil
	}
	return p.open(address)
}

func (p *Pool) open(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := newConnection(p, address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = c
	return c, nil
}

// remove takes the connection out of the pool without closing it.
func (p *Pool) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
}

func (p *Pool) dialOptions(c *connection) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(c.dialTracked),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithIdleTimeout(p.config.IdleTimeout),
		grpc.WithInitialWindowSize(StreamWindowBytes),
		grpc.WithInitialConnWindowSize(ConnectionWindowBytes),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  backoffBase,
				Multiplier: backoffFactor,
				Jitter:     backoffJitter,
				MaxDelay:   backoffMax,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    p.config.KeepaliveTime,
			Timeout: p.config.KeepaliveTimeout,
		}),
	}
}
