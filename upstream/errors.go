package upstream

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/telemetry"
)

var errShed = errors.New("upstream shed the request without running it")

// AttemptError is the cause of every error of an attempt.
type AttemptError struct {
	Upstream string
	// MayHaveRun is false when no byte of the request was written, or when the
	// upstream reported that it did not run the request.
	MayHaveRun bool
	// Reason is the reason for a retry, or empty when a retry is not useful.
	Reason telemetry.RetryReason
	// Status and Header are those of the response with which the upstream shed the
	// request; 0 and nil for any other error.
	Status int
	Header http.Header
	cause  error
}

// Error returns the name of the upstream and the cause.
func (e *AttemptError) Error() string { return "upstream " + e.Upstream + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.cause }

// MayHaveRun reports whether the upstream may have run the request. It is true
// for errors that do not come from an attempt.
func MayHaveRun(err error) bool {
	var a *AttemptError
	return !errors.As(err, &a) || a.MayHaveRun
}

// ShedResponse returns the status and header of the response with which the
// upstream shed the request, or 0 and nil when err has none.
func ShedResponse(err error) (int, http.Header) {
	var a *AttemptError
	if !errors.As(err, &a) {
		return 0, nil
	}
	return a.Status, a.Header
}

// RetryReason returns the reason for another attempt after err, or false when
// another attempt is not useful. At-most-once requests may be retried only when
// the kind of err has the outcome errkind.NotRun.
func RetryReason(err error) (telemetry.RetryReason, bool) {
	var a *AttemptError
	if !errors.As(err, &a) || a.Reason == "" {
		return "", false
	}
	return a.Reason, true
}

// fail releases the exchange after a failed round trip and classifies the error.
func (e *exchange) fail(err error) error {
	wrote := e.attempt.seal()
	e.release()
	if e.body != nil && e.body.Err() != nil {
		return e.requestBodyError(wrote)
	}
	if e.silent.Load() && e.parent.Err() == nil {
		e.host.markStaleBefore(e.started)
		return e.wrap(errSilent, silenceErrorKind(wrote), wrote)
	}
	if e.ctx.Err() != nil && e.parent.Err() != nil || errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) {
		return e.wrap(err, contextErrorKind(e.parent, wrote), wrote)
	}
	if !wrote {
		return e.wrap(err, errkind.NoUpstream, false)
	}
	return e.wrap(err, errkind.UpstreamFailed, true)
}

var errSilent = errors.New("no response within the silence timeout")

// silenceErrorKind returns the error kind of an attempt that the silence timeout
// has ended.
func silenceErrorKind(wrote bool) errkind.Kind {
	if wrote {
		return errkind.UpstreamTimeout
	}
	return errkind.NoUpstream
}

// contextErrorKind returns the error kind of an attempt whose context has ended. A context that was
// cancelled means that the caller has left, unless its cause says that the instance stops.
func contextErrorKind(ctx context.Context, wrote bool) errkind.Kind {
	stops := errkind.Of(context.Cause(ctx)) == errkind.Leaving
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !stops:
		return errkind.CallerGone
	case wrote:
		return errkind.UpstreamTimeout
	case stops:
		return errkind.Leaving
	}
	return errkind.DeadlineExceeded
}

// requestBodyError returns the error for a request whose body could not be read.
// Its kind is that of the read error, unless that kind has the outcome
// errkind.NotRun although a byte was written.
func (e *exchange) requestBodyError(wrote bool) error {
	cause := e.body.Err()
	kind := errkind.Of(cause)
	if kind == errkind.Internal {
		kind = errkind.CallerGone
	}
	if wrote && kind.Row().Outcome == errkind.NotRun {
		kind = errkind.UpstreamFailed
	}
	return errkind.Wrap(&AttemptError{Upstream: e.target.Name, MayHaveRun: wrote, cause: cause}, kind, "the request body failed")
}

// wrap returns an AttemptError of the kind; wrote means that the upstream may
// have run the request.
func (e *exchange) wrap(cause error, kind errkind.Kind, wrote bool) error {
	attempt := &AttemptError{Upstream: e.target.Name, MayHaveRun: wrote, Reason: retryReason(cause, kind), cause: cause}
	return errkind.Wrap(attempt, kind, "upstream "+e.target.Name)
}

func retryReason(cause error, kind errkind.Kind) telemetry.RetryReason {
	if errors.Is(cause, errSilent) {
		return telemetry.RetrySilentConnection
	}
	switch kind {
	case errkind.NoUpstream:
		return telemetry.RetryConnectionFailed
	case errkind.Overloaded:
		return telemetry.RetryUpstreamShed
	case errkind.AnswerMismatched:
		return telemetry.RetryAnswerMismatched
	case errkind.AnswerTruncated:
		return telemetry.RetryAnswerTruncated
	case errkind.UpstreamFailed:
		return telemetry.RetryUpstreamFailed
	}
	return ""
}

// canRetryOnAnotherConn reports whether the exchange failed on a pooled
// connection before any byte was written, so that another connection can be
// used at once.
func (e *exchange) canRetryOnAnotherConn(err error) bool {
	if MayHaveRun(err) || errors.Is(err, errShed) || e.parent.Err() != nil {
		return false
	}
	if e.body != nil && !e.body.Replayable() {
		return false
	}
	return e.attempt.usedPooledConn()
}
