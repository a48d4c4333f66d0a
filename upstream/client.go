package upstream

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// HeaderShed is set by an upstream on a 503 answer. Its value ShedNotRun
// promises that the request was not run.
const (
	HeaderShed = "Ferry-Shed"
	ShedNotRun = "not-run"
)

// HeaderNames are the names of the header fields between the system and an
// upstream. Empty names stand for those of the product.
type HeaderNames struct {
	// RequestID carries the id of the request. Default dispatch.HeaderRequestID.
	RequestID string
	// Deadline carries the milliseconds that are left. Default dispatch.HeaderDeadline.
	Deadline string
	// ExpectedUpstream carries the name of the upstream that the request is meant
	// for. Empty sends none.
	ExpectedUpstream string
	// NotRun says whether an answer promises that the request was not run.
	// Default: status 503 with HeaderShed.
	NotRun func(status int, header http.Header) bool
}

func (n HeaderNames) withDefaults() HeaderNames {
	n.RequestID = cmp.Or(n.RequestID, dispatch.HeaderRequestID)
	n.Deadline = cmp.Or(n.Deadline, dispatch.HeaderDeadline)
	if n.NotRun == nil {
		n.NotRun = isShed
	}
	return n
}

func isShed(status int, header http.Header) bool {
	return status == http.StatusServiceUnavailable && header.Get(HeaderShed) == ShedNotRun
}

// Defaults of Options.
const (
	defaultDialTimeout    = 1 * time.Second
	defaultKeepAlive      = 2 * time.Second
	defaultUserTimeout    = 3 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultTrustedFor     = 1 * time.Second
	defaultSilenceTimeout = 1 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// defaultDeadline bounds an attempt whose context has no deadline.
	defaultDeadline = 1 * time.Minute
	// maxConnectionTries bounds the pooled connections that one attempt refuses.
	maxConnectionTries = 512
)

// Options are the settings of a Client. Zero values stand for the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection. Default 1 s.
	DialTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes. Default 2 s.
	KeepAlive time.Duration
	// UserTimeout closes a connection whose sent data are not acknowledged.
	// Default 3 s.
	UserTimeout time.Duration
	// IdleTimeout closes unused connections. Default 60 s.
	IdleTimeout time.Duration
	// TrustedFor is the time since the upstream was last heard during which a
	// pooled connection carries at-most-once requests. Default 1 s.
	TrustedFor time.Duration
	// SilenceTimeout is the least time that a read waits for an answer on a
	// pooled connection. Default 1 s.
	SilenceTimeout time.Duration
	// MaxHeaderBytes bounds the header of an answer. Default 64 KiB.
	MaxHeaderBytes int64
	// Headers are the names of the header fields.
	Headers HeaderNames
	// KeepRequestID sends the id of the request as it is. Otherwise each attempt
	// has an id of its own.
	KeepRequestID bool
	// UntilClose takes an answer with neither a length nor chunks, which ends
	// with its connection. Otherwise such an answer is refused.
	UntilClose bool
	// NoSilenceTimer leaves it to keep-alive probes to find silent connections.
	NoSilenceTimer bool
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.KeepAlive = cmp.Or(o.KeepAlive, defaultKeepAlive)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.TrustedFor = cmp.Or(o.TrustedFor, defaultTrustedFor)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, defaultSilenceTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, defaultMaxHeaderBytes)
	o.Headers = o.Headers.withDefaults()
	return o
}

// Client makes attempts on upstreams. It is safe for concurrent use.
type Client struct {
	options Options
	start   time.Time
	// prefix makes attempt ids differ between processes.
	prefix   string
	attempts atomic.Uint64

	mu    sync.RWMutex
	hosts map[string]*host
}

// New returns a client without connections.
func New(options Options) *Client {
	return &Client{
		options: options.withDefaults(),
		start:   time.Now(),
		prefix:  fmt.Sprintf("%08x", rand.Uint32()),
		hosts:   map[string]*host{},
	}
}

// Send makes one attempt on the upstream and returns its answer once the
// header has come. The answer body must be closed. Every error is an
// errkind.Error; RetryReason tells whether and why another attempt is useful.
//
// Send replaces req.Body by a ReplayBody, so that a later Send of the same
// request can read it again. Cancelling ctx, also after Send has returned,
// cancels the request at the upstream.
func (c *Client) Send(ctx context.Context, target *routing.Upstream, service *routing.Service, req *dispatch.Request) (*dispatch.Answer, error) {
	body, err := prepareBody(req)
	if err != nil {
		return nil, err
	}
	h := c.host(target)
	for tries := 1; ; tries++ {
		e := c.newExchange(ctx, h, target, service, req, body)
		answer, err := e.run()
		if err == nil || tries == maxConnectionTries || !e.mayTryAnother(err) {
			return answer, err
		}
	}
}

// Retain closes the connections of all upstreams that are not listed.
func (c *Client) Retain(upstreams []*routing.Upstream) {
	keep := map[string]bool{}
	for _, u := range upstreams {
		keep[u.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, h := range c.hosts {
		if keep[name] {
			continue
		}
		h.transport.CloseIdleConnections()
		delete(c.hosts, name)
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Retain(nil) }

func (c *Client) host(target *routing.Upstream) *host {
	c.mu.RLock()
	h := c.hosts[target.Name]
	c.mu.RUnlock()
	if h != nil && h.address == target.Address && h.connections == target.Connections {
		return h
	}
	return c.replaceHost(target)
}

func (c *Client) replaceHost(target *routing.Upstream) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.hosts[target.Name]
	if old != nil && old.address == target.Address && old.connections == target.Connections {
		return old
	}
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	h := newHost(target, &c.options, c.start)
	c.hosts[target.Name] = h
	return h
}

func (c *Client) attemptID(requestID string) string {
	if c.options.KeepRequestID {
		return requestID
	}
	return requestID + "-" + c.prefix + "-" + strconv.FormatUint(c.attempts.Add(1), 36)
}

func prepareBody(req *dispatch.Request) (*ReplayBody, error) {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return nil, nil
	}
	body, ok := req.Body.(*ReplayBody)
	if !ok {
		body = NewReplayBody(req.Body)
		req.Body = body
	}
	if !body.Replayable() {
		return nil, errkind.New(errkind.UpstreamFailed, "the request body cannot be sent again")
	}
	return body, nil
}

// trace binds the attempt to the connection that net/http picks for it.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			usable := !info.Reused || e.host.usable(c, e.req.AtMostOnce(), e.client.options.TrustedFor, time.Now())
			e.attempt.bind(c, info.Reused, usable)
			e.bound(info.Reused)
		},
	}
}
