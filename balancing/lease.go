package balancing

import (
	"time"

	"samphireferry.example/ferry/routing"
)

// Result is what a request showed about its upstream.
type Result uint8

// The results of a request.
const (
	// ResultOK is a whole answer with a status below 500.
	ResultOK Result = iota
	// ResultError is a whole answer with a status of 500 or more.
	ResultError
	// ResultFailed is a broken, late, cut or foreign answer.
	ResultFailed
	// ResultUnreachable is a connection that could not be opened.
	ResultUnreachable
	// ResultShed is a refusal by the upstream before running the request.
	ResultShed
	// ResultCanceled is a request that its caller ended; it shows nothing.
	ResultCanceled
)

// Ticket describes a request that asks for a slot.
type Ticket struct {
	// Customer names the customer whose share of the slots is used.
	Customer string
	// Weight is the relative share of the customer; 0 counts as 1.
	Weight int
	// Deferrable requests yield to all others.
	Deferrable bool
}

func (t Ticket) weight() float64 { return float64(max(t.Weight, 1)) }

// Lease is the use of one slot of an upstream. It must be released once. The
// zero value holds no slot.
type Lease struct {
	Upstream *routing.Upstream
	grant    *grant
	// generation differs from that of the grant once the lease is released.
	generation uint64
}

// Release frees the slot and reports what the request showed. A second call
// does nothing.
func (l Lease) Release(result Result) {
	if l.grant != nil {
		l.grant.pool.release(l, result)
	}
}

// grant is the pool's record of a lease. It is used again after its release.
type grant struct {
	pool       *Pool
	generation uint64
	member     *member
	flow       *flow
	started    time.Time
	// cost is the slot time charged to the customer, in seconds. It is 0 when
	// the request did not compete for its slot.
	cost   float64
	weight float64
}
