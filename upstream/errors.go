package upstream

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/telemetry"
)

var errShed = errors.New("upstream refused the request unrun")

// AttemptError is the cause of every error of an attempt.
type AttemptError struct {
	Upstream string
	// MayHaveRun is false when no byte of the request has reached the upstream
	// or the upstream said that it did not run the request.
	MayHaveRun bool
	// Reason is the reason of a retry, or empty when a retry is useless.
	Reason telemetry.RetryReason
	// Status and Header are those of an answer that was not taken; 0 and nil when
	// there was none.
	Status int
	Header http.Header
	cause  error
}

// Error returns the upstream and the cause.
func (e *AttemptError) Error() string { return "upstream " + e.Upstream + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.cause }

// MayHaveRun says whether the upstream may have run the request. It is true for
// errors that are not from an attempt.
func MayHaveRun(err error) bool {
	var a *AttemptError
	return !errors.As(err, &a) || a.MayHaveRun
}

// RefusedAnswer returns the status and header of the answer that err is about,
// or 0 and nil when there was none.
func RefusedAnswer(err error) (int, http.Header) {
	var a *AttemptError
	if !errors.As(err, &a) {
		return 0, nil
	}
	return a.Status, a.Header
}

// RetryReason returns why another attempt is useful after err, or false when
// it is not. At-most-once requests may be retried only when the kind of err has
// the outcome errkind.NotRun.
func RetryReason(err error) (telemetry.RetryReason, bool) {
	var a *AttemptError
	if !errors.As(err, &a) || a.Reason == "" {
		return "", false
	}
	return a.Reason, true
}

// fail ends the exchange after a failed round trip and returns its error.
func (e *exchange) fail(err error) error {
	wrote := e.attempt.seal()
	e.end()
	if e.body != nil && e.body.Err() != nil {
		return e.requestBodyError(wrote)
	}
	if e.silent.Load() && e.parent.Err() == nil {
		e.host.distrust(e.started)
		return e.wrap(errSilent, silentKind(wrote), wrote)
	}
	if e.ctx.Err() != nil && e.parent.Err() != nil || errors.Is(err, errDeadline) || errors.Is(err, context.DeadlineExceeded) {
		return e.wrap(err, contextKind(e.parent, wrote), wrote)
	}
	if !wrote {
		return e.wrap(err, errkind.NoUpstream, false)
	}
	return e.wrap(err, errkind.UpstreamFailed, true)
}

var errSilent = errors.New("no answer within the silence timeout")

func silentKind(wrote bool) errkind.Kind {
	if wrote {
		return errkind.UpstreamTimeout
	}
	return errkind.NoUpstream
}

// contextKind is the kind of an attempt that its context has ended.
func contextKind(ctx context.Context, wrote bool) errkind.Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.CallerGone
	}
	if wrote {
		return errkind.UpstreamTimeout
	}
	return errkind.DeadlineExceeded
}

// requestBodyError is the error of a request whose own body failed. Its kind is
// that of the body error, unless that one would promise too much.
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

// mayTryAnother says whether the exchange failed on a pooled connection before
// any byte was written, so that another connection can be used at once.
func (e *exchange) mayTryAnother(err error) bool {
	if MayHaveRun(err) || errors.Is(err, errShed) || e.parent.Err() != nil {
		return false
	}
	if e.body != nil && !e.body.Replayable() {
		return false
	}
	return e.attempt.hasReused()
}
