package client

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/errkind"
)

// Kinds of errors that the client finds by itself. All other kinds are those of
// refusals; docs/CALLERS.md lists them.
const (
	// KindBadRequest is a request that cannot be sent.
	KindBadRequest = "bad_request"
	// KindConnectionFailed is an instance to which no connection opened.
	KindConnectionFailed = "connection_failed"
	// KindNoAnswer is a connection that broke, or gave no answer head in time.
	KindNoAnswer = "no_answer"
	// KindCut is an answer that ended before it was whole.
	KindCut = "cut"
	// KindNoKind is a refusal without a readable kind.
	KindNoKind = "no_kind"
	// KindNoOutcome is an answer to an at-most-once request that does not say
	// that the request ran, and so is not that of an entry instance.
	KindNoOutcome = "no_outcome"
	// KindAnswerTooLarge is an answer over MaxAnswerBytes.
	KindAnswerTooLarge = "answer_too_large"
	// KindNotSent is a request that ended before its first attempt.
	KindNotSent = "not_sent"
)

// Error says why there is no answer that can be used.
type Error struct {
	// Kind is that of the last attempt.
	Kind string
	// Status is the HTTP status of the refusal; 0 if there was none.
	Status int
	// Title and Detail explain a refusal to people.
	Title, Detail string
	// RequestID is the id of the last attempt in the logs of the system.
	RequestID string
	// Outcome is what is known of the request over all attempts.
	Outcome errkind.Outcome
	// Retry is the advice for a further repeat. For an at-most-once request
	// whose outcome is not NotRun, a repeat must use Key.
	Retry errkind.Retry
	// RetryAfter is the least time before a repeat; 0 if none was named.
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
