package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateTimeConstant is that of the average of arrivals. An instance gets a few requests a second.
	rateTimeConstant = 4 * time.Second
	// forgottenRate is the rate in requests per second below which a customer is forgotten.
	forgottenRate = 0.01
	// minRemembered is the number of customers up to which none is forgotten.
	minRemembered = 64
)

// arrivalRate is a moving average of arrivals.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

// at returns the rate at the time.
func (a *arrivalRate) at(now time.Time) float64 {
	if a.perSecond == 0 {
		return 0
	}
	return a.perSecond * math.Exp(-now.Sub(a.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

func (a *arrivalRate) add(now time.Time) {
	a.perSecond = a.at(now) + 1/rateTimeConstant.Seconds()
	a.updatedAt = now
}

// customer holds the arrivals of one customer: first counts requests that were not refused before,
// back the others.
type customer struct{ first, back arrivalRate }

// observe counts a request of a customer and returns its state. Returns do not add to what the
// customer asks for.
func (l *level) observe(now time.Time, name string, ret returnKind) *customer {
	c := l.customers[name]
	if c == nil {
		l.forget(now)
		c = &customer{}
		l.customers[name] = c
	}
	if ret == fresh {
		c.first.add(now)
	} else {
		c.back.add(now)
	}
	return c
}

// forget removes the customers without recent requests.
func (l *level) forget(now time.Time) {
	if len(l.customers) < minRemembered {
		return
	}
	maps.DeleteFunc(l.customers, func(_ string, c *customer) bool {
		return c.first.at(now)+c.back.at(now) < forgottenRate
	})
}

// share returns the fraction of the customer's callers that may pass by max-min fairness.
func (l *level) share(now time.Time, of *customer) float64 {
	rates := make([]float64, 0, len(l.customers))
	total := 0.0
	for _, c := range l.customers {
		rate := c.first.at(now)
		rates = append(rates, rate)
		total += rate
	}
	slices.Sort(rates)
	left := l.fraction * total
	part := 0.0
	for n, rate := range rates {
		part = left / float64(len(rates)-n)
		if rate > part {
			break
		}
		left -= rate
	}
	return min(1, part/max(of.first.at(now), forgottenRate))
}

// chance returns the probability with which a request of the customer may pass that has the share.
// Requests that have returned as told go first; the others keep at least MinFraction of the share.
func (c *customer) chance(now time.Time, share float64, back bool) float64 {
	// returns is the number of returns for each first request.
	returns := c.back.at(now) / max(c.first.at(now), forgottenRate)
	chanceOfReturn := 1.0
	if returns > share {
		chanceOfReturn = share / returns
	}
	if back {
		return chanceOfReturn
	}
	return max(share-returns*chanceOfReturn, MinFraction*share)
}
