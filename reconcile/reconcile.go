// Package reconcile keeps the records of state machines in the platform's store.
//
// A Reconciler does no I/O: it receives the records in the store, plans one
// compare-and-swap at a time, and receives the result. The control loop of the
// entry instance that holds the control lease carries out the writes. Safety
// does not depend on the lease: two instances may plan at once, and
// compare-and-swap lets only one of them succeed. The lease only avoids wasted
// calls.
package reconcile

import (
	"time"

	"samphireferry.example/ferry/platform"
)

// Write is one compare-and-swap that a Reconciler plans.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 means that the key must
	// not exist.
	Expected platform.Revision
	// Delete removes the key instead of writing Value.
	Delete bool
}

// Reconciler drives the records under one key or key prefix of the store.
// All methods are called from the control goroutine.
type Reconciler interface {
	// Observe receives a record as read from the store, or its deletion. It must
	// ignore revisions older than the newest it has seen.
	Observe(entry platform.Entry)
	// Plan returns the next write, or false if there is none. After it returned a
	// write, it is not called again before Done.
	Plan(now time.Time) (Write, bool)
	// Done receives the result of a write. After an error the control loop reads
	// the key and calls Observe before the next Plan, because the write may have
	// taken effect although its response was lost.
	Done(write Write, revision platform.Revision, err error)
}
