// Package reconcile defines how a state machine keeps its records in the
// platform's store.
//
// A Reconciler is pure: it is told of the records in the store, plans one
// compare-and-swap at a time, and is told the result. The control loop of the
// entry instance that holds the control lease carries the writes out. Safety
// never rests on the lease: two drivers may plan at once, and the store lets
// one of them win. The lease only keeps them from wasting calls.
package reconcile

import (
	"time"

	"samphireferry.example/ferry/platform"
)

// Write is one compare-and-swap that a Reconciler wants done.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 expects no value.
	Expected platform.Revision
	// Delete removes the key in place of writing the value.
	Delete bool
}

// Reconciler drives the records under one key or key prefix of the store.
// All methods are called from the control goroutine.
type Reconciler interface {
	// Observe reports a record as read from the store, or its deletion. Older
	// revisions than the newest seen are ignored.
	Observe(entry platform.Entry)
	// Plan returns the next write, or false when nothing is to be done. It is
	// not called again before Done.
	Plan(now time.Time) (Write, bool)
	// Done reports the result of a write. After an error the control loop reads
	// the key and calls Observe before the next Plan, since a lost answer may
	// hide a write that took effect.
	Done(write Write, revision platform.Revision, err error)
}
