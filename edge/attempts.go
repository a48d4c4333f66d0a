package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

const (
	// maxBufferedResponse is the largest response body in bytes that is read whole
	// before its header is sent, so that a truncated response can be retried.
	maxBufferedResponse = 256 << 10
	// refusalRetryAfter is the Retry-After delay sent to a refused caller, at least.
	refusalRetryAfter = 300 * time.Millisecond
	// streamBufferBytes is the size of the buffer through which a streamed response passes.
	streamBufferBytes = 32 << 10
	// maxTriedUpstreams bounds the upstreams that one request is sent to.
	maxTriedUpstreams = 4
	// streamWriteGrace is the time after the deadline of a request at which writing a
	// streamed response fails, so that a caller that does not read holds no slot. Until
	// then the end of the body at the deadline decides.
	streamWriteGrace = 500 * time.Millisecond
)

// upstreamResponse is a response of an upstream whose body has been read, completely or
// up to maxBufferedResponse bytes.
type upstreamResponse struct {
	*dispatch.Response
	buffered []byte
	// complete reports whether buffered is the whole body. If it is not, the attempt goes
	// on, and holds its lease, until the body ends.
	complete bool
	lease    *placement.Lease
	// took is the duration of the attempt that received the response.
	took time.Duration
}

// sendWithRetries sends the request to one upstream after another until one responds or
// no further retry is allowed.
func (x *exchange) sendWithRetries(ctx *lifetime) error {
	var last *upstreamResponse
	for {
		got, err := x.attempt(ctx)
		if got != nil {
			x.discard(last)
			last = got
		}
		failed := err != nil || got.Status >= http.StatusInternalServerError
		if failed && x.mayRetry(ctx, err) {
			continue
		}
		if last == nil {
			return x.finalError(err)
		}
		// If the last attempt failed, the failure with which an earlier upstream
		// responded is more useful to the caller.
		return x.deliver(ctx, last)
	}
}

// attempt sends the request to one upstream and reads the response.
func (x *exchange) attempt(ctx *lifetime) (*upstreamResponse, error) {
	lease, err := x.acquire(ctx)
	if err != nil {
		return nil, err
	}
	x.tried = append(x.tried, lease.Upstream.Name)
	x.triedCanary = x.triedCanary || x.view.versions[x.service.Name].isCanary(lease.Upstream.Version)
	x.checkHomes(lease.Upstream)
	sent := time.Now()
	defer func() {
		x.deps.metrics.Histogram("ferry_attempt_seconds", "service", x.service.Name).UpdateDuration(sent)
	}()
	x.countLimited(lease.Upstream)
	metered := x.deps.meter.sent(x.customerName(), lease)
	response, err := x.deps.upstreams.Send(ctx, lease.Upstream, x.service, x.request)
	if err == nil {
		metered.responded(time.Since(sent))
		x.observeLimit(lease.Upstream, sent, response.Header)
		x.observeLeaving(lease, response.Header)
		var got *upstreamResponse
		got, err = x.readResponse(response, lease)
		if err == nil {
			x.ran++
			got.took = time.Since(sent)
			if got.complete {
				x.completeAttempt(got, loadOf(got.Header))
			} else {
				lease.RecordLoad(time.Now(), loadOf(got.Header))
			}
			return got, nil
		}
	}
	if upstream.MayHaveRun(err) {
		x.ran++
	}
	if response == nil {
		metered.failed(time.Since(sent), upstream.MayHaveRun(err))
	}
	if status, header := upstream.ShedResponse(err); header != nil {
		x.observeLimit(lease.Upstream, sent, header)
		if !headers.IsMisdirected(status) {
			x.observeLeaving(lease, header)
			observePause(lease, header)
		}
	}
	x.failAttempt(ctx, lease, err)
	x.deps.log.Info("attempt failed",
		zap.String("request_id", x.caller.AttemptID),
		zap.Uint64("config_version", x.configVersion()),
		zap.String("upstream", lease.Upstream.Name),
		zap.String("upstream_region", lease.Upstream.Region),
		zap.Float64("upstream_use", lease.Utilization),
		zap.Duration("at_upstream", time.Since(sent)),
		zap.Duration("age", time.Since(x.started)),
		zap.String("error", err.Error()),
	)
	return nil, err
}

