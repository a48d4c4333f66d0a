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
	// Internal is a defect in this program; nothing is known of the request.
	Internal Kind = iota
	// BadRequest is a request that cannot be read as valid HTTP or JSON.
	BadRequest
	// BodyTooLarge is a request body over the configured size in bytes.
	BodyTooLarge
	// BodyTooLargeSent is a body of unknown length that grew over the configured
	// size after a part of it had been sent to an upstream.
	BodyTooLargeSent
	// BodyIncomplete is a body that failed to arrive before anything was sent
	// to an upstream.
	BodyIncomplete
	// BodyCut is a request body that ended before it was whole.
	BodyCut
	// SlowSender is a caller that sent its body slower than the timeout allows.
	SlowSender
	// UnknownRoute is a host, path or method that no route matches.
	UnknownRoute
	// KeyMissing is a request without a key on a route that needs one.
	KeyMissing
	// KeyUnknown is a key that no customer holds.
	KeyUnknown
	// KeyWithdrawn is a key that its operator has withdrawn.
	KeyWithdrawn
	// KeyUnverified is a key that cannot be checked in time, because the
	// failure domain is cut off and the route refuses in that case.
	KeyUnverified
	// CustomerNotAllowed is a customer that the route does not admit.
	CustomerNotAllowed
	// RateExceeded is a customer over its rate and burst.
	RateExceeded
	// ShareUnconfirmed is an entry instance whose rate shares are not
	// confirmed, because it has just started or was paused.
	ShareUnconfirmed
	// IdempotencyKeyMissing is an at-most-once request without a usable key.
	IdempotencyKeyMissing
	// IdempotencyKeyMismatch is a key used before with another request.
	IdempotencyKeyMismatch
	// IdempotencyInProgress is a repeat of a request that still runs.
	IdempotencyInProgress
	// IdempotencyHomeGone is a key whose home instance cannot be asked.
	IdempotencyHomeGone
	// IdempotencyFull is a home instance that cannot record another claim.
	IdempotencyFull
	// OutcomeUnknown is a repeat of a request whose outcome is not known.
	OutcomeUnknown
	// AnswerNotKept is a repeat of a request that ran, whose answer was too
	// large to keep.
	AnswerNotKept
	// NoConfiguration is an entry instance that has no configuration yet.
	NoConfiguration
	// NoUpstream is a service without a healthy upstream in reach.
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
	// UpstreamTimeout is an upstream that did not answer before the deadline.
	UpstreamTimeout
	// AnswerMismatched is an answer that belongs to another request.
	AnswerMismatched
	// AnswerTruncated is an answer that ended before it was whole.
	AnswerTruncated
	// CallerGone is a caller that closed its connection before the answer.
	CallerGone

	kindCount
)

// Outcome states what is known of a request at the upstream.
type Outcome string

// The outcomes that an answer can state in its Ferry-Outcome header.
const (
	// NotRun promises that no upstream has received the request.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
	// Ran says that the request ran and was answered.
	Ran Outcome = "ran"
)

// Retry is the advice given to a caller.
type Retry string

// The kinds of retry advice.
const (
	// RetryNever says that the same request will be refused again.
	RetryNever Retry = "never"
	// RetryLater says that the same request may be sent again after a delay.
	RetryLater Retry = "later"
	// RetryElsewhere says to send it to another entry instance at once.
	RetryElsewhere Retry = "elsewhere"
	// RetrySameKey says to repeat it with the same idempotency key.
	RetrySameKey Retry = "same-key"
)

// Row is the answer to one kind.
type Row struct {
	// Name is the stable name in answers, logs and metric labels.
	Name string
	// Status is the HTTP status code.
	Status int
	// Outcome is what the answer states about the request.
	Outcome Outcome
	// Retry is the advice to the caller.
	Retry Retry
	// RetryAfter is the delay sent as the Retry-After header; 0 sends none.
	RetryAfter time.Duration
	// Title is the short text of the problem body.
	Title string
}

const (
	shortRetry = 1 * time.Second
	longRetry  = 5 * time.Second
)

var table = [kindCount]Row{
	Internal:               {"internal", http.StatusInternalServerError, Unknown, RetrySameKey, shortRetry, "internal error"},
	BadRequest:             {"bad_request", http.StatusBadRequest, NotRun, RetryNever, 0, "the request is not valid"},
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

// Row returns the table row of the kind. An unknown kind gets that of Internal.
func (k Kind) Row() Row {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Row().Name }

// ByName returns the kind with the given stable name.
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

// Wrap returns an error of the kind with a cause, which callers never see.
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

// Of returns the kind of err, or Internal when err has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RetryAfterOf returns the delay that the answer to err tells the caller, or 0.
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
