package relay

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/routing"
)

// silentConn is a connection that, once it is silent, accepts writes without
// sending them and returns no data.
type silentConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestSilentConnection makes the connection to the owner silent. A new
// at-most-once request is not sent on it, an idempotent request that waits on it
// fails long before its deadline, and an at-most-once request that waits on it
// keeps waiting.
func TestSilentConnection(t *testing.T) {
	table := testTable(t)
	reached := make(chan struct{}, 1)
	handler := func(ctx context.Context, _ *dispatch.Request, _ string) (*dispatch.Response, error) {
		reached <- struct{}{}
		<-ctx.Done()
		return nil, errkind.New(errkind.UpstreamTimeout, "")
	}
	tests := []struct {
		name, route string
		timeout     time.Duration
		// waiting is set if the connection becomes silent while the request waits.
		waiting bool
		want    errkind.Kind
	}{
		{"idempotent request waits", "read", time.Minute, true, errkind.UpstreamFailed},
		{"at-most-once request waits", "file", 3 * time.Second, true, errkind.UpstreamTimeout},
		{"at-most-once request comes later", "file", time.Minute, false, errkind.NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, address, _ := startOwner(t, NewServer(func() *routing.Table { return table }, handler).Serve)
			silent := make(chan struct{})
			pool, err := entryinstance.NewPoolWithDialer(entryinstance.Config{}, func(context.Context, string) (net.Conn, error) {
				conn, err := net.Dial("tcp", address)
				return &silentConn{Conn: conn, silent: silent, closed: make(chan struct{})}, err
			})
			assert.NilError(t, err)
			defer pool.Close()
			client := NewClient("sender", pool, &invariant.Checker{})
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			if test.waiting {
				go func() {
					<-reached
					close(silent)
				}()
			} else {
				assert.NilError(t, pool.Confirm(ctx, address, 0))
				time.Sleep(maxContactAge)
				close(silent)
			}
			_, err = client.Send(ctx, address, testRequest(table, test.route, nil), "v1")
			assert.Equal(t, errkind.Of(err), test.want, "%v", err)
			assert.Equal(t, pool.SilentConnections(), uint64(1))
			assert.Assert(t, ctx.Err() == nil || test.want == errkind.UpstreamTimeout)
		})
	}
}
