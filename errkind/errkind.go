package errkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind identifies one cause for which a request is refused or fails.
type Kind uint8

// The closed list of error kinds. The table in this package has one row for
// each of them.
const (
	// Internal is a defect in this program; the state of the request is unknown.
	Internal Kind = iota
	// BadRequest is a request that is not valid HTTP or JSON.
	BadRequest
	// HeadTooLarge is a request head over the configured size or number of lines.
	HeadTooLarge
	// BodyTooLarge is a request body over the configured size in bytes.
	BodyTooLarge
	// BodyTooLargeSent is a request body of unknown length that exceeded the
	// configured size after a part of it had been sent to an upstream.
	BodyTooLargeSent
	// BodyIncomplete is a request body that ended early or failed before anything
	// was sent to an upstream.
	BodyIncomplete
	// BodyCut is a request body that ended before it was complete, after a part of
	// the request may have been sent to an upstream.
	BodyCut
	// SlowSender is a caller that sent the request body slower than the timeout
	// allows.
	SlowSender
	// UnknownRoute is a request whose host, path or method matches no route.
	UnknownRoute
	// KeyMissing is a request without a key on a route that needs one.
	KeyMissing
	// KeyUnknown is a key that belongs to no customer.
	KeyUnknown
	// KeyWithdrawn is a key that an operator has withdrawn.
	KeyWithdrawn
	// KeyUnverified is a key that cannot be verified in time because the failure
	// domain is cut off, on a route that refuses requests in that case.
	KeyUnverified
	// CustomerNotAllowed is a customer that the route does not admit.
	CustomerNotAllowed
	// RateExceeded is a customer that exceeds its rate and burst.
	RateExceeded
	// ShareUnconfirmed is an entry instance whose rate shares are not
	// confirmed, because it has just started or was paused.
	ShareUnconfirmed
	// IdempotencyKeyMissing is an at-most-once request without a valid
	// idempotency key.
	IdempotencyKeyMissing
	// IdempotencyKeyMismatch is an idempotency key that was used before with
	// another request.
	IdempotencyKeyMismatch
	// IdempotencyInProgress is a repeat of a request that is still running.
	IdempotencyInProgress
	// IdempotencyHomeGone is an idempotency key whose home instance is
	// unreachable.
	IdempotencyHomeGone
	// IdempotencyFull is a home instance that cannot record another claim.
	IdempotencyFull
	// OutcomeUnknown is a repeat of a request whose outcome is not known.
	OutcomeUnknown
	// AnswerNotKept is a repeat of a request that ran and whose response was too
	// large to keep.
	AnswerNotKept
	// NoConfiguration is an entry instance that has no configuration yet.
	NoConfiguration
	// NoUpstream is a service without a reachable healthy upstream.
	NoUpstream
	// Overloaded is a service whose upstreams have no free slot in time.
	Overloaded
	// QueueTimeout is a request that waited in the queue for too long.
	QueueTimeout
	// DeadlineExceeded is a request whose deadline passed before dispatch.
	DeadlineExceeded
	// Leaving is an entry instance that is shutting down.
	Leaving
	// UpstreamFailed is an upstream that failed after the request was sent.
	UpstreamFailed
	// UpstreamTimeout is an upstream that did not respond before the deadline.
	UpstreamTimeout
	// AnswerMismatched is an upstream response to another request.
	AnswerMismatched
	// AnswerTruncated is an upstream response that ended before it was complete.
	AnswerTruncated
	// CallerGone is a caller that closed its connection before the response.
	CallerGone

	kindCount
)

// Outcome states whether a request has run at an upstream.
type Outcome string

// The outcomes that a response can state in its Ferry-Outcome header.
const (
	// NotRun guarantees that the request has not run: either no upstream has received
	// any byte of it, or an upstream received it and shed it, stating that it did not run it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran and the upstream responded.
	Ran Outcome = "ran"
)

// Retry is the advice given to a caller.
type Retry string

// The kinds of retry advice.
const (
	// RetryNever means that the same request would be refused again.
	RetryNever Retry = "never"
	// RetryLater means that the same request may be sent again after a delay.
	RetryLater Retry = "later"
	// RetryElsewhere means that the request may be sent to another entry instance
	// at once.
	RetryElsewhere Retry = "elsewhere"
	// RetrySameKey means that the request may be repeated with the same
	// idempotency key.
	RetrySameKey Retry = "same-key"
)

// Row describes the response for one kind.
type Row struct {
	// Name is the stable name in responses, logs and metric labels.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what the response states about the request.
	Outcome Outcome
	// Retry is the advice to the caller.
	Retry Retry
	// RetryAfter is the delay sent as the Retry-After header; 0 sends none.
	RetryAfter time.Duration
	// Title is the title in the problem-details body.
	Title string
}

const (
	shortRetry = 1 * time.Second
	longRetry  = 5 * time.Second
)

