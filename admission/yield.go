package admission

import "time"

const (
	// yieldWeight is the weight of a loan in the moving average of the yield. Four loans without a
	// token, about as many as a wait of two round trips between regions sees, make loans futile.
	yieldWeight = 0.3
	// minYield is the yield below which loans are futile. A customer at four times its rate finds
	// at most a quarter of the tokens that it asks for.
	minYield = 0.25
	// yieldMaxAge is the time after the last loan for which the yield holds. Each request that is
	// refused at once causes a loan, so it is older only if there was no such request.
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
	return y.missing > 1-minYield && now.Sub(y.updatedAt) <= yieldMaxAge
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
}

// probe returns the tokens to borrow on behalf of a request that was refused because loans are
// futile: they serve its return, and show when there are tokens again without making a request wait.
func (b *Bucket) probe() float64 {
	if !b.loanWanted {
		return 0
	}
	b.loanWanted = false
	return nonNegative(min(1, float64(b.share.Burst)-b.level-b.reserved))
}
