package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/rpc/entrypb"
)

const (
	// minMaxSumAge is the greatest age, at least, at which the sum of a failure domain counts
	// as fresh.
	minMaxSumAge = 5 * time.Second
	// maxSumIntervals is that age in heartbeat intervals. It allows for two missed exchanges
	// on the way.
	maxSumIntervals = 5
)

// source is what one instance, or all instances of another failure domain together,
// report of their callers.
type source struct {
	name string
	// domain reports whether the source is a whole failure domain.
	domain bool
	// countedBy identifies whose version counts these are: those of an incarnation,
	// whose last counts remain after it ends, or of a failure domain.
	countedBy string
	region    string
	demands   *entrypb.Demands
	loads     []*entrypb.ServiceLoad
	counts    []*entrypb.VersionCount
}

// domainSums holds the latest sums of the other failure domains. In a fleet that is too
// large for heartbeats between all instances, the leaders of the domains exchange these
// sums and pass them on within their domains.
type domainSums struct {
	local    string
	received map[string]receivedSum
}

// receivedSum is a received sum with the local time at which it was computed.
type receivedSum struct {
	sum     *entrypb.DomainSum
	takenAt time.Time
}

func newDomainSums(local string) *domainSums {
	return &domainSums{local: local, received: map[string]receivedSum{}}
}

// merge stores the sums that are newer than those held, and returns their domains.
func (d *domainSums) merge(now time.Time, sums []*entrypb.DomainSum) []string {
	var newer []string
	for _, sum := range sums {
		domain := sum.GetFailureDomain()
		takenAt := now.Add(-time.Duration(sum.GetAgeMs()) * time.Millisecond)
		if domain == d.local || !takenAt.After(d.received[domain].takenAt) {
			continue
		}
		d.received[domain] = receivedSum{sum: sum, takenAt: takenAt}
		newer = append(newer, domain)
	}
	return newer
}

// messages returns the sums of the other domains with their current age, to be passed
// on.
func (d *domainSums) messages(now time.Time) []*entrypb.DomainSum {
	return lo.MapToSlice(d.received, func(_ string, r receivedSum) *entrypb.DomainSum {
		return &entrypb.DomainSum{
			FailureDomain: r.sum.GetFailureDomain(),
			Region:        r.sum.GetRegion(),
			AgeMs:         uint64(now.Sub(r.takenAt).Milliseconds()),
			Demands:       r.sum.GetDemands(),
			Loads:         r.sum.GetLoads(),
			VersionCounts: r.sum.GetVersionCounts(),
		}
	})
}

// source returns the sum of a domain and when it was computed.
func (d *domainSums) source(domain string) (source, time.Time) {
	r := d.received[domain]
	return source{
		name:      domain,
		domain:    true,
		countedBy: domain,
		region:    r.sum.GetRegion(),
		demands:   r.sum.GetDemands(),
		loads:     r.sum.GetLoads(),
		counts:    r.sum.GetVersionCounts(),
	}, r.takenAt
}

// localSum adds up what this instance and its peers in the failure domain report.
func (c *control) localSum(peers *membership.Peers) *entrypb.DomainSum {
	demand, loads := quota.Demand{}, map[demandKey]uint32{}
	counts := map[countKey]*entrypb.VersionCount{}
	add := func(s source) {
		for customer, perSecond := range demandOf(s.demands) {
			demand[customer] += perSecond
		}
		for _, l := range s.loads {
			loads[demandKeyOf(l)] += l.GetMilliPerSecond()
		}
		for _, m := range s.counts {
			addCount(counts, m)
		}
	}
	add(source{demands: demandsMessage(c.rates.Demand()), loads: c.serviceLoads(), counts: c.rollouts.counts()})
	for _, p := range peers.InDomain(peers.Self.FailureDomain) {
		add(sourceOf(p.Name, p.Region, p.State))
	}
	return &entrypb.DomainSum{
		FailureDomain: c.deps.settings.FailureDomain,
		Region:        c.deps.settings.Region,
		Demands:       demandsMessage(demand),
		Loads:         lo.MapToSlice(loads, serviceLoad),
		VersionCounts: slices.Collect(maps.Values(counts)),
	}
}

// countKey identifies the counts of a roll-out that are added up.
type countKey struct {
	service, version, route string
	order                   uint64
}

func addCount(counts map[countKey]*entrypb.VersionCount, m *entrypb.VersionCount) {
	key := countKey{service: m.GetService(), version: m.GetVersion(), route: m.GetRoute(), order: m.GetOrder()}
	total := counts[key]
	if total == nil {
		total = &entrypb.VersionCount{Service: key.service, Version: key.version, Route: key.route, Order: key.order}
		counts[key] = total
	}
	total.Answers += m.GetAnswers()
	total.Failures += m.GetFailures()
	total.Errors += m.GetErrors()
}

func sourceOf(name, region string, state *entrypb.State) source {
	return source{
		name:      name,
		countedBy: state.GetIdentity().GetIncarnation(),
		region:    region,
		demands:   state.GetDemands(),
		loads:     state.GetLoads(),
		counts:    state.GetVersionCounts(),
	}
}

// sources returns the reports of all peers, and whether all of them are fresh. The last
// report of a silent source still counts: the source may be cut off and still serve.
func (c *control) sources(now time.Time, peers *membership.Peers) (all []source, complete bool) {
	complete = true
	direct := peers.All
	if !peers.FullMesh() {
		direct = peers.InDomain(peers.Self.FailureDomain)
	}
	for _, p := range direct {
		complete = complete && (p.Health == membership.Alive || p.Leaving)
		all = append(all, sourceOf(p.Name, p.Region, p.State))
	}
	if peers.FullMesh() {
		return all, complete
	}
	maxAge := max(minMaxSumAge, maxSumIntervals*c.members.Interval())
	for domain := range c.deps.settings.Domains {
		if domain == peers.Self.FailureDomain || len(peers.InDomain(domain)) == 0 {
			continue
		}
		s, takenAt := c.sums.source(domain)
		complete = complete && now.Sub(takenAt) <= maxAge
		all = append(all, s)
	}
	return all, complete
}

// receiveSource records the demand and the version counts that a source has reported, as of the
// time of the report.
func (c *control) receiveSource(at time.Time, s source) {
	c.rates.RecordDemand(at, s.name, demandOf(s.demands))
	c.rollouts.receiveCounts(s.countedBy, s.counts)
}