// acquire takes a slot at an upstream, with a permit if the upstream limits its rate. What
// was decided before a wait for a permit is decided again after it. Such waits count like
// upstreams tried, which bounds them.
func (x *exchange) acquire(ctx *lifetime) (*placement.Lease, error) {
	var denied []string
	for waits := len(x.tried); ; {
		lease, fallback, err := x.choose(denied)
		if err != nil {
			return nil, err
		}
		granted, waited := x.deps.permits.obtain(ctx, lease.Upstream.Name)
		if waited {
			waits++
			err = x.decideAgain(ctx)
			granted = granted && err == nil && x.allowsStill(lease, fallback) && lease.MaySend(time.Now())
		}
		if granted {
			return lease, nil
		}
		lease.Cancel()
		denied = append(denied, lease.Upstream.Name)
		if err == nil && waits >= maxTriedUpstreams {
			err = errkind.New(errkind.Overloaded, "no permit")
		}
		if err != nil {
			return nil, err
		}
	}
}

// choose takes a slot at an upstream that is not denied. A request chosen for the new
// version of a roll-out may fall back to the old version when the new one has no capacity;
// fallback is the refusal by the new version then, and otherwise Chosen.
func (x *exchange) choose(denied []string) (lease *placement.Lease, fallback placement.Refusal, err error) {
	versions := x.view.versions[x.service.Name]
	object := x.objectHash()
	if x.prefersNew {
		object = versions.placementKey(object)
	}
	lease, refusal := x.acquireObject(object, versions.allows(x.prefersNew), denied)
	if x.prefersNew && versions.mayFallBack(refusal) {
		fallback = refusal
		lease, refusal = x.acquireObject(x.objectHash(), versions.allows(false), denied)
		if versions.phase == canary.Canary {
			x.prefersNew = false
			x.canary.returnChoice(true)
		}
	}
	switch refusal {
	case placement.NoCandidates:
		return nil, fallback, errkind.New(errkind.NoUpstream, "")
	case placement.AllBusy:
		preferred, utilization := x.deps.pool.PreferredUpstream(time.Now(), x.placementQuery(x.objectHash(), versions.allows(x.prefersNew)))
		return nil, fallback, errkind.New(errkind.Overloaded, fmt.Sprintf("upstream %s has %.2f requests for each slot", preferred, utilization))
	}
	x.countChoice(lease)
	return lease, fallback, nil
}

// acquireObject takes a slot at an upstream for the object.
func (x *exchange) acquireObject(object uint64, allows func(version string) bool, denied []string) (*placement.Lease, placement.Refusal) {
	q := x.placementQuery(object, allows)
	q.Denied = denied
	return x.deps.pool.Acquire(time.Now(), q)
}

// decideAgain resolves the request after a wait. An error means that it must not be sent,
// also because of an attempt that may have run it: by the newest configuration the route may
// be at-most-once or have fewer attempts.
func (x *exchange) decideAgain(ctx *lifetime) error {
	err := ctx.mayBegin()
	if err != nil {
		return err
	}
	err = x.resolve()
	if err != nil {
		return err
	}
	limit := x.route.MaxAttempts
	if x.ran > 0 && (x.atMostOnce || limit > 0 && x.ran >= limit) {
		return errkind.New(errkind.UpstreamFailed, "the configuration allows no further attempt")
	}
	return nil
}

// allowsStill reports whether the request, as it is resolved now, may go to the upstream of
// the lease. fallback is the refusal by the new version after which the lease was taken.
func (x *exchange) allowsStill(lease *placement.Lease, fallback placement.Refusal) bool {
	versions := x.view.versions[x.service.Name]
	prefersNew := x.prefersNew && !(fallback != placement.Chosen && versions.mayFallBack(fallback))
	return x.deps.pool.Allows(lease, x.placementQuery(x.objectHash(), versions.allows(prefersNew)))
}

func (x *exchange) placementQuery(object uint64, allows func(version string) bool) placement.Query {
	return placement.Query{
		Service:       x.service.Name,
		Object:        object,
		AllowsVersion: allows,
		AllowsRegion:  x.allowsRegion,
		Admits:        func(id string) bool { return x.deps.throttle.Admits(time.Now(), id) },
		Tried:         x.tried,
		TimeLeft:      time.Until(x.deadline),
	}
}

// recordVersion counts the outcome of an attempt at a version under a roll-out.
func (x *exchange) recordVersion(version string, failure canary.Failure) {
	if v := x.view.versions[x.service.Name]; v != nil {
		v.record(x.route.Name, version == v.version, failure)
	}
}

