package edge

import (
	"context"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/lending"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/sharetable"
)

// configureRates takes the customers' rates and bursts from a configuration.
func (c *control) configureRates(now time.Time, table *routing.Table) {
	bounds := c.deps.bounds.Load()
	tolerance := quota.Tolerance{Window: bounds.RateWindow, Excess: bounds.RateExcess, Slack: bounds.RateSlack}
	c.setRatePeers(now)
	limited := lo.Filter(table.Customers, func(customer *routing.Customer, _ int) bool { return customer.Rate > 0 })
	c.rates.Configure(lo.Map(limited, func(customer *routing.Customer, _ int) quota.Customer {
		unwindowed := quota.Customer{Name: customer.Name, Rate: customer.Rate, Burst: float64(customer.Burst)}
		return quota.Windowed(unwindowed, tolerance)
	}))
	c.applyRates(now)
}

// divideInterval is the time between two divisions of the customers' rates. Peers report
// their demand about once a second.
const divideInterval = 250 * time.Millisecond

// divideRates recomputes this instance's allocations from what the peers report, once in
// divideInterval.
func (c *control) divideRates(now time.Time) {
	c.deps.limiter.Tick(now)
	if now.Sub(c.dividedAt) < divideInterval {
		return
	}
	c.dividedAt = now
	peers := c.setRatePeers(now)
	c.rates.Tick(now, c.arrivals)
	c.deps.limiter.SetPeers(lenders(peers))
	c.applyRates(now)
}

// setRatePeers tells the divider among whom the customers' rates are divided, and returns the peers.
func (c *control) setRatePeers(now time.Time) *membership.Peers {
	peers := c.members.Snapshot(now)
	sources, complete := c.sources(now, peers)
	direct, domains := lo.FilterReject(sources, func(s source, _ int) bool { return !s.domain })
	name := func(s source, _ int) string { return s.name }
	c.rates.SetPeers(quota.Peers{
		Direct:      lo.Map(direct, name),
		Domains:     lo.Map(domains, name),
		Instances:   max(len(peers.All)+1, c.assumedInstances(now)),
		Complete:    complete,
		Convergence: c.convergence(peers, quota.RelayedConvergence),

		DirectConvergence: c.convergence(peers, quota.DirectConvergence),
	})
	return peers
}

// convergence returns the time after which every instance has received what one announces. It is
// the relayed time where leaders relay announcements, stretched like the heartbeats.
func (c *control) convergence(peers *membership.Peers, relayed time.Duration) time.Duration {
	if peers.FullMesh() {
		relayed = quota.DirectConvergence
	}
	stretch := max(1, c.members.Interval().Seconds()/quota.ConvergenceInterval.Seconds())
	return time.Duration(stretch * float64(relayed))
}

// arrivals returns the cumulative number of requests of the customer at this instance.
func (c *control) arrivals(name string) uint64 {
	b := c.deps.limiter.Bucket(name)
	if b == nil {
		return 0
	}
	totals := b.Totals()
	return totals.Admitted + totals.BorrowedSpend + totals.Refused
}

// applyRates configures the limiter with this instance's allocations.
func (c *control) applyRates(now time.Time) {
	shares := lo.Map(c.rates.Allocations(), func(p quota.Allocation, _ int) sharetable.Share {
		return sharetable.Share{
			Customer:       sharetable.Customer{Name: p.Customer.Name, Rate: p.Customer.Rate, Burst: int(p.Customer.Burst)},
			Rate:           p.Rate,
			Burst:          p.Burst,
			Oversubscribed: p.Oversubscribed,
		}
	})
	c.deps.limiter.Configure(now, shares, true)
}

// milliPerUnit is the number of thousandths in one.
const milliPerUnit = 1000

// demandsMessage returns the message for the demand of customers. A demand that rounds to
// nothing is left out.
func demandsMessage(demand quota.Demand) *entrypb.Demands {
	m := &entrypb.Demands{}
	for customer, perSecond := range demand {
		milli := uint32(perSecond * milliPerUnit)
		if milli == 0 {
			continue
		}
		m.Customers = append(m.Customers, uint32(customer))
		m.MilliPerSecond = append(m.MilliPerSecond, milli)
	}
	return m
}

// demandOf returns the demand in the message, which may be nil.
func demandOf(m *entrypb.Demands) quota.Demand {
	demand := make(quota.Demand, len(m.GetCustomers()))
	for n, customer := range m.GetCustomers() {
		if n < len(m.GetMilliPerSecond()) {
			demand[quota.ID(customer)] += float64(m.GetMilliPerSecond()[n]) / milliPerUnit
		}
	}
	return demand
}

// requestLoans asks peers for the tokens that customers lack at this instance.
func (c *control) requestLoans(now time.Time) {
	for _, request := range c.deps.limiter.PlanLoans(now) {
		c.background(lending.Timeout, func(ctx context.Context) event {
			lending.Borrow(ctx, c.deps.peers, c.deps.limiter, request.Peer, c.deps.identity, 0, request)
			return nil
		})
	}
}

// lenders returns the peers that can be asked for loans, named by their RPC addresses.
func lenders(peers *membership.Peers) []admission.Peer {
	return lo.FilterMap(peers.All, func(p *membership.Peer, _ int) (admission.Peer, bool) {
		distance := admission.OtherRegion
		switch {
		case p.FailureDomain == peers.Self.FailureDomain:
			distance = admission.SameDomain
		case p.Region == peers.Self.Region:
			distance = admission.SameRegion
		}
		return admission.Peer{Name: p.RPCAddress, Distance: distance}, p.Usable()
	})
}
