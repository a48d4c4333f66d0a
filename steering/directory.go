package steering

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
)

const (
	// Limit is the largest number of instances in an answer.
	Limit = 16
	// PerDomain is the largest number of instances of one failure domain.
	PerDomain = 4
	// TTL is how long callers may keep an answer.
	TTL = 10 * time.Second
	// OverloadFrom is the mean load of a failure domain, in thousandths, above
	// which a part of its callers are sent to the next one.
	OverloadFrom = 800

	fullLoad         = 1000
	weightSteps      = 16
	maxOverloadShare = 0.5
)

// instance is one entry instance that callers may use.
type instance struct {
	name    string
	hash    uint64
	address string
	// load is the part of the capacity in use, from 0 to 1.
	load    float64
	weight  float64
	suspect bool
}

// domain is one failure domain with its usable instances.
type domain struct {
	name      string
	hash      uint64
	region    string
	instances []instance
	// overload is the part of its callers that get the next domain first.
	overload float64
}

// Directory orders entry instances for callers. It is immutable.
type Directory struct {
	blocks  *Blocks
	self    *domain
	domains map[string]*domain
	// regions holds the domains of each region, sorted by name.
	regions map[string][]*domain
	// near holds for each region the other regions, nearest first.
	near map[string][]string
}

// NewDirectory returns the directory of the instances in the snapshot, the
// owner of the snapshot included. The set gives the failure domains, regions
// and links; it may be nil.
func NewDirectory(blocks *Blocks, set *dynamic.Set, peers *membership.Peers) *Directory {
	d := &Directory{
		blocks:  blocks,
		domains: map[string]*domain{},
		regions: map[string][]*domain{},
	}
	if set != nil {
		for _, fd := range set.FailureDomains {
			d.domain(fd.Name, fd.Region)
		}
	}
	d.self = d.domain(peers.Self.FailureDomain, peers.Self.Region)
	d.add(&peers.Self)
	for _, p := range peers.All {
		d.add(p)
	}
	for _, fd := range d.domains {
		fd.overload = overloadShare(fd.instances)
		d.regions[fd.region] = append(d.regions[fd.region], fd)
	}
	for _, domains := range d.regions {
		slices.SortFunc(domains, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	}
	d.near = regionsByLatency(d.regions, set)
	return d
}

func (d *Directory) domain(name, region string) *domain {
	fd := d.domains[name]
	if fd == nil {
		fd = &domain{name: name, hash: xxhash.Sum64String(name), region: region}
		d.domains[name] = fd
	}
	return fd
}

func (d *Directory) add(p *membership.Peer) {
	if p.Leaving || p.Health == membership.Silent || p.Address == "" {
		return
	}
	fd := d.domain(p.FailureDomain, p.Region)
	fd.instances = append(fd.instances, instance{
		name:    p.Name,
		hash:    xxhash.Sum64String(p.Name),
		address: p.Address,
		load:    min(float64(p.LoadPermille)/fullLoad, 1),
		weight:  weight(p.LoadPermille),
		suspect: p.Health == membership.Suspect,
	})
}

// weight returns the free part of the capacity in steps.
func weight(loadPermille uint32) float64 {
	free := fullLoad - min(int(loadPermille), fullLoad)
	return float64(max(free*weightSteps/fullLoad, 1)) / weightSteps
}

// overloadShare returns the part of the callers that get the next domain first.
func overloadShare(instances []instance) float64 {
	if len(instances) == 0 {
		return 0
	}
	used := 0.0
	for _, i := range instances {
		used += i.load
	}
	mean := used / float64(len(instances))
	const from = float64(OverloadFrom) / fullLoad
	return max(0, maxOverloadShare*(mean-from)/(1-from))
}

// regionsByLatency orders the other regions of each region by the latency of
// the link to them. Regions without a link come last, by name.
func regionsByLatency(regions map[string][]*domain, set *dynamic.Set) map[string][]string {
	type pair struct{ from, to string }
	latency := map[pair]time.Duration{}
	if set != nil {
		for _, link := range set.Links {
			a, b := link.Between[0], link.Between[1]
			latency[pair{a, b}] = link.Latency.Std()
			latency[pair{b, a}] = link.Latency.Std()
		}
	}
	near := map[string][]string{}
	for from := range regions {
		others := make([]string, 0, len(regions)-1)
		for to := range regions {
			if to != from {
				others = append(others, to)
			}
		}
		slices.SortFunc(others, func(a, b string) int {
			aLatency, aLinked := latency[pair{from, a}]
			bLatency, bLinked := latency[pair{from, b}]
			if aLinked != bLinked {
				return boolCompare(bLinked, aLinked)
			}
			return cmp.Or(cmp.Compare(aLatency, bLatency), cmp.Compare(a, b))
		})
		near[from] = others
	}
	return near
}

// boolCompare sorts false before true.
func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
