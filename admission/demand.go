package admission

import (
	"math"
	"time"
)

// demandMemory is the time constant of the demand estimate.
const demandMemory = 500 * time.Millisecond

// demand estimates the arrivals of one customer, admitted or not.
type demand struct {
	arrivals  int
	perSecond float64
	at        time.Time
}

// update takes the arrivals since the last update into the estimate.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() {
		d.at = now
		return
	}
	if elapsed <= 0 {
		return
	}
	latest := float64(d.arrivals) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/demandMemory.Seconds())
	d.perSecond += weight * (latest - d.perSecond)
	d.arrivals = 0
	d.at = now
}

// within returns the arrivals to expect in the period.
func (d *demand) within(period time.Duration) float64 {
	return d.perSecond * period.Seconds()
}