var table = [kindCount]Row{
	Internal:               {"internal", http.StatusInternalServerError, Unknown, RetrySameKey, shortRetry, "internal error"},
	BadRequest:             {"bad_request", http.StatusBadRequest, NotRun, RetryNever, 0, "the request is not valid"},
	HeadTooLarge:           {"head_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, RetryNever, 0, "the request head is too large"},
	BodyTooLarge:           {"body_too_large", http.StatusRequestEntityTooLarge, NotRun, RetryNever, 0, "the request body is too large"},
	BodyTooLargeSent:       {"body_too_large_sent", http.StatusRequestEntityTooLarge, Unknown, RetryNever, 0, "the request body is too large"},
	BodyIncomplete:         {"body_incomplete", http.StatusBadRequest, NotRun, RetryLater, 0, "the request body did not arrive whole"},
	BodyCut:                {"body_cut", http.StatusBadRequest, Unknown, RetrySameKey, 0, "the request body ended early"},
	SlowSender:             {"slow_sender", http.StatusRequestTimeout, Unknown, RetrySameKey, shortRetry, "the request body arrived too slowly"},
	UnknownRoute:           {"unknown_route", http.StatusNotFound, NotRun, RetryNever, 0, "no route matches the request"},
	KeyMissing:             {"key_missing", http.StatusUnauthorized, NotRun, RetryNever, 0, "the route needs a key"},
	KeyUnknown:             {"key_unknown", http.StatusUnauthorized, NotRun, RetryNever, 0, "the key is not known"},
	KeyWithdrawn:           {"key_withdrawn", http.StatusUnauthorized, NotRun, RetryNever, 0, "the key has been withdrawn"},
	KeyUnverified:          {"key_unverified", http.StatusServiceUnavailable, NotRun, RetryElsewhere, longRetry, "the key cannot be verified while the failure domain is cut off"},
	CustomerNotAllowed:     {"customer_not_allowed", http.StatusForbidden, NotRun, RetryNever, 0, "the route does not admit this customer"},
	RateExceeded:           {"rate_exceeded", http.StatusTooManyRequests, NotRun, RetryLater, shortRetry, "the customer is over its rate"},
	ShareUnconfirmed:       {"share_unconfirmed", http.StatusServiceUnavailable, NotRun, RetryElsewhere, shortRetry, "the entry instance has no confirmed rate share"},
	IdempotencyKeyMissing:  {"idempotency_key_missing", http.StatusBadRequest, NotRun, RetryNever, 0, "the route needs an Idempotency-Key header of the form home.unique"},
	IdempotencyKeyMismatch: {"idempotency_key_mismatch", http.StatusUnprocessableEntity, NotRun, RetryNever, 0, "the idempotency key was used with another request"},
	IdempotencyInProgress:  {"idempotency_in_progress", http.StatusConflict, Unknown, RetrySameKey, shortRetry, "the first request with this idempotency key still runs"},
	IdempotencyHomeGone:    {"idempotency_home_gone", http.StatusServiceUnavailable, Unknown, RetrySameKey, longRetry, "the home of the idempotency key cannot be reached; this attempt was not sent"},
	IdempotencyFull:        {"idempotency_full", http.StatusServiceUnavailable, NotRun, RetryLater, longRetry, "the home of the idempotency key has no room"},
	OutcomeUnknown:         {"outcome_unknown", http.StatusConflict, Unknown, RetryNever, 0, "the first request with this idempotency key has an unknown outcome"},
	AnswerNotKept:          {"answer_not_kept", http.StatusConflict, Ran, RetryNever, 0, "the request ran, but its answer was too large to keep"},
	NoConfiguration:        {"no_configuration", http.StatusServiceUnavailable, NotRun, RetryElsewhere, shortRetry, "the entry instance has no configuration yet"},
	NoUpstream:             {"no_upstream", http.StatusServiceUnavailable, NotRun, RetryLater, shortRetry, "no healthy upstream is in reach"},
	Overloaded:             {"overloaded", http.StatusServiceUnavailable, NotRun, RetryLater, shortRetry, "the upstreams have no free slot"},
	QueueTimeout:           {"queue_timeout", http.StatusServiceUnavailable, NotRun, RetryLater, shortRetry, "the request waited too long for a free slot"},
	DeadlineExceeded:       {"deadline_exceeded", http.StatusGatewayTimeout, NotRun, RetryLater, 0, "the deadline passed before the request was sent"},
	Leaving:                {"leaving", http.StatusServiceUnavailable, NotRun, RetryElsewhere, 0, "the entry instance is shutting down"},
	UpstreamFailed:         {"upstream_failed", http.StatusBadGateway, Unknown, RetrySameKey, shortRetry, "the upstream failed after the request was sent"},
	UpstreamTimeout:        {"upstream_timeout", http.StatusGatewayTimeout, Unknown, RetrySameKey, shortRetry, "the upstream did not answer in time"},
	AnswerMismatched:       {"answer_mismatched", http.StatusBadGateway, Unknown, RetrySameKey, shortRetry, "the upstream answered another request"},
	AnswerTruncated:        {"answer_truncated", http.StatusBadGateway, Unknown, RetrySameKey, shortRetry, "the answer of the upstream was cut short"},
	CallerGone:             {"caller_gone", 499, Unknown, RetrySameKey, 0, "the caller closed the connection"},
}

// All returns every kind in order.
func All() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Row returns the table row of the kind, or that of Internal for an unknown
// kind.
func (k Kind) Row() Row {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Row().Name }

// ByName returns the kind with the given stable name, or Internal and false if
// there is none.
func ByName(name string) (Kind, bool) {
	for i, row := range table {
		if row.Name == name {
			return Kind(i), true
		}
	}
	return Internal, false
}

// Error is an error with a kind and a detail that is safe to show to callers.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter replaces the delay of the table row when it is not 0.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of the kind. The detail must hold no secret.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail}
}

// Wrap returns an error of the kind with a cause, which callers never see. The
// detail must hold no secret.
func Wrap(cause error, kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, cause: cause}
}

// Error returns the kind, the detail and the cause in one line.
func (e *Error) Error() string {
	text := e.Kind.String()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of err, or Internal if err has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RetryAfterOf returns the delay for the Retry-After header of the response to
// err, or 0 for none.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if !errors.As(err, &e) {
		return Internal.Row().RetryAfter
	}
	if e.RetryAfter != 0 {
		return e.RetryAfter
	}
	return e.Kind.Row().RetryAfter
}
