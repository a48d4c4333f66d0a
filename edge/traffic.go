package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/upstream"
)

const (
	// maxBufferedBody is the largest request body in bytes that is read whole before it is
	// sent, so that a slow caller occupies no upstream.
	maxBufferedBody = 256 << 10
	// streamedBodyBytes is the memory of a body that is sent while it is read: what is kept of it to be sent
	// again, and the buffers of its way.
	streamedBodyBytes = 128 << 10
)

// traffic is the HTTP handler for requests of callers.
type traffic struct {
	deps *dependencies
}

// ServeHTTP implements http.Handler.
func (t *traffic) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{deps: t.deps, w: w, r: r, conn: callerConnOf(r), started: time.Now(), view: t.deps.views.load()}
	release, err := x.acceptHead()
	defer release()
	x.body = newCallerBody(w, r, x.setWaiting)
	if t.deps.stopping.begun() {
		w.Header().Set("Connection", "close")
	}
	if err == nil {
		err = x.serve()
	}
	if err != nil {
		x.refuse(err)
	}
	x.finish()
	// The server still has to send what is left in its buffers.
	x.boundWrite()
}

// exchange is the processing of one request of a caller.
type exchange struct {
	deps     *dependencies
	w        http.ResponseWriter
	r        *http.Request
	conn     *callerConn
	head     requesthead.Head
	started  time.Time
	view     *view
	caller   headers.Caller
	route    *routing.Route
	service  *routing.Service
	customer *routing.Customer
	request  *dispatch.Request
	// atMostOnce is set once a route that matched the request is at-most-once.
	atMostOnce bool
	// prefersNew is set when the request is chosen for the new version of a roll-out.
	prefersNew bool
	// canary is the choice that a roll-out in the canary phase has made and counted.
	canary *canaryChoice
	// triedCanary is set once the request was sent to a new version in the canary phase.
	triedCanary bool
	// deadline is the earlier of the caller's deadline and the timeout of the route that
	// matched on arrival.
	deadline time.Time
	// held is the memory of the head and body of the request and of the body of its response.
	held *buffers.Holder
	// body is the only reader of the request body.
	body *callerBody
	// streamsBody is set when the request body is sent while it is read.
	streamsBody bool
	// responseStarted is set just before the header of the response is written.
	responseStarted bool
	// writeBy bounds all writes of the response; zero where each write has its own bound.
	writeBy time.Time
	// lengthKnown is set when the response has a length or no body, so that all of it has been
	// sent once it is flushed.
	lengthKnown bool
	// tried names the upstreams that the request was sent to.
	tried []string
	// ran counts the attempts that may have run the request.
	ran int
	// readAfterClose is set when the caller had closed its connection before its request was
	// read.
	readAfterClose bool
}

func (x *exchange) serve() error {
	err := x.match()
	if err != nil {
		return err
	}
	err = x.authenticate()
	if err != nil {
		return err
	}
	x.chooseService()
	x.setDeadline()
	ctx, release := newLifetime(x.r, x.conn, x.deadline, x.deps.stopping)
	defer release()
	err = x.serveWithin(ctx)
	x.observeGone(ctx, err)
	return err
}

// serveWithin serves the request until its lifetime ends.
func (x *exchange) serveWithin(ctx *lifetime) error {
	err := ctx.mayBegin()
	if err != nil {
		x.readAfterClose = errkind.Of(err) == errkind.CallerGone
		return err
	}
	err = x.limitByPriority()
	if err != nil {
		return err
	}
	err = x.prepare()
	if err != nil {
		return err
	}
	err = x.admit(ctx)
	if err != nil {
		return err
	}
	x.chooseVersion()
	defer x.returnUnsent()
	err = x.resolve()
	if err != nil {
		return err
	}
	return x.sendWithRetries(ctx)
}

