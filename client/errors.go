package client

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/errkind"
)

// Kinds of errors that the client itself detects. All other kinds are those of
// refusals; docs/CALLERS.md lists them.
const (
	// KindBadRequest is a request that cannot be sent.
	KindBadRequest = "bad_request"
	// KindConnectionFailed is a failure to open a connection to an instance.
	KindConnectionFailed = "connection_failed"
	// KindNoAnswer is a connection that broke, or on which no response head arrived
	// in time, or one without a final status.
	KindNoAnswer = "no_answer"
	// KindTruncated is a truncated response, or one whose end cannot be detected.
	KindTruncated = "cut"
	// KindNoKind is a refusal without a readable kind.
	KindNoKind = "no_kind"
	// KindNoOutcome is a response to an at-most-once request that does not state
	// that the request ran, and therefore is not from an entry instance.
	KindNoOutcome = "no_outcome"
	// KindAnswerTooLarge is a response whose body exceeds MaxResponseBytes.
	KindAnswerTooLarge = "answer_too_large"
	// KindNotSent is a request that ended before its first attempt, or a key that
	// could not be generated because the home is not known.
	KindNotSent = "not_sent"
)

// Error describes why there is no usable response.
type Error struct {
	// Kind is the error kind of the last attempt.
	Kind string
	// Status is the HTTP status of the refusal; 0 if there was none.
	Status int
	// Title and Detail are human-readable explanations of a refusal.
	Title, Detail string
	// RequestID identifies the last attempt in the logs of the system.
	RequestID string
	// Outcome is the combined outcome of all attempts.
	Outcome errkind.Outcome
	// Retry is the advice for a further repeat. For an at-most-once request
	// whose outcome is not NotRun, a repeat must use Key.
	Retry errkind.Retry
	// RetryAfter is the minimum time before a repeat; 0 if none was stated.
	RetryAfter time.Duration
	// Key is the idempotency key of an at-most-once request.
	Key string
	// Entry is the base URL of the instance of the last attempt.
	Entry string
	// Attempts is the number of attempts that were made.
	Attempts int

	// repeated is set when the transport may have sent the attempt twice.
	repeated bool
	cause    error
}

// Error returns the kind, the outcome and the cause in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (outcome %s, %d attempts)", e.Kind, e.Outcome, e.Attempts)
	if e.Title != "" {
		text += ": " + e.Title
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil. It is the error of the context when the
// context ended the request.
func (e *Error) Unwrap() error { return e.cause }
