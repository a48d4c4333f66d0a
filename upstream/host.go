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

// idleConnsPerSlot is the number of idle connections kept for each slot.
const idleConnsPerSlot = 2

// host holds the connections to one address of an upstream.
type host struct {
	address     string
	connections int
	transport   *http.Transport
	// latency is a moving average of the time to the answer header, in
	// nanoseconds.
	latency atomic.Int64
	// distrusted is the time since which a connection must have been heard to
	// be used, in nanoseconds since the start of the client.
	distrusted atomic.Int64
	start      time.Time
}

func newHost(target *routing.Upstream, o *Options, start time.Time) *host {
	h := &host{address: target.Address, connections: target.Connections, start: start}
	dialer := &net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: keepAlive(o.KeepAlive),
		Control:         userTimeout(o.UserTimeout),
	}
	h.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(inner, time.Now()), nil
		},
		MaxConnsPerHost:        target.Connections,
		MaxIdleConnsPerHost:    min(target.Connections, idleConnsPerSlot*max(target.Slots, 1)),
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
		DisableCompression:     true,
	}
	return h
}

func keepAlive(interval time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 3}
}

// userTimeout sets the time after which the kernel closes a connection whose
// sent data stay without acknowledgement.
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

// usable says whether a pooled connection may carry the request.
func (h *host) usable(c *conn, atMostOnce bool, trustedFor time.Duration, now time.Time) bool {
	if c.lastHeard().Sub(h.start) < time.Duration(h.distrusted.Load()) {
		return false
	}
	return !atMostOnce || now.Sub(c.lastHeard()) <= trustedFor
}

// distrust stops the use of every connection that was last heard before the time.
func (h *host) distrust(before time.Time) {
	h.distrusted.Store(max(h.distrusted.Load(), int64(before.Sub(h.start))))
}

// observe records the time that an answer header took.
func (h *host) observe(latency time.Duration) {
	old := h.latency.Load()
	h.latency.Store(old + (int64(latency)-old)/8)
}