// readResponse reads up to maxBufferedResponse bytes of the body, or fewer if memory is scarce.
// It closes the body when that is all of it or reading fails.
func (x *exchange) readResponse(response *dispatch.Response, lease *placement.Lease) (*upstreamResponse, error) {
	got := &upstreamResponse{Response: response, lease: lease}
	ended := false
	body := &endedBody{Reader: response.Body, ended: &ended}
	read, err := readHeld(body, response.ContentLength, maxBufferedResponse, x.held, func() { _ = response.Body.Close() }, x.deps.buffers.Scarce)
	if errors.Is(err, errNoMemory) {
		x.deps.metrics.Counter("ferry_bodies_ended_total", "body", "response").Inc()
		err = errkind.Wrap(err, errkind.AnswerTruncated, "")
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	got.buffered = read
	got.complete = ended
	if got.complete {
		return got, response.Body.Close()
	}
	return got, nil
}

// endedBody records whether a body has ended.
type endedBody struct {
	io.Reader
	ended *bool
}

// Read implements io.Reader.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	*b.ended = err == io.EOF
	return n, err
}

// completeAttempt records the outcome of a response whose body has ended, or whose status
// shows a failure whatever its body, and releases its slot.
func (x *exchange) completeAttempt(got *upstreamResponse, load placement.Load) {
	result := placement.Answered
	if got.Status >= http.StatusInternalServerError {
		result = placement.Failed
	}
	x.recordVersion(got.lease.Upstream.Version, failureOf(got.Status))
	x.release(got.lease, result, load)
}

// failAttempt records the outcome of an attempt without a complete response and releases
// its slot.
func (x *exchange) failAttempt(ctx *lifetime, lease *placement.Lease, err error) {
	result := resultOf(ctx, err)
	if result == placement.Failed || result == placement.Late {
		x.recordVersion(lease.Upstream.Version, canary.LateResponse)
	}
	x.release(lease, result, refusedLoad(err))
}

// discard ends a failure response that is not delivered; got may be nil.
func (x *exchange) discard(got *upstreamResponse) {
	if got == nil || got.complete {
		return
	}
	_ = got.Body.Close()
	x.completeAttempt(got, placement.Load{})
}

// release returns the slot and logs when the upstream is ejected.
func (x *exchange) release(lease *placement.Lease, result placement.Result, load placement.Load) {
	ejected := lease.Release(time.Now(), result, load)
	if ejected == 0 {
		return
	}
	x.deps.log.Info("upstream ejected",
		zap.String("request_id", x.caller.AttemptID),
		zap.String("upstream", lease.Upstream.Name),
		zap.String("service", lease.Upstream.Service),
		zap.Stringer("result", result),
		zap.Float64("upstream_use", lease.Utilization),
		zap.Duration("for", ejected),
	)
}

// failureOf classifies the status for the evaluation of the version that sent it.
func failureOf(status int) canary.Failure {
	switch {
	case status < http.StatusInternalServerError:
		return canary.None
	case status == http.StatusGatewayTimeout:
		return canary.LateResponse
	}
	return canary.ErrorResponse
}

// mayRetry reports whether the request may be sent to another upstream. If so, it has
// counted the retry, and charged it to the retry budget unless the connection failed.
func (x *exchange) mayRetry(ctx *lifetime, err error) bool {
	if ctx.mayBegin() != nil || x.resolve() != nil {
		return false
	}
	limit := x.route.MaxAttempts
	if len(x.tried) >= maxTriedUpstreams || limit > 0 && x.ran >= limit {
		return false
	}
	if err == nil {
		return !x.atMostOnce && x.spendRetry(telemetry.RetryUpstreamFailed, nil)
	}
	reason, useful := upstream.RetryReason(err)
	if !useful || x.atMostOnce && (x.ran > 0 || errkind.Of(err).Row().Outcome != errkind.NotRun) {
		return false
	}
	if reason == telemetry.RetryConnectionFailed {
		// Nothing has reached the upstream, so nothing is repeated.
		x.countRetry(reason)
		return true
	}
	return x.spendRetry(reason, err)
}

// spendRetry takes a retry from the budget of the service. It returns false when the
// budget is exhausted.
func (x *exchange) spendRetry(reason telemetry.RetryReason, err error) bool {
	if !x.deps.retries.forService(x.service.Name).Spend(false, err) {
		return false
	}
	x.countRetry(reason)
	return true
}

// observeLatency records the time since the request arrived.
func (x *exchange) observeLatency(outcome string) {
	x.deps.metrics.Histogram("ferry_request_seconds", "service", x.service.Name, "outcome", outcome).UpdateDuration(x.started)
}

func (x *exchange) countRetry(reason telemetry.RetryReason) {
	x.deps.metrics.CountRetry(reason, x.service.Name, x.customerName())
}

// finalError converts the error of the last attempt into one that holds for the whole
// request: it must not report that the request has not run when an earlier attempt may
// have run it.
func (x *exchange) finalError(err error) error {
	kind := errkind.Of(err)
	notRun := kind.Row().Outcome == errkind.NotRun
	switch {
	case notRun && x.ran > 0:
		return errkind.Wrap(err, errkind.UpstreamFailed, "")
	case kind == errkind.DeadlineExceeded, kind == errkind.NoUpstream, kind == errkind.Overloaded:
		refusal := errkind.Wrap(err, errkind.Overloaded, "")
		refusal.RetryAfter = max(refusalRetryAfter, x.pauseLeft(), x.deps.gate.RetryAfter(x.overloadRequest(x.service)))
		return refusal
	}
	return err
}

