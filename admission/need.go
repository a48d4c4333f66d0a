package admission

import "time"

// minRequestTokens is the least number of tokens that a request asks for.
const minRequestTokens = 0.2

// loanRoundTrip is the time that a loan takes. Capacity is left for the tokens that
// this instance's rate yields in the meantime.
const loanRoundTrip = 50 * time.Millisecond

// The time between two requests to a peer that cannot meet the whole need, for a
// customer whose demand may be within its rate and for one whose demand is not.
const (
	lenderInterval         = 40 * time.Millisecond
	lenderIntervalOverRate = 250 * time.Millisecond
)

// need is the number of tokens that one bucket lacks.
type need struct {
	bucket  *Bucket
	holders []string
	reserve float64
	spend   float64
	// equalBurst and equalRate are the customer's burst and rate divided equally
	// among the instances that own tokens; equalBurst is at least 1.
	equalBurst float64
	equalRate  float64
	// overRate is set when this instance's demand alone exceeds the customer's rate.
	overRate bool
}

// need serves the bucket's waiting requests and returns the tokens that it lacks.
func (l *Limiter) need(now time.Time, b *Bucket) need {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.demand.update(now)
	b.serveFromBucket()
	b.serveFromLoans(0)
	b.updateActive(l.settings.Horizon)
	n := b.newNeed(len(l.peers) + 1)
	if !l.knownOverRate(now, b) {
		n.reserve, n.spend = b.deficit(l.settings.Horizon)
	}
	return n
}

// newNeed returns a need of no tokens, with the equal shares of the instances.
func (b *Bucket) newNeed(instances int) need {
	customer := b.share.Customer
	owners := float64(instances)
	if b.share.Holders != nil {
		owners = float64(len(b.share.Holders))
	}
	return need{
		bucket:     b,
		holders:    b.share.Holders,
		equalBurst: max(1, float64(customer.Burst)/owners),
		equalRate:  customer.Rate / owners,
		overRate:   b.demand.perSecond > customer.Rate,
	}
}

// deficit returns the tokens that the bucket lacks and has capacity for, and those
// that waiting requests need in addition.
func (b *Bucket) deficit(horizon time.Duration) (reserve, spend float64) {
	available := b.level + b.reserved
	waiting := float64(len(b.waiting)) - b.spendRequested - b.partialToken
	capacity := float64(b.share.Burst) - available - b.share.Rate*loanRoundTrip.Seconds()
	reserve = nonNegative(min(max(waiting, b.targetTokens(horizon))-available, capacity))
	spend = nonNegative(waiting - available - reserve)
	if reserve < minRequestTokens && waiting <= 0 {
		reserve = 0
	}
	if spend > roundingTolerance {
		spend = max(spend, minRequestTokens)
	}
	return reserve, spend
}

// targetTokens returns the tokens that the bucket should have for the demand in the
// period: what its rate doesn't yield, and one for the next request.
func (b *Bucket) targetTokens(period time.Duration) float64 {
	if b.demand.perSecond <= b.share.Rate {
		return 0
	}
	return b.demand.within(period) - b.share.Rate*period.Seconds() + 1
}

// minExpected returns how many tokens a peer that cannot meet the whole need must at
// least be expected to lend in order to be asked: what it gains between two requests.
func (n need) minExpected() float64 {
	period := lenderInterval
	if n.overRate {
		period = lenderIntervalOverRate
	}
	return max(minRequestTokens, min(n.equalRate*period.Seconds(), n.equalBurst/2))
}
