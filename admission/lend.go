package admission

import (
	"math"
	"time"
)

// Item requests tokens of one customer.
type Item struct {
	Customer string
	// Reserve is the number of tokens for capacity that the borrower has reserved.
	Reserve float64
	// Spend is the number of tokens for requests that wait now; the rest is dropped.
	Spend float64
}

// Grant is the number of tokens that a lender took out of its bucket for one Item.
type Grant struct {
	Customer string
	Reserve  float64
	Spend    float64
	// Remaining is the number of tokens that the lender could still lend.
	Remaining float64
}

// Lend takes the tokens that can be lent out of the buckets, in the order of
// the items, and returns one grant for each. The caller must send the grants at most
// once. Spend tokens have priority; both kinds may be fractions of a token.
func (l *Limiter) Lend(now time.Time, items []Item) []Grant {
	grants := make([]Grant, 0, len(items))
	usable := l.usable(now)
	for _, item := range items {
		grant := Grant{Customer: item.Customer}
		if b := l.Bucket(item.Customer); b != nil && usable {
			grant = l.lendFrom(now, b, item)
		}
		grants = append(grants, grant)
	}
	return grants
}

// lendFrom takes the tokens of one item out of the bucket. The bucket retains the
// expected demand within the horizon and a token for each waiting request; for spend
// tokens the sum is rounded down.
func (l *Limiter) lendFrom(now time.Time, b *Bucket, item Item) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	retained := b.demand.within(l.settings.Horizon) + float64(len(b.waiting))
	spend := min(nonNegative(item.Spend), nonNegative(b.level-math.Floor(retained)))
	b.level -= spend
	reserve := min(nonNegative(item.Reserve), nonNegative(b.level-retained))
	b.level -= reserve
	b.totals.LentSpend += spend
	b.totals.LentReserve += reserve
	l.settings.Checker.Check(b.withinBurst(), InvariantWithinBurst, b.customer)
	return Grant{
		Customer:  item.Customer,
		Reserve:   reserve,
		Spend:     spend,
		Remaining: nonNegative(b.level - retained),
	}
}

// nonNegative returns x, or 0 if x is negative or NaN.
func nonNegative(x float64) float64 {
	if x > 0 {
		return x
	}
	return 0
}
