package entryinstance

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

// silentConn is a connection that, once it is silent, accepts writes without sending them and
// returns no data.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// bubblePeer is a server in a synctest bubble and a pool that is connected to it.
type bubblePeer struct {
	pool   *Pool
	client entrypb.EntryClient
	silent *atomic.Bool
	dials  int
}

const peerAddress = "127.0.0.1:1"

// withPeer runs the test in a synctest bubble.
func withPeer(t *testing.T, test func(t *testing.T, p *bubblePeer)) {
	synctest.Test(t, func(t *testing.T) {
		listener := bufconn.Listen(1 << 16)
		server, err := NewServer(Config{}, &fakeEntry{release: make(chan struct{})})
		assert.NilError(t, err)
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		p := &bubblePeer{}
		p.pool, err = NewPoolWithDialer(Config{}, func(ctx context.Context, _ string) (net.Conn, error) {
			inner, err := listener.DialContext(ctx)
			p.dials++
			p.silent = &atomic.Bool{}
			return &silentConn{Conn: inner, silent: p.silent, closed: make(chan struct{})}, err
		})
		assert.NilError(t, err)
		defer p.pool.Close()
		p.client, err = p.pool.Client(peerAddress)
		assert.NilError(t, err)
		assert.NilError(t, p.heartbeat(time.Second))
		time.Sleep(time.Second)
		test(t, p)
	})
}

func (p *bubblePeer) heartbeat(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := p.client.Heartbeat(ctx, &entrypb.State{})
	return err
}

// shortTimeouts are timeouts of calls around SilenceTimeout.
var shortTimeouts = []time.Duration{
	defaultSilenceTimeout / 50, defaultSilenceTimeout * 2 / 3, defaultSilenceTimeout, defaultSilenceTimeout * 3 / 2, 3 * defaultSilenceTimeout,
}

// TestShortCallsFindASilentConnection guards against a connection that stays silent for ever,
// since each call ends before SilenceTimeout has passed and takes the check of silence with it.
func TestShortCallsFindASilentConnection(t *testing.T) {
	for _, timeout := range shortTimeouts {
		t.Run(timeout.String(), func(t *testing.T) {
			withPeer(t, func(t *testing.T, p *bubblePeer) {
				p.silent.Store(true)
				silentSince := time.Now()
				for p.heartbeat(timeout) != nil && time.Since(silentSince) < 10*defaultSilenceTimeout {
				}
				assert.Assert(t, time.Since(silentSince) <= 2*defaultSilenceTimeout+timeout, "%v until a call succeeded", time.Since(silentSince))
				assert.Equal(t, p.pool.SilentConnections(), uint64(1))
				assert.Equal(t, p.dials, 2)
			})
		})
	}
}

// TestCheckOfSilenceOutlivesTheCall guards against a check that needs a call that waits: here
// there is only one, or a Confirm, and the next call comes later.
func TestCheckOfSilenceOutlivesTheCall(t *testing.T) {
	for name, call := range map[string]func(p *bubblePeer) error{
		"call": func(p *bubblePeer) error { return p.heartbeat(defaultSilenceTimeout / 2) },
		"confirm": func(p *bubblePeer) error {
			ctx, cancel := context.WithTimeout(context.Background(), defaultSilenceTimeout/2)
			defer cancel()
			return p.pool.Confirm(ctx, peerAddress, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withPeer(t, func(t *testing.T, p *bubblePeer) {
				p.silent.Store(true)
				assert.ErrorContains(t, call(p), "DeadlineExceeded")
				time.Sleep(2 * defaultSilenceTimeout)
				assert.Equal(t, p.pool.SilentConnections(), uint64(1))
				assert.NilError(t, p.heartbeat(defaultSilenceTimeout/2))
				assert.Equal(t, p.dials, 2)
			})
		})
	}
}

// TestShortCallsWithoutAResponseAreNotSilence guards against the loss of a sound connection
// because a handler takes longer than its calls wait.
func TestShortCallsWithoutAResponseAreNotSilence(t *testing.T) {
	for _, timeout := range shortTimeouts {
		t.Run(timeout.String(), func(t *testing.T) {
			withPeer(t, func(t *testing.T, p *bubblePeer) {
				for range 10 {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					_, err := p.client.Claim(ctx, &entrypb.ClaimRequest{})
					cancel()
					assert.ErrorContains(t, err, "DeadlineExceeded")
				}
				time.Sleep(3 * defaultSilenceTimeout)
				assert.Equal(t, p.pool.SilentConnections(), uint64(0))
				assert.Equal(t, p.dials, 1)
			})
		})
	}
}
