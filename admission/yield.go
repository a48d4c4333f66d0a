package admission

import (
	"math"
	"time"
)

const (
	// yieldWeight is the weight of a loan in the moving average of the yield. Four loans without a
	// token, about as many as a wait of two round trips between regions sees, make loans futile.
	yieldWeight = 0.3
	// minYield is the yield below which loans are futile. A customer at four times its rate finds
	// at most a quarter of the tokens that it asks for.
	minYield = 0.25
	// owedFraction is the fraction of the surplus that a bucket owes once loans are futile. While the
	// demand moves, the allocations add up to less than the rate for some seconds, which makes up for
	// the rest: with 0.25 a window holds what it held when waiting requests wasted fractions of tokens,
	// with 0.15 more, with 0.35 the customer gets less than its rate.
	owedFraction = 0.25
	// minWithoutToken is the number of recent requests that found no token from which on loans count as
	// futile. After a start all buckets are empty, also those of customers within their rate, but few
	// of their requests come to one instance.
	minWithoutToken = 2
	// withoutTokenTimeConstant is that of the decay of this number.
	withoutTokenTimeConstant = 3 * time.Second
	// yieldMaxAge is the time after the last loan for which the yield holds. While it holds, no loan is
	// asked for; then a request waits and shows whether there are tokens again.
	yieldMaxAge = 2 * time.Second
)

// loanYield estimates the part of the requested tokens that peers lend for a customer. While the
// customer is within its rate, most peers have tokens; once it is over its rate everywhere, none
// has. Loans show that seconds before the announced demand does, which is averaged over seconds
// and passes through the leaders of the failure domains.
type loanYield struct {
	// missing is 1 less the yield, so that the zero value expects all tokens.
	missing   float64
	updatedAt time.Time
	// withoutToken is the decaying number of requests that found no token, as of countedAt.
	withoutToken float64
	countedAt    time.Time
}

// count counts a request that found no token.
func (y *loanYield) count(now time.Time) {
	y.withoutToken = 1 + y.recent(now)
	y.countedAt = now
}

// recent returns the number of recent requests that found no token.
func (y *loanYield) recent(now time.Time) float64 {
	return y.withoutToken * math.Exp(-now.Sub(y.countedAt).Seconds()/withoutTokenTimeConstant.Seconds())
}

// observe records a response to a request for tokens.
func (y *loanYield) observe(now time.Time, requested, granted float64) {
	if requested <= 0 {
		return
	}
	if now.Sub(y.updatedAt) > yieldMaxAge {
		y.missing = 0
	}
	y.missing += yieldWeight * (1 - min(granted/requested, 1) - y.missing)
	y.updatedAt = now
}

// futile reports whether a request would wait for a loan in vain.
func (y *loanYield) futile(now time.Time) bool {
	return y.missing > 1-minYield && y.recent(now) >= minWithoutToken && now.Sub(y.updatedAt) <= yieldMaxAge
}

// observeYield records the grant for one item of a loan. A loan whose response is lost says nothing
// about the customer.
func (l *Limiter) observeYield(now time.Time, item Item, g Grant) {
	b := l.Bucket(item.Customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans.observe(now, item.Spend+item.Reserve, nonNegative(g.Spend)+nonNegative(g.Reserve))
	if l.settings.RefuseFutile && !b.charged && b.loans.futile(now) {
		b.charged = true
		b.owed = owedFraction * b.surplus()
	}
}

// surplus returns by how much the burst of the bucket exceeds the customer's burst divided like its
// rate. In a large fleet a bucket is larger than its part, so that loans fit in. A customer over its rate
// has used that in all buckets at once.
func (b *Bucket) surplus() float64 {
	whole := b.share.Customer
	if whole.Rate <= 0 {
		return 0
	}
	return nonNegative(float64(b.share.Burst) - float64(whole.Burst)*b.share.Rate/whole.Rate)
}
