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
	// MaxInstances is the largest number of instances in a response.
	MaxInstances = 16
	// MaxInstancesPerDomain is the largest number of instances of one failure
	// domain in a response.
	MaxInstancesPerDomain = 4
	// TTL is how long callers may cache a response.
	TTL = 10 * time.Second
	// OverloadThresholdPermille is the mean load of a failure domain, in
	// thousandths, above which some of its callers get the next domain first.
	OverloadThresholdPermille = 800

	fullLoadPermille = 1000
	weightSteps      = 16
	maxOverloadShare = 0.5
)

// instance is an entry instance that callers may use.
type instance struct {
	name    string
	hash    uint64
	address string
	// load is the fraction of the capacity in use, from 0 to 1.
	load float64
	// weight is the quantised fraction of free capacity, at least 1/16.
	weight  float64
	suspect bool
}

// domain is a failure domain with its usable instances.
type domain struct {
	name      string
	hash      uint64
	region    string
	instances []instance
	// overloadShare is the fraction of its callers that get the next domain first.
	overloadShare float64
}

// Directory orders entry instances for callers. It is immutable and safe for
// concurrent use.
type Directory struct {
	blocks  *Blocks
	self    *domain
	domains map[string]*domain
	// regions holds the domains of each region, sorted by name.
	regions map[string][]*domain
	// regionsByLatency maps each region to the other regions, nearest first.
	regionsByLatency map[string][]string
}

// NewDirectory returns the directory of the instances in the snapshot, this
// instance included. The set provides the failure domains, regions and links; it
// may be nil.
func NewDirectory(blocks *Blocks, set *dynamic.Set, peers *membership.Peers) *Directory {
	d := &Directory{
		blocks:  blocks,
		domains: map[string]*domain{},
		regions: map[string][]*domain{},
	}
	if set != nil {
		for _, fd := range set.FailureDomains {
			d.ensureDomain(fd.Name, fd.Region)
		}
	}
	d.self = d.ensureDomain(peers.Self.FailureDomain, peers.Self.Region)
	d.addInstance(&peers.Self)
	for _, p := range peers.All {
		d.addInstance(p)
	}
	for _, fd := range d.domains {
		fd.overloadShare = overloadShare(fd.instances)
		d.regions[fd.region] = append(d.regions[fd.region], fd)
	}
	for _, domains := range d.regions {
		slices.SortFunc(domains, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	}
	d.regionsByLatency = regionsByLatency(d.regions, set)
	return d
}

func (d *Directory) ensureDomain(name, region string) *domain {
	fd := d.domains[name]
	if fd == nil {
		fd = &domain{name: name, hash: xxhash.Sum64String(name), region: region}
		d.domains[name] = fd
	}
	return fd
}

func (d *Directory) addInstance(p *membership.Peer) {
	if p.Leaving || p.Health == membership.Silent || p.Address == "" {
		return
	}
	fd := d.ensureDomain(p.FailureDomain, p.Region)
	fd.instances = append(fd.instances, instance{
		name:    p.Name,
		hash:    xxhash.Sum64String(p.Name),
		address: p.Address,
		load:    min(float64(p.LoadPermille)/fullLoadPermille, 1),
		weight:  weight(p.LoadPermille),
		suspect: p.Health == membership.Suspect,
	})
}

// weight returns the free fraction of the capacity, rounded down to steps of
// 1/weightSteps, and at least one step.
func weight(loadPermille uint32) float64 {
	free := fullLoadPermille - min(int(loadPermille), fullLoadPermille)
	return float64(max(free*weightSteps/fullLoadPermille, 1)) / weightSteps
}

// overloadShare returns the fraction of a domain's callers that get the next
// domain first, from 0 to maxOverloadShare.
func overloadShare(instances []instance) float64 {
	if len(instances) == 0 {
		return 0
	}
	used := 0.0
	for _, i := range instances {
		used += i.load
	}
	mean := used / float64(len(instances))
	const threshold = float64(OverloadThresholdPermille) / fullLoadPermille
	return max(0, maxOverloadShare*(mean-threshold)/(1-threshold))
}

// regionsByLatency returns for each region the other regions, sorted by the
// latency of the link to them. Regions without a link come last, sorted by name.
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
	nearest := map[string][]string{}
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
				return compareBool(bLinked, aLinked)
			}
			return cmp.Or(cmp.Compare(aLatency, bLatency), cmp.Compare(a, b))
		})
		nearest[from] = others
	}
	return nearest
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