// deliver writes the response to the caller.
func (x *exchange) deliver(ctx *lifetime, got *upstreamResponse) error {
	x.deps.retries.forService(x.service.Name).Succeed()
	headers.PrepareDelivered(got.Status, got.Header)
	out := x.w.Header()
	for name, values := range got.Header {
		out[name] = values
	}
	if got.complete && x.r.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(len(got.buffered)))
	}
	if got.Status == http.StatusNoContent || got.Status == http.StatusNotModified {
		out.Del("Content-Length")
	}
	x.observeLatency("served")
	x.logServed(got)
	x.beginResponse()
	x.lengthKnown = got.complete || got.ContentLength >= 0
	x.w.WriteHeader(got.Status)
	if got.complete {
		// A failed write means that the caller has disconnected.
		_, _ = callerWriter{x}.Write(got.buffered)
		freeBuffer(got.buffered)
		return nil
	}
	return x.stream(ctx, got)
}

// stream writes a body that has not ended yet to the caller. The end of the body
// completes the attempt.
func (x *exchange) stream(ctx *lifetime, got *upstreamResponse) error {
	x.writeBy = x.deadline.Add(streamWriteGrace)
	rest := &streamedBody{Reader: got.Body}
	_, err := callerWriter{x}.Write(got.buffered)
	freeBuffer(got.buffered)
	if err == nil {
		err = x.copyBody(rest)
	}
	_ = got.Body.Close()
	switch {
	case rest.err == io.EOF, got.Status >= http.StatusInternalServerError:
		x.completeAttempt(got, placement.Load{})
	case rest.err != nil:
		x.failAttempt(ctx, got.lease, rest.err)
	default:
		// The caller has disconnected or does not read.
		x.release(got.lease, placement.Inconclusive, placement.Load{})
	}
	if err != nil {
		return errkind.Wrap(err, errkind.AnswerTruncated, "")
	}
	return nil
}

// copyBody writes the rest of a response to the caller while it is read.
func (x *exchange) copyBody(rest io.Reader) error {
	buffer := newBuffer(streamBufferBytes)
	defer freeBuffer(buffer)
	x.held.Interrupt(func() {})
	if !x.held.Grow(int64(cap(buffer))) {
		return errNoMemory
	}
	_, err := io.CopyBuffer(callerWriter{x}, rest, buffer[:cap(buffer)])
	return err
}

// streamedBody records the error with which a body ended.
type streamedBody struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.err = err
	return n, err
}

// logServed logs a response, at level info when it took longer than the route's target
// latency.
func (x *exchange) logServed(got *upstreamResponse) {
	age := time.Since(x.started)
	level, message := zap.DebugLevel, "request served"
	if x.route.TargetLatency > 0 && age > x.route.TargetLatency {
		level, message = zap.InfoLevel, "request served late"
	}
	line := x.deps.log.Check(level, message)
	if line == nil {
		return
	}
	line.Write(
		zap.String("request_id", x.caller.AttemptID),
		zap.String("route", x.route.Name),
		zap.String("service", x.service.Name),
		zap.String("customer", x.customerName()),
		zap.String("object", x.caller.ObjectKey),
		zap.Uint64("config_version", x.configVersion()),
		zap.Strings("tried", x.tried),
		zap.String("upstream_region", got.lease.Upstream.Region),
		zap.Float64("upstream_use", got.lease.Utilization),
		zap.Int("status", got.Status),
		zap.Duration("age", age),
		zap.Duration("at_upstream", got.took),
	)
}

// resultOf returns what a failed attempt shows about its upstream.
func resultOf(ctx *lifetime, err error) placement.Result {
	status, _ := upstream.ShedResponse(err)
	switch {
	case headers.IsMisdirected(status):
		return placement.Replaced
	case status != 0:
		return placement.Shed
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Inconclusive
	case errkind.Of(err) == errkind.NoUpstream:
		return placement.Unreachable
	case errkind.Of(err) == errkind.UpstreamTimeout:
		return placement.Late
	}
	return placement.Failed
}

func loadOf(header http.Header) placement.Load {
	report, ok := headers.ReadLoad(header)
	return placement.Load{Known: ok, Requests: report.Running + report.Waiting, Pace: report.Pace}
}

func refusedLoad(err error) placement.Load {
	_, header := upstream.ShedResponse(err)
	return loadOf(header)
}
