package admission

import "time"

// smallestAsked is the least number of tokens that is asked for.
const smallestAsked = 0.2

// loanTrip is the time of a loan for which room is left for the own rate.
const loanTrip = 50 * time.Millisecond

// The time between two requests to a peer that has too little, for a customer
// whose demand may be within its rate and for one whose demand is not.
const (
	gainPeriod     = 40 * time.Millisecond
	gainPeriodOver = 250 * time.Millisecond
)

// need is what one bucket lacks.
type need struct {
	bucket  *Bucket
	holders []string
	reserve float64
	spend   float64
	// equalBurst and equalRate are an equal part of the customer's burst and
	// rate for each instance that owns tokens.
	equalBurst float64
	equalRate  float64
	// over is set when the demand here alone exceeds the customer's rate.
	over bool
}

// need serves the bucket's waiting requests and returns what it lacks.
func (l *Limiter) need(now time.Time, b *Bucket) need {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.demand.update(now)
	b.serveOwn()
	horizon := l.settings.Horizon
	b.serveSpend(0)
	b.rest(horizon)
	waiting := float64(len(b.waiting)) - b.spendAsked - b.change
	ahead := max(waiting, b.wanted(horizon)) - b.level - b.reserved
	room := float64(b.share.Burst) - b.level - b.reserved - b.share.Rate*loanTrip.Seconds()
	owners := float64(len(l.peers) + 1)
	if b.share.Holders != nil {
		owners = float64(len(b.share.Holders))
	}
	n := need{
		bucket:     b,
		holders:    b.share.Holders,
		reserve:    positive(min(ahead, room)),
		equalBurst: max(1, float64(b.share.Customer.Burst)/owners),
		equalRate:  b.share.Customer.Rate / owners,
		over:       b.demand.perSecond > b.share.Customer.Rate,
	}
	n.spend = positive(waiting - b.level - b.reserved - n.reserve)
	if n.reserve < smallestAsked {
		n.reserve = 0
	}
	if n.spend > rounding {
		n.spend = max(n.spend, smallestAsked)
	}
	return n
}

// wanted returns the tokens that the bucket should have for the demand of the
// period: what its own rate will not bring, and one for the next request.
func (b *Bucket) wanted(period time.Duration) float64 {
	if b.demand.perSecond <= b.share.Rate {
		return 0
	}
	return b.demand.within(period) - b.share.Rate*period.Seconds() + 1
}

// least returns the fewest tokens for which a peer is asked that cannot meet
// the need: what it gains in the time between two requests.
func (n need) least() float64 {
	period := gainPeriod
	if n.over {
		period = gainPeriodOver
	}
	return max(smallestAsked, min(n.equalRate*period.Seconds(), n.equalBurst/2))
}
