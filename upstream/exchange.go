package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
)

// An idempotent request on a pooled connection is abandoned at the latest after
// 1/silenceDivisorReused of the time left until its deadline, one on a new
// connection after 1/silenceDivisorNew.
const (
	silenceDivisorReused = 4
	silenceDivisorNew    = 2
	// latencyFactor is the multiple of the average latency that a response may
	// take, so that a slow upstream is not mistaken for a silent one.
	latencyFactor = 4
)

// exchange holds the state of one attempt, from connecting to closing the
// response.
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

	// timer is the silence timer of an idempotent request; nil when not started.
	timer *time.Timer
	// silent is set when timer has expired.
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
		attempt: newAttempt(ctx, deadline),
	}
	e.ctx, e.cancel = context.WithDeadline(ctx, deadline)
	return e
}

// run makes the attempt. It releases all resources on an error; otherwise
// closing the response body does.
func (e *exchange) run() (*dispatch.Response, error) {
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
	if err := e.checkResponse(resp); err != nil {
		_ = resp.Body.Close()
		if !errors.Is(err, errShed) || !e.echoesID() {
			e.attempt.closeConn()
		}
		e.release()
		return nil, err
	}
	e.attempt.markChecked()
	return e.newResponse(resp), nil
}

// echoesID reports whether the id in a response tells which request it belongs to.
func (e *exchange) echoesID() bool { return e.service != nil && e.service.EchoRequestID }

// startSilenceTimer starts the silence timer of an idempotent request once it
// has a connection.
func (e *exchange) startSilenceTimer(reused bool) {
	if e.req.AtMostOnce() || e.client.options.NoSilenceTimer {
		return
	}
	e.stopTimer()
	e.timer = time.AfterFunc(e.silenceTimeout(reused), e.onSilence)
}

// silenceTimeout returns the time to wait for the response header.
func (e *exchange) silenceTimeout(reused bool) time.Duration {
	remaining := time.Until(e.attempt.deadline)
	if !reused {
		return remaining / silenceDivisorNew
	}
	latencyAllowance := latencyFactor * time.Duration(e.host.latency.Load())
	return min(max(e.client.options.SilenceTimeout, latencyAllowance), remaining/silenceDivisorReused)
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

func (e *exchange) release() {
	e.stopTimer()
	e.cancel()
}

// request returns the HTTP request to send.
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
	if u.EscapedPath() != e.req.Path && !strings.HasPrefix(e.req.Path, "//") {
		// The path has bytes that net/url would escape; it is sent as it was received.
		u.Opaque = e.req.Path
	}
	return u
}

// header returns the request header without hop-by-hop fields and Expect, with
// the fields that the upstream needs.
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
	remaining := time.Until(e.attempt.deadline)
	h.Set(names.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	return h
}

// checkResponse returns an error for a response that does not provably belong to
// this request, reports that the request was not run, or has no verifiable end.
func (e *exchange) checkResponse(resp *http.Response) error {
	options := &e.client.options
	if e.echoesID() && resp.Header.Get(options.Headers.RequestID) != e.id {
		return e.wrap(errors.New("response does not echo the request id"), errkind.AnswerMismatched, true)
	}
	if !dispatch.IsFinalStatus(resp.StatusCode) {
		return e.wrap(errors.Newf("status %d is no final status", resp.StatusCode), errkind.UpstreamFailed, true)
	}
	if options.Headers.NotRun(resp.StatusCode, resp.Header) {
		if !e.echoesID() && !e.attempt.ownsRefusal() {
			return e.wrap(errors.New("the refusal may be that of the request before"), errkind.AnswerMismatched, true)
		}
		return e.shedError(resp)
	}
	if isCloseDelimited(resp) && !options.AcceptCloseDelimited {
		return e.wrap(errors.New("response has neither a Content-Length nor chunked encoding"), errkind.AnswerTruncated, true)
	}
	return nil
}

// The body of a shed response is read to its end, so that its connection can be
// reused, if it has at most maxShedBodyBytes and arrives within shedBodyTimeout.
const (
	maxShedBodyBytes = 4 << 10
	shedBodyTimeout  = 20 * time.Millisecond
)

// shedError returns the error for an upstream that shed the request without
// running it.
func (e *exchange) shedError(resp *http.Response) error {
	// If this fails, the connection is closed instead of reused.
	defer time.AfterFunc(shedBodyTimeout, e.cancel).Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxShedBodyBytes)
	attempt := &AttemptError{
		Upstream: e.target.Name,
		Reason:   telemetry.RetryUpstreamShed,
		Status:   resp.StatusCode,
		Header:   resp.Header,
		cause:    errShed,
	}
	return errkind.Wrap(attempt, errkind.Overloaded, "upstream "+e.target.Name)
}

// isCloseDelimited reports whether only the end of the connection ends the body.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
