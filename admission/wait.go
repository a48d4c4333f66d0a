package admission

import (
	"context"
	"slices"
	"time"
)

// Waiter is a request that waits for a token.
type Waiter struct {
	bucket   *Bucket
	admitted chan struct{}
	futile   chan struct{}
	// granted is guarded by the lock of the bucket.
	granted bool
}

// Admitted returns a channel that is closed when the request gets a token.
func (w *Waiter) Admitted() <-chan struct{} { return w.admitted }

// Futile returns a channel that is closed when the request can expect no token any more.
func (w *Waiter) Futile() <-chan struct{} { return w.futile }

// Wait is Admit for a request that may wait until its deadline; a zero
// deadline means none. Where a loan may arrive in time it returns a Waiter together
// with the refusal; the caller must then end the wait with Leave.
func (l *Limiter) Wait(now time.Time, b *Bucket, deadline time.Time) (*Waiter, Decision) {
	if !l.usable(now) {
		return nil, unconfirmed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countArrival()
	decision := l.admitLocked(now, b)
	if decision.Admitted {
		return nil, decision
	}
	b.loans.count(now)
	if l.knownOverRate(now, b) && (b.share.Oversubscribed || !l.refillsFor(b, len(b.waiting)+1)) {
		b.totals.Refused++
		decision.OverRate = true
		return nil, decision
	}
	if !l.mayWait(now, b, deadline) {
		b.totals.Refused++
		return nil, decision
	}
	w := &Waiter{bucket: b, admitted: make(chan struct{}), futile: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	l.requestPlan()
	return w, decision
}

// knownOverRate reports whether the customer is known to be over its rate in the whole fleet, so
// that no instance has a token to lend.
func (l *Limiter) knownOverRate(now time.Time, b *Bucket) bool {
	return b.share.Oversubscribed || l.settings.RefuseFutile && b.loans.futile(now)
}

// endFutileWaits ends the waits of requests that can expect no token, the newest first.
func (l *Limiter) endFutileWaits(now time.Time, b *Bucket) {
	if !l.settings.RefuseFutile || len(b.waiting) == 0 || !b.loans.futile(now) {
		return
	}
	for len(b.waiting) > 0 && !l.refillsFor(b, len(b.waiting)) {
		last := len(b.waiting) - 1
		close(b.waiting[last].futile)
		b.waiting = slices.Delete(b.waiting, last, last+1)
		b.totals.Refused++
	}
}

// refillsFor reports whether the bucket itself yields tokens for the number of waiting requests within
// MaxWait. The caller holds the lock of the bucket.
func (l *Limiter) refillsFor(b *Bucket, waiting int) bool {
	return b.level-b.owed+b.share.Rate*l.settings.MaxWait.Seconds() >= float64(waiting)
}

// mayWait reports whether a refused request may wait for a loan.
func (l *Limiter) mayWait(now time.Time, b *Bucket, deadline time.Time) bool {
	if l.settings.NoLoans || len(b.waiting) >= l.settings.MaxWaiting {
		return false
	}
	return deadline.IsZero() || deadline.Sub(now) >= l.settings.MinTimeLeft
}

// Leave ends a wait and reports whether the request got a token.
func (l *Limiter) Leave(w *Waiter) bool {
	b := w.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		b.totals.Refused++
	}
	return w.granted
}

// AdmitWait is Admit for a request that may wait up to MaxWait for a loan. A
// request whose deadline is nearer than MinTimeLeft does not wait.
func (l *Limiter) AdmitWait(ctx context.Context, b *Bucket) Decision {
	deadline, _ := ctx.Deadline()
	w, decision := l.Wait(time.Now(), b, deadline)
	if w == nil {
		return decision
	}
	timer := time.NewTimer(l.settings.MaxWait)
	defer timer.Stop()
	select {
	case <-w.Admitted():
	case <-w.Futile():
	case <-timer.C:
	case <-ctx.Done():
	}
	if l.Leave(w) {
		return admitted
	}
	return decision
}

// admitOldest admits the request that has waited longest. At least one must wait.
func (b *Bucket) admitOldest() {
	w := b.waiting[0]
	w.granted = true
	close(w.admitted)
	b.waiting = slices.Delete(b.waiting, 0, 1)
}

// serveFromBucket admits waiting requests with the tokens of the bucket.
func (b *Bucket) serveFromBucket() {
	for len(b.waiting) > 0 && b.take() {
		b.admitOldest()
	}
}

// serveFromLoans admits waiting requests with granted spend tokens. Fractions of a
// token add up for as long as requests wait; what is left then is dropped.
func (b *Bucket) serveFromLoans(granted float64) {
	b.partialToken += granted
	for len(b.waiting) > 0 && b.partialToken >= 1-roundingTolerance {
		b.partialToken = max(0, b.partialToken-1)
		b.totals.BorrowedSpend++
		b.admitOldest()
	}
	if len(b.waiting) == 0 {
		b.totals.Dropped += b.partialToken
		b.partialToken = 0
	}
}

// requestPlan signals Wanted, so that loans are planned without waiting for the next
// interval.
func (l *Limiter) requestPlan() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}
