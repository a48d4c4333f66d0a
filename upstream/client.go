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

// HeaderShed is set by an upstream on a 503 response. Its value ShedNotRun
// guarantees that the request was not run.
const (
	HeaderShed = "Ferry-Shed"
	ShedNotRun = "not-run"
)

// HeaderNames holds the names of the header fields exchanged with an upstream,
// and the test for a response to a request that was not run. Zero values select
// the defaults.
type HeaderNames struct {
	// RequestID names the field with the id of the request. Default
	// dispatch.HeaderRequestID.
	RequestID string
	// Deadline names the field with the milliseconds left until the deadline.
	// Default dispatch.HeaderDeadline.
	Deadline string
	// ExpectedUpstream names the field with the name of the upstream that the
	// request is meant for. Empty sends none.
	ExpectedUpstream string
	// NotRun reports whether a response guarantees that the request was not run.
	// Default: status 503 with HeaderShed set to ShedNotRun.
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
	defaultMaxContactAge  = 1 * time.Second
	defaultSilenceTimeout = 1 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// defaultDeadline bounds an attempt whose context has no deadline.
	defaultDeadline = 1 * time.Minute
	// maxConnectionTries bounds the connections that one Send tries in turn when
	// pooled ones turn out unusable before a byte is written.
	maxConnectionTries = 512
)

// Options are the settings of a Client. Zero values stand for the defaults.
type Options struct {
	// DialTimeout bounds the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// KeepAlive is the interval of TCP keep-alive probes. Default 2 s.
	KeepAlive time.Duration
	// UserTimeout is the TCP user timeout: a connection whose sent data stay
	// unacknowledged for that long is closed. Default 3 s.
	UserTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	// Default 60 s.
	IdleTimeout time.Duration
	// MaxContactAge is the longest time since the last contact with the upstream
	// at which a pooled connection still carries at-most-once requests. Default 1 s.
	MaxContactAge time.Duration
	// SilenceTimeout is the minimum time that an idempotent request waits for a
	// response header on a pooled connection before it is abandoned. The wait is
	// capped at a quarter of the time left until the deadline. Default 1 s.
	SilenceTimeout time.Duration
	// MaxHeaderBytes bounds the header of a response. Default 64 KiB.
	MaxHeaderBytes int64
	// Headers holds the names of the header fields.
	Headers HeaderNames
	// KeepRequestID sends the id of the request unchanged. Otherwise each attempt
	// has its own id.
	KeepRequestID bool
	// AcceptCloseDelimited accepts a response with neither a Content-Length nor
	// chunked encoding, which ends when its connection closes. Otherwise such a
	// response is rejected.
	AcceptCloseDelimited bool
	// NoSilenceTimer disables the silence timeout; only keep-alive probes then
	// detect silent connections.
	NoSilenceTimer bool
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.KeepAlive = cmp.Or(o.KeepAlive, defaultKeepAlive)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.MaxContactAge = cmp.Or(o.MaxContactAge, defaultMaxContactAge)
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
	prefix string
	// attempts numbers the attempts for their ids.
	attempts atomic.Uint64
	// open counts the open connections.
	open atomic.Int64

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

// Connections returns the number of open connections to all upstreams.
func (c *Client) Connections() int { return int(c.open.Load()) }

// Send makes one attempt on the upstream and returns the response once its
// header has been received. The body of the response must be closed. Every error
// is an errkind.Error; RetryReason returns whether and why another attempt is
// useful.
//
// Send replaces req.Body with a ReplayBody, so that a later Send of the same
// request can read it again. Cancelling ctx, also after Send has returned,
// cancels the request at the upstream. The Err method of ctx is called before each
// write, so a context whose Err looks for itself whether the request has ended keeps a
// request from being sent before its Done channel is closed.
func (c *Client) Send(ctx context.Context, target *routing.Upstream, service *routing.Service, req *dispatch.Request) (*dispatch.Response, error) {
	body, err := prepareBody(req)
	if err != nil {
		return nil, err
	}
	h := c.host(target)
	for tries := 1; ; tries++ {
		e := c.newExchange(ctx, h, target, service, req, body)
		response, err := e.run()
		if err == nil || tries == maxConnectionTries || !e.canRetryOnAnotherConn(err) {
			return response, err
		}
	}
}

// Retain closes the idle connections to all upstreams that are not listed and
// forgets those upstreams.
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

// Drop closes the idle connections to the upstreams with the names and removes those
// upstreams.
func (c *Client) Drop(names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if h := c.hosts[name]; h != nil {
			h.transport.CloseIdleConnections()
			delete(c.hosts, name)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Retain(nil) }

// host returns the connections to the upstream, and replaces them when its
// address or connection limit has changed.
func (c *Client) host(target *routing.Upstream) *host {
	c.mu.RLock()
	h := c.hosts[target.Name]
	c.mu.RUnlock()
	if h != nil && h.address == target.Address && h.connections == target.ConnectionLimit() {
		return h
	}
	return c.replaceHost(target)
}

func (c *Client) replaceHost(target *routing.Upstream) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.hosts[target.Name]
	if old != nil && old.address == target.Address && old.connections == target.ConnectionLimit() {
		return old
	}
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	h := newHost(target, &c.options, c.start, &c.open)
	c.hosts[target.Name] = h
	return h
}

func (c *Client) attemptID(requestID string) string {
	if c.options.KeepRequestID {
		return requestID
	}
	return requestID + "-" + c.prefix + "-" + strconv.FormatUint(c.attempts.Add(1), 36)
}

// prepareBody returns the replayable body of the request, or nil when it has
// none.
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

// trace returns hooks that bind the attempt to the connection that net/http
// selects for it.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			usable := !info.Reused || e.host.usable(c, e.req.AtMostOnce(), e.client.options.MaxContactAge, time.Now())
			e.attempt.bind(c, info.Reused, usable)
			e.startSilenceTimer(info.Reused)
		},
	}
}
