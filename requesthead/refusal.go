package requesthead

import (
	"time"

	"samphireferry.example/ferry/errkind"
)

// Reason is why a head was refused, for the counters.
type Reason string

// The reasons.
const (
	// TooManyBytes, TooManyLines and TooManyEmptyLines are heads over the Limits.
	TooManyBytes      Reason = "bytes"
	TooManyLines      Reason = "lines"
	TooManyEmptyLines Reason = "empty"
	// TooSlow is a head that was not complete in time. Its connection is closed without a response.
	TooSlow Reason = "time"
	// NoMemory is a head for which the process has no memory left.
	NoMemory Reason = "memory"
	// AmbiguousFraming is a head that does not tell where its body ends.
	AmbiguousFraming Reason = "framing"
	// BadSyntax is a head that is not of the form of HTTP/1.
	BadSyntax Reason = "syntax"
	// BadPath is a path that programs read differently.
	BadPath Reason = "path"
	// RepeatedField is a field that must not occur twice.
	RepeatedField Reason = "repeated"
	// OutOfStep is a request that the server has parsed from other bytes than the inspected head.
	OutOfStep Reason = "unmatched"
)

// Refusal is the error for a head that is refused. It wraps an errkind.Error.
type Refusal struct {
	Reason Reason
	err    *errkind.Error
}

// Refuse returns a refusal of the kind. The detail must hold no secret.
func Refuse(reason Reason, kind errkind.Kind, detail string) *Refusal {
	return &Refusal{Reason: reason, err: errkind.New(kind, detail)}
}

// Error implements error.
func (r *Refusal) Error() string { return r.err.Error() }

// Unwrap returns the errkind.Error.
func (r *Refusal) Unwrap() error { return r.err }

// RefuseFor returns a refusal of the kind whose caller may retry after the delay.
func RefuseFor(reason Reason, kind errkind.Kind, after time.Duration) *Refusal {
	r := Refuse(reason, kind, "")
	r.err.RetryAfter = after
	return r
}
