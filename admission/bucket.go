package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/sharetable"
)

// InvariantRoom says that the tokens and the reserved room of a bucket are
// within its burst.
const InvariantRoom invariant.Name = "bucket_within_burst"

// rounding is the error, in tokens, that sums of floating-point numbers may have.
const rounding = 1e-6

// Bucket is the token bucket of one customer at one entry instance. A bucket
// stays the same while its customer is configured, so that it can be kept in
// a routing table.
type Bucket struct {
	customer string
	// active is set while requests come; other buckets need no loans.
	active atomic.Bool

	mu    sync.Mutex
	share sharetable.Share
	// level is the number of tokens; reserved is the room kept for loans.
	level    float64
	reserved float64
	// at is the time of the last refill.
	at time.Time

	demand  demand
	totals  Totals
	waiting []*Waiter
	// spendAsked is the number of spend tokens in outstanding loans.
	spendAsked float64
	// change is a part of a spend token, kept while a request waits.
	change float64
}

// Totals counts tokens of one bucket since it was made.
type Totals struct {
	// Admitted counts requests that took a token of the bucket itself.
	Admitted uint64
	// Refused counts requests that got no token in time.
	Refused uint64
	// LentReserve and LentSpend left the bucket for other instances.
	LentReserve float64
	LentSpend   float64
	// BorrowedReserve came into the bucket from other instances.
	BorrowedReserve float64
	// BorrowedSpend admitted requests that waited here.
	BorrowedSpend uint64
	// Dropped was granted by other instances and could not be used.
	Dropped float64
}

// Totals returns the counts so far.
func (b *Bucket) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

// Share returns the share in force.
func (b *Bucket) Share() sharetable.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}

// Customer returns the name of the customer.
func (b *Bucket) Customer() string { return b.customer }

// refill adds the tokens of the time since the last refill. The caller holds
// the lock.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	room := max(0, float64(b.share.Burst)-b.reserved)
	b.level = min(room, b.level+b.share.Rate*elapsed.Seconds())
}

// configure changes the share. A smaller burst cuts the tokens first, then the
// reserved room.
func (b *Bucket) configure(now time.Time, share sharetable.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.share = share
	burst := float64(share.Burst)
	b.level = min(b.level, burst)
	b.reserved = min(b.reserved, burst-b.level)
}

// empty removes all tokens and forgets all loans.
func (b *Bucket) empty(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = 0
	b.reserved = 0
	b.spendAsked = 0
	b.change = 0
	b.at = now
}

// take removes one token if there is one.
func (b *Bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	b.totals.Admitted++
	return true
}

// reserve keeps room for a loan.
func (b *Bucket) reserve(tokens float64) { b.reserved += tokens }

// deposit puts granted tokens into the room that was reserved for them and
// gives up the rest of that room.
func (b *Bucket) deposit(granted, reserved float64) {
	room := min(reserved, b.reserved)
	b.reserved -= room
	fits := min(granted, room)
	b.level += fits
	b.totals.BorrowedReserve += fits
	b.totals.Dropped += granted - fits
}

// arrived counts one request.
func (b *Bucket) arrived() {
	b.demand.arrivals++
	if !b.active.Load() {
		b.active.Store(true)
	}
}

// rest marks the bucket as idle when there is hardly any demand.
func (b *Bucket) rest(horizon time.Duration) {
	if len(b.waiting) == 0 && b.demand.within(horizon) < idleDemand {
		b.active.Store(false)
	}
}

// idleDemand is the demand, in tokens within the horizon, of an idle bucket.
const idleDemand = 0.01

// within says whether the bucket keeps its invariant.
func (b *Bucket) within() bool {
	return b.level >= -rounding && b.reserved >= -rounding &&
		b.level+b.reserved <= float64(b.share.Burst)+rounding
}

// retryAfter returns the time until the bucket has a whole token by itself.
// Without a rate of its own it is the time in which the customer as a whole
// gets one.
func (b *Bucket) retryAfter() time.Duration {
	rate := b.share.Rate
	missing := 1 - b.level
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

// maxRetryAfter is the longest delay that a refusal advises.
const maxRetryAfter = 1 * time.Hour
