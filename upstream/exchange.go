package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
)

// The parts of the remaining time after which a read without an answer moves
// to another connection.
const (
	silentPartReused = 4
	silentPartFresh  = 2
	// latencyFactor keeps a slow upstream from being taken for a silent one.
	latencyFactor = 4
)

// exchange is one attempt with all that belongs to it.
type exchange struct {
	client  *Client
	host    *host
	target  *routing.Upstream
	service *routing.Service
	req     *dispatch.Request
	body    *ReplayBody
	id      string
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	attempt *attempt
	started time.Time

	// timer ends the wait for the answer header of a read.
	timer  *time.Timer
	silent atomic.Bool
}

func (c *Client) newExchange(ctx context.Context, h *host, target *routing.Upstream, service *routing.Service, req *dispatch.Request, body *ReplayBody) *exchange {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	e := &exchange{
		client: c, host: h, target: target, service: service, req: req, body: body,
		id: c.attemptID(req.ID), parent: ctx, started: now,
		attempt: &attempt{deadline: deadline},
	}
	e.ctx, e.cancel = context.WithDeadline(ctx, deadline)
	return e
}

// run makes the attempt. It releases all resources on an error; otherwise the
// body of the answer does so.
func (e *exchange) run() (*dispatch.Answer, error) {
	if !time.Now().Before(e.attempt.deadline) {
		return nil, e.fail(errDeadline)
	}
	ctx := httptrace.WithClientTrace(e.ctx, e.trace())
	resp, err := e.host.transport.RoundTrip(e.request(ctx))
	e.stopTimer()
	if err != nil {
		return nil, e.fail(err)
	}
	e.host.observe(time.Since(e.started))
	if err := e.check(resp); err != nil {
		_ = resp.Body.Close()
		e.end()
		return nil, err
	}
	return e.answer(resp), nil
}

// bound starts the silence timer of a read, once it has a connection.
func (e *exchange) bound(reused bool) {
	if e.req.AtMostOnce() || e.client.options.NoSilenceTimer {
		return
	}
	e.stopTimer()
	e.timer = time.AfterFunc(e.silenceTimeout(reused), e.onSilence)
}

func (e *exchange) silenceTimeout(reused bool) time.Duration {
	remaining := time.Until(e.attempt.deadline)
	if !reused {
		return remaining / silentPartFresh
	}
	usual := latencyFactor * time.Duration(e.host.latency.Load())
	return min(max(e.client.options.SilenceTimeout, usual), remaining/silentPartReused)
}

func (e *exchange) onSilence() {
	e.silent.Store(true)
	e.cancel()
}

func (e *exchange) stopTimer() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

func (e *exchange) end() {
	e.stopTimer()
	e.cancel()
}

func (e *exchange) request(ctx context.Context) *http.Request {
	r := &http.Request{
		Method:        e.req.Method,
		URL:           e.url(),
		Header:        e.header(),
		Host:          e.req.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: 0,
	}
	if e.body != nil {
		r.Body = &attemptBody{ctx: e.ctx, attempt: e.attempt, body: e.body}
		r.ContentLength = e.req.ContentLength
	}
	return r.WithContext(ctx)
}

func (e *exchange) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: e.target.Address, RawQuery: e.req.RawQuery}
	path, err := url.PathUnescape(e.req.Path)
	if err != nil {
		u.Path = e.req.Path
		return u
	}
	u.Path = path
	u.RawPath = e.req.Path
	return u
}

func (e *exchange) header() http.Header {
	h := e.req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHopByHop(h)
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	names := e.client.options.Headers
	h.Set(names.RequestID, e.id)
	if names.ExpectedUpstream != "" {
		h.Set(names.ExpectedUpstream, e.target.Name)
	}
	left := time.Until(e.attempt.deadline)
	h.Set(names.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	return h
}

// check refuses an answer that is not known to belong to this request or that
// cannot be known to be whole.
func (e *exchange) check(resp *http.Response) error {
	options := &e.client.options
	if e.service != nil && e.service.EchoRequestID && resp.Header.Get(options.Headers.RequestID) != e.id {
		return e.wrap(errors.New("request id differs"), errkind.AnswerMismatched, true)
	}
	if options.Headers.NotRun(resp.StatusCode, resp.Header) {
		return e.shed(resp)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return e.wrap(errors.New("protocol switch"), errkind.UpstreamFailed, true)
	}
	if hasNoLength(resp) && !options.UntilClose {
		return e.wrap(errors.New("answer has neither a length nor chunks"), errkind.AnswerTruncated, true)
	}
	return nil
}

// maxDrained is the size in bytes of a refusal that is read to its end, so that
// its connection can be used again.
const maxDrained = 4 << 10

// shed returns the error for an upstream that refused the request unrun.
func (e *exchange) shed(resp *http.Response) error {
	// A failure here only costs the connection.
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrained)
	attempt := &AttemptError{
		Upstream: e.target.Name,
		Reason:   telemetry.RetryUpstreamShed,
		Status:   resp.StatusCode,
		Header:   resp.Header,
		cause:    errShed,
	}
	return errkind.Wrap(attempt, errkind.Overloaded, "upstream "+e.target.Name)
}

func hasNoLength(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
