package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"samphireferry.example/ferry/routing"
)

// idleConnsPerSlot is the number of idle connections kept per slot of an upstream.
const idleConnsPerSlot = 2

// host holds the connections to one address of an upstream.
type host struct {
	address string
	// connections bounds the open connections.
	connections int
	transport   *http.Transport
	// latency is a moving average of the time to the response header, in
	// nanoseconds.
	latency atomic.Int64
	// staleBefore is the earliest last contact at which a connection may be used,
	// in nanoseconds since start.
	staleBefore atomic.Int64
	// start is the time at which the client was created.
	start time.Time
}

// newHost returns the host of an upstream. It counts its open connections in open.
func newHost(target *routing.Upstream, options *Options, start time.Time, open *atomic.Int64) *host {
	h := &host{address: target.Address, connections: target.ConnectionLimit(), start: start}
	dialer := &net.Dialer{
		Timeout:         options.DialTimeout,
		KeepAliveConfig: keepAlive(options.KeepAlive),
		Control:         userTimeout(options.UserTimeout),
	}
	h.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := newConn(inner, time.Now())
			open.Add(1)
			c.onClose = func() { open.Add(-1) }
			return c, nil
		},
		MaxConnsPerHost:        target.ConnectionLimit(),
		MaxIdleConnsPerHost:    min(target.ConnectionLimit(), idleConnsPerSlot*max(target.Slots, 1)),
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: options.MaxHeaderBytes,
		DisableCompression:     true,
	}
	return h
}

func keepAlive(interval time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 3}
}

// userTimeout returns a dial hook that sets TCP_USER_TIMEOUT, the time after
// which the kernel closes a connection whose sent data stay unacknowledged.
func userTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// usable reports whether a pooled connection may carry the request.
func (h *host) usable(c *conn, atMostOnce bool, maxContactAge time.Duration, now time.Time) bool {
	if c.lastContact().Sub(h.start) < time.Duration(h.staleBefore.Load()) {
		return false
	}
	return (!atMostOnce || now.Sub(c.lastContact()) <= maxContactAge) && c.awaitIdle() && c.receivedNothing()
}

// markStaleBefore makes every connection whose last contact is older than the
// given time unusable.
func (h *host) markStaleBefore(before time.Time) {
	h.staleBefore.Store(max(h.staleBefore.Load(), int64(before.Sub(h.start))))
}

// observe adds the time to a response header to the moving average.
func (h *host) observe(latency time.Duration) {
	old := h.latency.Load()
	h.latency.Store(old + (int64(latency)-old)/8)
}
