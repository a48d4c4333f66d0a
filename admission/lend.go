package admission

import (
	"math"
	"time"
)

// Item asks for tokens of one customer.
type Item struct {
	Customer string
	// Reserve tokens go into room that the borrower has reserved.
	Reserve float64
	// Spend tokens are used by requests that wait now, or are dropped.
	Spend float64
}

// Grant is what a lender took out of its bucket for one Item.
type Grant struct {
	Customer string
	Reserve  float64
	Spend    float64
	// Remaining is what the lender could lend besides.
	Remaining float64
}

// Lend takes the tokens that can be lent out of the buckets, in the order of
// the items. The caller sends the grants; it must not repeat them. Spend
// tokens come first; both kinds may be parts of a token.
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

func (l *Limiter) lendFrom(now time.Time, b *Bucket, item Item) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	kept := b.demand.within(l.settings.Horizon) + float64(len(b.waiting))
	spend := min(positive(item.Spend), positive(b.level-math.Floor(kept)))
	b.level -= spend
	reserve := min(positive(item.Reserve), positive(b.level-kept))
	b.level -= reserve
	b.totals.LentSpend += spend
	b.totals.LentReserve += reserve
	l.settings.Checker.Check(b.within(), InvariantRoom, b.customer)
	return Grant{
		Customer:  item.Customer,
		Reserve:   reserve,
		Spend:     spend,
		Remaining: positive(b.level - kept),
	}
}

// positive returns x, or 0 when x is negative or not a number.
func positive(x float64) float64 {
	if x > 0 {
		return x
	}
	return 0
}
