package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential moving average.
const demandTimeConstant = 500 * time.Millisecond

// demand estimates the arrival rate of one customer's requests, admitted or not.
type demand struct {
	arrivals  int
	perSecond float64
	updatedAt time.Time
}

// update adds the arrivals since the last update to the estimate.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if d.updatedAt.IsZero() {
		d.updatedAt = now
		return
	}
	if elapsed <= 0 {
		return
	}
	latest := float64(d.arrivals) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	d.perSecond += weight * (latest - d.perSecond)
	d.arrivals = 0
	d.updatedAt = now
}

// within returns the expected number of arrivals in the period.
func (d *demand) within(period time.Duration) float64 {
	return d.perSecond * period.Seconds()
}
