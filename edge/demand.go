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

// demandKey identifies requests for a service: those that may run in one region only, or all
// others if pinnedTo is empty.
type demandKey struct{ service, pinnedTo string }

// serviceDemand measures the request rate of callers at this instance, in requests per second.
type serviceDemand struct {
	sampledAt time.Time
	arrivals  map[demandKey]uint64
	rates     map[demandKey]float64
}

func newServiceDemand() *serviceDemand {
	return &serviceDemand{arrivals: map[demandKey]uint64{}, rates: map[demandKey]float64{}}
}

// sample updates the rates from the cumulative arrivals. It returns whether the rates
// were updated.
func (d *serviceDemand) sample(now time.Time, arrivals map[demandKey]uint64) bool {
	elapsed := now.Sub(d.sampledAt)
	if elapsed < demandInterval {
		return false
	}
	first := d.sampledAt.IsZero()
	d.sampledAt = now
	for key, total := range arrivals {
		rate := float64(total-min(d.arrivals[key], total)) / elapsed.Seconds()
		if !first {
			d.rates[key] += demandSmoothing * (rate - d.rates[key])
		}
	}
	d.arrivals = arrivals
	return !first
}

// arrivalsByKey returns the cumulative number of requests at this instance.
func (c *control) arrivalsByKey() map[demandKey]uint64 {
	arrivals := map[demandKey]uint64{}
	// The pinned ones are read first: those that arrive in between count as free.
	pinned := c.deps.pool.PinnedArrivals()
	for service, total := range c.deps.pool.Arrivals() {
		for region, n := range pinned[service] {
			arrivals[demandKey{service, region}] = n
			total -= n
		}
		arrivals[demandKey{service: service}] = total
	}
	return arrivals
}

// regionDemand is the demand for each service by region.
type regionDemand map[string]placement.Demand

func (d regionDemand) add(service, region string, perSecond float64) {
	if d[service] == nil {
		d[service] = placement.Demand{}
	}
	d[service][region] += perSecond
}

// balance passes the demand of all regions to the placement pool.
func (c *control) balance(now time.Time) {
	if !c.demand.sample(now, c.arrivalsByKey()) {
		return
	}
	demand, pinned := regionDemand{}, regionDemand{}
	add := func(key demandKey, region string, perSecond float64) {
		if key.pinnedTo != "" {
			pinned.add(key.service, key.pinnedTo, perSecond)
			return
		}
		demand.add(key.service, region, perSecond)
	}
	for key, perSecond := range c.demand.rates {
		add(key, c.deps.settings.Region, perSecond)
	}
	sources, _ := c.sources(now, c.members.Snapshot(now))
	for _, source := range sources {
		for _, load := range source.loads {
			add(demandKeyOf(load), source.region, float64(load.GetMilliPerSecond())/milliPerUnit)
		}
	}
	for _, service := range c.deps.pool.StepShares(now, demand, pinned) {
		c.deps.metrics.Counter("ferry_stable_share_steps_total", "service", service).Inc()
	}
	c.logLimits()
	for service, regions := range demand {
		c.deps.log.Debug("shares of the regions",
			zap.String("service", service),
			zap.Any("demand_per_second", regions),
			zap.Any("pinned_per_second", pinned[service]),
			zap.Any("shares", c.deps.pool.Shares(service)),
		)
	}
}

// serviceLoads returns this instance's demand by service for heartbeats.
func (c *control) serviceLoads() []*entrypb.ServiceLoad {
	loads := make([]*entrypb.ServiceLoad, 0, len(c.demand.rates))
	for key, perSecond := range c.demand.rates {
		loads = append(loads, serviceLoad(key, uint32(perSecond*milliPerUnit)))
	}
	return loads
}

func serviceLoad(key demandKey, milliPerSecond uint32) *entrypb.ServiceLoad {
	return &entrypb.ServiceLoad{Service: key.service, PinnedRegion: key.pinnedTo, MilliPerSecond: milliPerSecond}
}

func demandKeyOf(load *entrypb.ServiceLoad) demandKey {
	return demandKey{service: load.GetService(), pinnedTo: load.GetPinnedRegion()}
}
