package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/sharetable"
)

// InvariantWithinBurst requires that the tokens plus the reserved capacity of a
// bucket do not exceed its burst.
const InvariantWithinBurst invariant.Name = "bucket_within_burst"

// roundingTolerance is the error, in tokens, that sums of floating-point numbers may
// have.
const roundingTolerance = 1e-6

// Bucket is the token bucket of one customer at one entry instance. The customer
// keeps the same Bucket for as long as it is configured, so that a routing table
// may refer to it.
type Bucket struct {
	customer string
	// active is set while requests arrive; other buckets need no loans.
	active atomic.Bool

	mu    sync.Mutex
	share sharetable.Share
	// level is the number of tokens; reserved is the capacity kept free for loans.
	level    float64
	reserved float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time

	demand  demand
	totals  Totals
	waiting []*Waiter
	// spendRequested is the number of spend tokens in outstanding loans.
	spendRequested float64
	// partialToken is a fraction of a spend token, kept while a request waits.
	partialToken float64
	loans        loanYield
	// owed is the number of tokens that the bucket must gain before it holds any more, charged
	// is set from when it owed some until it is full.
	owed    float64
	charged bool
}

// Totals counts requests and tokens of one bucket since it was created.
type Totals struct {
	// Admitted counts requests that took a token of this bucket.
	Admitted uint64
	// Refused counts requests that got no token in time.
	Refused uint64
	// LentReserve and LentSpend are the tokens lent to other instances.
	LentReserve float64
	LentSpend   float64
	// BorrowedReserve is the number of tokens borrowed into the bucket.
	BorrowedReserve float64
	// BorrowedSpend counts waiting requests admitted with spend tokens of other
	// instances.
	BorrowedSpend uint64
	// Dropped is the number of tokens that other instances granted and that could
	// not be used.
	Dropped float64
}

// Totals returns the counts so far.
func (b *Bucket) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// Share returns the customer's share in force.
func (b *Bucket) Share() sharetable.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}

// Customer returns the name of the customer.
func (b *Bucket) Customer() string { return b.customer }

// refill adds the tokens for the time since the last refill. The caller must hold
// the lock, as for all unexported methods except configure and empty.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.level, b.owed = b.refilled(elapsed)
	b.refilledAt = now
	if b.level >= float64(b.share.Burst)-roundingTolerance {
		b.charged = false
	}
}

// refilled returns the tokens after the time since the last refill, and those that are still owed.
func (b *Bucket) refilled(elapsed time.Duration) (level, owed float64) {
	gained := b.share.Rate * elapsed.Seconds()
	repaid := min(gained, b.owed)
	capacity := max(0, float64(b.share.Burst)-b.reserved)
	return min(capacity, b.level+gained-repaid), b.owed - repaid
}

// configure replaces the share. A smaller burst cuts the tokens first, then the
// reserved capacity.
func (b *Bucket) configure(now time.Time, share sharetable.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share = share
	burst := float64(share.Burst)
	b.level = min(b.level, burst)
	b.reserved = min(b.reserved, burst-b.level)
}

// empty removes all tokens and reservations, and the state of outstanding loans.
func (b *Bucket) empty(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = 0
	b.reserved = 0
	b.spendRequested = 0
	b.partialToken = 0
	b.loans = loanYield{}
	b.owed, b.charged = 0, false
	b.refilledAt = now
}

// take removes one whole token and counts an admission, and reports whether there
// was one.
func (b *Bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	b.totals.Admitted++
	return true
}

// reserve keeps capacity free for a loan.
func (b *Bucket) reserve(tokens float64) { b.reserved += tokens }

// deposit adds granted tokens, up to the capacity that was reserved for them, and
// releases the rest of that capacity.
func (b *Bucket) deposit(granted, requested float64) {
	capacity := min(requested, b.reserved)
	b.reserved -= capacity
	deposited := min(granted, capacity)
	b.level += deposited
	b.totals.BorrowedReserve += deposited
	b.totals.Dropped += granted - deposited
}

// countArrival counts one request, admitted or not, and marks the bucket as active.
func (b *Bucket) countArrival() {
	b.demand.arrivals++
	if !b.active.Load() {
		b.active.Store(true)
	}
}

// updateActive marks the bucket as idle if no request waits and the demand within
// the horizon is below idleDemand.
func (b *Bucket) updateActive(horizon time.Duration) {
	if len(b.waiting) == 0 && b.demand.within(horizon) < idleDemand {
		b.active.Store(false)
	}
}

// idleDemand is the demand, in tokens within the horizon, below which a bucket is
// idle.
const idleDemand = 0.01

// withinBurst reports whether InvariantWithinBurst holds.
func (b *Bucket) withinBurst() bool {
	return b.level >= -roundingTolerance && b.reserved >= -roundingTolerance &&
		b.level+b.reserved <= float64(b.share.Burst)+roundingTolerance
}

// retryAfter returns the time until the bucket has a whole token without loans. If
// its share has no rate, it is the time in which the whole rate of the customer
// yields one. It is at most maxRetryAfter.
func (b *Bucket) retryAfter() time.Duration { return b.retryAfterAt(b.level) }

// retryAfterAt is retryAfter for the number of tokens.
func (b *Bucket) retryAfterAt(level float64) time.Duration {
	rate := b.share.Rate
	missing := 1 - level
	if rate <= 0 {
		rate = b.share.Customer.Rate
		missing = 1
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := min(missing/rate, maxRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// maxRetryAfter is the longest RetryAfter of a refusal.
const maxRetryAfter = 1 * time.Hour
