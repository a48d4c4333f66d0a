package edge

import (
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/rpc/entrypb"
)

const (
	// demandInterval is the minimum time over which arrivals are counted.
	demandInterval = time.Second
	// demandSmoothing is the weight of a new sample in the moving average.
	demandSmoothing = 0.3
)

// serviceDemand measures the request rate of callers at this instance for each service,
// in requests per second.
type serviceDemand struct {
	sampledAt time.Time
	arrivals  map[string]uint64
	rates     map[string]float64
}

func newServiceDemand() *serviceDemand {
	return &serviceDemand{arrivals: map[string]uint64{}, rates: map[string]float64{}}
}

// sample updates the rates from the cumulative arrivals. It returns whether the rates
// were updated.
func (d *serviceDemand) sample(now time.Time, arrivals map[string]uint64) bool {
	elapsed := now.Sub(d.sampledAt)
	if elapsed < demandInterval {
		return false
	}
	first := d.sampledAt.IsZero()
	d.sampledAt = now
	for name, total := range arrivals {
		rate := float64(total-min(d.arrivals[name], total)) / elapsed.Seconds()
		if !first {
			d.rates[name] += demandSmoothing * (rate - d.rates[name])
		}
	}
	d.arrivals = arrivals
	return !first
}

// balance passes the demand of all regions to the placement pool.
func (c *control) balance(now time.Time) {
	if !c.demand.sample(now, c.deps.pool.Arrivals()) {
		return
	}
	demand := map[string]placement.Demand{}
	add := func(service, region string, perSecond float64) {
		if demand[service] == nil {
			demand[service] = placement.Demand{}
		}
		demand[service][region] += perSecond
	}
	for service, perSecond := range c.demand.rates {
		add(service, c.deps.settings.Region, perSecond)
	}
	sources, _ := c.sources(now, c.members.Snapshot(now))
	for _, source := range sources {
		for _, load := range source.loads {
			add(load.GetService(), source.region, float64(load.GetMilliPerSecond())/milliPerUnit)
		}
	}
	c.deps.pool.StepShares(now, demand)
	for service, regions := range demand {
		c.deps.log.Debug("shares of the regions",
			zap.String("service", service),
			zap.Any("demand_per_second", regions),
			zap.Any("shares", c.deps.pool.Shares(service)),
		)
	}
}

// serviceLoads returns this instance's demand by service for heartbeats.
func (c *control) serviceLoads() []*entrypb.ServiceLoad {
	loads := make([]*entrypb.ServiceLoad, 0, len(c.demand.rates))
	for service, perSecond := range c.demand.rates {
		loads = append(loads, &entrypb.ServiceLoad{Service: service, MilliPerSecond: uint32(perSecond * milliPerUnit)})
	}
	return loads
}
