package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
)

// maxBufferedBody is the largest request body in bytes that is read whole before it is
// sent, so that a slow caller occupies no upstream.
const maxBufferedBody = 256 << 10

// traffic is the HTTP handler for requests of callers.
type traffic struct {
	deps *dependencies
}

// ServeHTTP implements http.Handler.
func (t *traffic) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{deps: t.deps, w: w, r: r, conn: callerConnOf(r), started: time.Now(), view: t.deps.views.load()}
	release, err := x.acceptHead()
	defer release()
	if t.deps.stopping.begun() {
		w.Header().Set("Connection", "close")
	}
	if err == nil {
		err = x.serve()
	}
	if err != nil {
		x.refuse(err)
	}
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
	// deadline is the earlier of the caller's deadline and the timeout of the route that
	// matched on arrival.
	deadline time.Time
	// held is the memory of the head and body of the request and of the body of its response.
	held *buffers.Holder
	// streamsBody is set when the request body is sent while it is read.
	streamsBody bool
	// responseStarted is set just before the header of the response is written.
	responseStarted bool
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
	err = x.prepare()
	if err != nil {
		return err
	}
	err = x.admit(ctx)
	if err != nil {
		return err
	}
	x.chooseVersion()
	err = x.resolve()
	if err != nil {
		return err
	}
	err = x.sendWithRetries(ctx)
	if x.streamsBody && (ctx.Err() != nil || !time.Now().Before(x.deadline)) {
		// The server writes no response while the body is being read. The timer of the attempt may
		// run before that of the lifetime.
		x.setReadDeadline(time.Unix(0, 0))
	}
	return err
}

// setReadDeadline bounds the reads of the request body. The server lifts it once the body has
// been read.
func (x *exchange) setReadDeadline(deadline time.Time) {
	err := http.NewResponseController(x.w).SetReadDeadline(deadline)
	if err != nil {
		x.deps.log.Warn("the reads of a request body are not bounded", zap.String("request_id", x.caller.AttemptID), zap.Error(err))
	}
}

// admit charges the request to the customer's rate. When this instance has no token
// left, it waits up to maxLoanWait for a loan from another instance.
func (x *exchange) admit(ctx context.Context) error {
	if x.customer == nil || x.customer.Rate <= 0 {
		return nil
	}
	bucket := x.deps.limiter.Bucket(x.customer.Name)
	if bucket == nil {
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	return x.deps.limiter.AdmitWait(ctx, bucket).Err()
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
		x.streamsBody = true
		x.request.Body = x.r.Body
		return nil
	}
	x.setReadDeadline(x.deadline)
	interrupt := func() { x.setReadDeadline(time.Unix(0, 0)) }
	body, err := readHeld(x.r.Body, x.r.ContentLength, maxBufferedBody+1, x.held, interrupt, neverStop)
	switch {
	case errors.Is(err, errNoMemory):
		x.deps.metrics.Counter("ferry_bodies_ended_total", "body", "request").Inc()
		refusal := errkind.Wrap(err, errkind.Overloaded, "")
		refusal.RetryAfter = refusalRetryAfter
		return refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.DeadlineExceeded, "the request body did not arrive")
	case err != nil:
		return errkind.Wrap(err, errkind.BodyIncomplete, "")
	}
	if len(body) > maxBufferedBody {
		x.setReadDeadline(time.Time{})
		x.streamsBody = true
		x.request.Body = io.MultiReader(bytes.NewReader(body), x.r.Body)
		return nil
	}
	x.request.Body = bytes.NewReader(body)
	x.request.ContentLength = int64(len(body))
	return nil
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
		panic(http.ErrAbortHandler)
	}
	if x.deps.callerConns.nearLimit() {
		x.w.Header().Set("Connection", "close")
	}
	if x.request == nil {
		headgate.BoundUnreadBody(x.w, x.r)
	}
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
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(row.Status)
	_, _ = io.WriteString(w, row.Title+"\n")
}