// admit charges the request to the customer's rate. When this instance has no token
// left, it waits up to maxLoanWait for a loan from another instance, unless the customer is known
// to be over its rate in the whole fleet.
func (x *exchange) admit(ctx context.Context) error {
	if x.customer == nil || x.customer.Rate <= 0 {
		return nil
	}
	bucket := x.deps.limiter.Bucket(x.customer.Name)
	if bucket == nil {
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	decision := x.deps.limiter.AdmitWait(ctx, bucket)
	if decision.OverRate {
		x.deps.metrics.Counter("ferry_rate_refusals_at_once_total", "service", x.service.Name).Inc()
	}
	if !decision.Admitted && decision.RetryAfter > 0 {
		// A return before the time that the gate expects would count as early.
		decision.RetryAfter = max(decision.RetryAfter, x.deps.gate.RetryAfter(x.overloadRequest(x.service)))
	}
	return decision.Err()
}

// prepare builds the request to upstreams. Bodies of known or unknown length up to
// maxBufferedBody bytes are read whole.
func (x *exchange) prepare() error {
	headers.PrepareForwarded(x.r.Header, x.customerName())
	x.request = &dispatch.Request{
		ID:            x.caller.AttemptID,
		Route:         x.route,
		Customer:      x.customer,
		Method:        x.r.Method,
		Path:          x.head.Path,
		RawQuery:      x.head.Query,
		Host:          x.r.Host,
		Header:        x.r.Header,
		ContentLength: x.r.ContentLength,
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	if x.r.ContentLength > maxBufferedBody {
		return x.streamBody(x.body)
	}
	x.setReadDeadline(x.deadline)
	interrupt := func() { x.setReadDeadline(time.Unix(0, 0)) }
	body, err := readHeld(x.body, x.r.ContentLength, maxBufferedBody+1, x.held, interrupt, neverStop)
	switch {
	case errors.Is(err, errNoMemory):
		return x.refuseBody()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.DeadlineExceeded, "the request body did not arrive")
	case err != nil:
		return errkind.Wrap(err, errkind.BodyIncomplete, "")
	}
	if len(body) > maxBufferedBody {
		x.setReadDeadline(time.Time{})
		return x.streamBody(io.MultiReader(bytes.NewReader(body), x.body))
	}
	x.request.Body = upstream.NewWholeBody(body)
	x.request.ContentLength = int64(len(body))
	return nil
}

// streamBody sets up a body that is sent while it is read. The holder may be ended until the request is.
func (x *exchange) streamBody(body io.Reader) error {
	x.streamsBody = true
	x.request.Body = body
	x.held.Interrupt(func() { x.setReadDeadline(time.Unix(0, 0)) })
	if !x.held.Grow(streamedBodyBytes) {
		return x.refuseBody()
	}
	return nil
}

// refuseBody returns the refusal of a request whose body does not fit into the memory.
func (x *exchange) refuseBody() error {
	x.deps.metrics.Counter("ferry_bodies_ended_total", "body", "request").Inc()
	// The rest of the body is not waited for.
	x.w.Header().Set("Connection", "close")
	refusal := errkind.Wrap(errNoMemory, errkind.Overloaded, "")
	refusal.RetryAfter = refusalRetryAfter
	return refusal
}

// objectHash returns the hash by which the upstream is chosen: of the object key, or of
// the attempt id when there is no object key.
func (x *exchange) objectHash() uint64 {
	if x.caller.ObjectKey == "" {
		return xxhash.Sum64String(x.caller.AttemptID)
	}
	return xxhash.Sum64String(x.caller.ObjectKey)
}

// configVersion returns the version of the configuration, or 0 when there is none yet.
func (x *exchange) configVersion() uint64 {
	if x.view.table == nil {
		return 0
	}
	return x.view.table.Version
}

// customerName returns the name of the customer, or an empty string when there is none,
// as on open routes.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

func (x *exchange) allowsRegion(region string) bool {
	return x.route.AllowsRegion(x.customer, region)
}

// refuse sends the error to the caller, or aborts a response that has started.
func (x *exchange) refuse(err error) {
	kind := errkind.Of(err)
	x.logRefusal(kind, err)
	if x.responseStarted {
		x.abort()
	}
	if x.deps.callerConns.NearLimit() {
		x.w.Header().Set("Connection", "close")
	}
	x.beginResponse()
	x.lengthKnown = true
	writeRefusal(x.w, err)
}

func (x *exchange) logRefusal(kind errkind.Kind, err error) {
	service, customer := "", x.customerName()
	if x.service != nil {
		service = x.service.Name
	}
	x.deps.metrics.CountRefusal(kind, service, customer)
	if x.service != nil {
		x.observeLatency("refused")
	}
	x.deps.log.Info("request refused",
		zap.String("request_id", x.caller.AttemptID),
		zap.String("kind", kind.String()),
		zap.String("service", service),
		zap.String("customer", customer),
		zap.String("object", x.caller.ObjectKey),
		zap.Uint64("config_version", x.configVersion()),
		zap.Strings("tried", x.tried),
		zap.Int("ran", x.ran),
		zap.Duration("caller_deadline", x.caller.Deadline),
		zap.Duration("age", time.Since(x.started)),
		zap.String("error", err.Error()),
	)
}

// writeRefusal writes the status and title of the error's kind, with Retry-After if the
// error has one.
func writeRefusal(w http.ResponseWriter, err error) {
	row := errkind.Of(err).Row()
	after := errkind.RetryAfterOf(err)
	if after > 0 {
		headers.SetRetryAfter(w.Header(), after)
	}
	text := row.Title + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(row.Status)
	_, _ = io.WriteString(w, text)
}
