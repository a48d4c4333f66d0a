package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/rpc/entrypb"
)

// largeFleet describes the heartbeats in a fleet in which every customer has demand at every
// instance.
type largeFleet struct {
	// domains maps the failure domains to their regions.
	domains map[string]string
	// others are all instances but one in the failure domain of self.
	others []platform.Instance
	// leaders holds the names of the leaders of the other failure domains, and of an
	// instance in that of self.
	leaders map[string]bool
	demands *entrypb.Demands
}

const (
	fleetInstances       = 85
	fleetCustomers       = 85
	demandOfEachCustomer = 12.3
)

func newLargeFleet() *largeFleet {
	const regions, domainsPerRegion = 3, 3
	f := &largeFleet{domains: map[string]string{}, leaders: map[string]bool{}}
	demand := quota.Demand{}
	for n := range fleetCustomers {
		demand[quota.IDOf(fmt.Sprintf("customer-%03d", n))] = demandOfEachCustomer
	}
	f.demands = demandsMessage(demand)
	for n := range regions * domainsPerRegion {
		f.domains[fmt.Sprintf("domain-%d", n)] = fmt.Sprintf("region-%d", n/domainsPerRegion)
	}
	for n := 1; n < fleetInstances; n++ {
		i := platform.Instance{
			Name: fmt.Sprintf("edge-instance-%02d", n), Role: membership.RoleEntry,
			Address: fmt.Sprintf("10.64.100.%d:8206", n), RPCAddress: fmt.Sprintf("10.64.100.%d:8207", n),
			FailureDomain: fmt.Sprintf("domain-%d", n%len(f.domains)), State: platform.InstanceLive,
		}
		f.others = append(f.others, i)
		f.leaders[i.Name] = n <= len(f.domains)
	}
	return f
}

func (f *largeFleet) sum(domain string) *entrypb.DomainSum {
	loads := make([]*entrypb.ServiceLoad, 3)
	for n := range loads {
		loads[n] = &entrypb.ServiceLoad{Service: fmt.Sprint("service-", n), MilliPerSecond: 100_000}
	}
	return &entrypb.DomainSum{FailureDomain: domain, Region: f.domains[domain], AgeMs: 1000, Demands: f.demands, Loads: loads}
}

// state returns the heartbeat of the instance to self, which is in domain-0.
func (f *largeFleet) state(i platform.Instance, leads bool) *entrypb.State {
	const own = "domain-0"
	s := &entrypb.State{
		Identity: &entrypb.Identity{
			Name: i.Name, Incarnation: membership.NewIncarnation(i.Name, 1<<60), Address: i.Address, RpcAddress: i.RPCAddress,
			FailureDomain: i.FailureDomain, Region: f.domains[i.FailureDomain],
		},
		StoreRevision: 1 << 41,
		ConfigVersion: 100,
	}
	if i.FailureDomain != own {
		if leads {
			s.DomainSums = []*entrypb.DomainSum{f.sum(i.FailureDomain)}
		}
		return s
	}
	s.Demands = f.demands
	s.Loads = f.sum(own).Loads
	for domain := range f.domains {
		if leads && domain != own {
			s.DomainSums = append(s.DomainSums, f.sum(domain))
		}
	}
	return s
}

// Guards against configurations that are in force late: an instance that loses its peers reads
// the store itself after 1.2 heartbeat intervals and 1 s, and heartbeats come the more seldom
// the larger they are.
func TestHeartbeatsOfManyCustomersAreFrequent(t *testing.T) {
	const (
		inForce  = 3 * time.Second
		bound    = (inForce - time.Second) * 10 / 12
		duration = 3 * time.Minute
	)
	f := newLargeFleet()
	for name, selfLeads := range map[string]bool{"leader": true, "member": false} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			c.deps.identity.FailureDomain, c.deps.identity.Region = "domain-0", "region-0"
			c.members.SetRegions(f.domains)
			c.members.SetInstances(f.others, now)
			byAddress := lo.KeyBy(f.others, func(i platform.Instance) string { return i.RPCAddress })
			for end := now.Add(duration); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for _, target := range c.members.Due(now) {
					i := byAddress[target.RPCAddress]
					leads := f.leaders[i.Name] && !(selfLeads && i.FailureDomain == "domain-0")
					c.members.HandleResponse(i.RPCAddress, f.state(i, leads), now)
				}
			}
			assert.Assert(t, c.members.Interval() <= bound, "interval %v, bound %v", c.members.Interval(), bound)
		})
	}
}

func TestAMemberSendsTheSumOfItsDomainWhileItsLeaderIsQuiet(t *testing.T) {
	c := newTestControl(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	f := newLargeFleet()
	c.deps.identity.FailureDomain, c.deps.identity.Region = "domain-0", "region-0"
	c.members.SetRegions(f.domains)
	c.members.SetInstances(f.others, now)
	// An instance that does not reach the store does not lead.
	c.members.SetSelf(&entrypb.State{StoreAway: true})
	for _, i := range f.others {
		c.members.HandleResponse(i.RPCAddress, f.state(i, false), now)
	}
	for name, test := range map[string]struct {
		later    time.Duration
		toLeader bool
		want     int
	}{
		"the leader is on time":             {0, true, 0},
		"the leader is late":                {2 * time.Second, true, 1},
		"to an instance that does not lead": {2 * time.Second, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			at := now.Add(test.later)
			peers := c.members.Snapshot(at)
			assert.Assert(t, !peers.IsLeader(), "another instance leads")
			assert.Equal(t, len(c.stateFor(at, peers, "domain-4", test.toLeader).GetDomainSums()), test.want)
		})
	}
}
