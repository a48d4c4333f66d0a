package balancing

import (
	"time"

	"samphireferry.example/ferry/routing"
)

// Result classifies what a request shows about its upstream.
type Result uint8

// The results of a request.
const (
	// ResultOK is a complete response with a status below 500.
	ResultOK Result = iota
	// ResultError is a complete response with a status of 500 or more.
	ResultError
	// ResultFailed is a malformed, late or truncated response, or the response to
	// another request.
	ResultFailed
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultShed is a refusal by the upstream before running the request.
	ResultShed
	// ResultCanceled is a request that its caller cancelled; it allows no conclusion about
	// the upstream.
	ResultCanceled
)

// Ticket describes a request that asks for a slot.
type Ticket struct {
	// Customer is the name of the customer whose share of the slots is used.
	Customer string
	// Weight is the relative share of the customer; 0 counts as 1.
	Weight int
	// Deferrable requests yield to all others.
	Deferrable bool
}

func (t Ticket) weight() float64 { return float64(max(t.Weight, 1)) }

// Lease holds one slot of an upstream and must be released. The zero value holds no
// slot.
type Lease struct {
	Upstream *routing.Upstream
	record   *leaseRecord
	// generation differs from that of the record once the lease is released.
	generation uint64
}

// Release frees the slot and records the result of the request. Further calls have no
// effect.
func (l Lease) Release(result Result) {
	if l.record != nil {
		l.record.pool.release(l, result)
	}
}

// leaseRecord is the pool's record of a lease. It is reused after the release.
type leaseRecord struct {
	pool       *Pool
	generation uint64
	member     *member
	flow       *flow
	started    time.Time
	// cost is the estimated slot time charged to the customer in advance, in seconds. It
	// is 0 if the request did not wait in the queue.
	cost   float64
	weight float64
}
