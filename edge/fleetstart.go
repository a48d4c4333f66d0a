package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

// When all instances start at one moment, each of them reads the store before the others have
// registered, and would admit the whole rate of a customer: 10 instances ran 351 to 416 requests
// in 5 s where 284 were allowed. Until an instance has read the registrations once more, after its
// own, it divides the rates as if the fleet had assumedPerDomain instances in each failure domain.
const (
	assumedPerDomain = 2
	// fleetReadSettle is the time after that read in which the instances that registered later make
	// themselves known: two control ticks.
	fleetReadSettle = 2 * controlTick
	// maxFleetAssumption is the time after the start at which the assumption ends without that
	// read. The leaders watch the registrations from watchSettleTime on.
	maxFleetAssumption = watchSettleTime + 500*time.Millisecond
)

// assumedInstances returns the number of instances among which the rates of customers are divided
// at least.
func (c *control) assumedInstances(now time.Time) int {
	if now.Sub(c.startedAt) >= maxFleetAssumption || !c.fleetReadAt.IsZero() && now.Sub(c.fleetReadAt) >= fleetReadSettle {
		return 1
	}
	return assumedPerDomain * len(c.deps.settings.Domains)
}

// fleetRead holds the registrations that were read after this instance had registered.
type fleetRead struct {
	entries  []platform.Entry
	revision platform.Revision
}

func (e fleetRead) apply(c *control, now time.Time) {
	c.applyRecords(now, c.merge(now, recordsRead{entries: e.entries, revision: e.revision}), false)
	c.fleetReadAt = now
}

// readFleet reads the registrations after the first one of this instance, unless the read before
// it had those of a whole fleet. Of two instances that start at the same time, at least the one that
// has registered last then knows the other.
func (r *registrar) readFleet(ctx context.Context) {
	if r.fleetRead || r.known >= r.assumedFleet {
		return
	}
	entries, revision, err := r.store.List(ctx, records.PrefixInstances)
	if err != nil {
		// The watch of the leader brings the registrations later.
		r.log.Warn("registrations were not read", zap.Error(err))
		return
	}
	r.fleetRead = true
	r.post(fleetRead{entries: entries, revision: revision})
}
