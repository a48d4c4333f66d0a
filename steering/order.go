package steering

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryInstance is one entry instance that a caller may use.
type EntryInstance struct {
	// Address is the IP address and port for callers.
	Address       string
	FailureDomain string
	Region        string
	// TTL is how long the caller may cache this entry.
	TTL time.Duration
}

// Order returns the entry instances for the caller, in order of preference. The
// spreading key distinguishes callers behind one address; it may be empty.
func (d *Directory) Order(caller netip.Addr, spreadingKey string) []EntryInstance {
	o := orderBuilder{
		seed:  callerSeed(caller, spreadingKey),
		seen:  make([]*domain, 0, MaxInstances),
		alive: make([]EntryInstance, 0, MaxInstances+MaxInstancesPerDomain),
	}
	preferred := d.preferred(caller)
	o.addDomains(preferred)
	for _, fd := range preferred {
		o.addRegion(d.regions[fd.region])
	}
	if len(preferred) > 0 {
		for _, region := range d.regionsByLatency[preferred[0].region] {
			o.addRegion(d.regions[region])
		}
	}
	return o.build()
}

// preferred returns the known domains of the caller's block, or the domain of
// this instance if there are none.
func (d *Directory) preferred(caller netip.Addr) []*domain {
	names, ok := d.blocks.Lookup(caller)
	if !ok {
		return []*domain{d.self}
	}
	domains := make([]*domain, 0, len(names))
	for _, name := range names {
		if fd := d.domains[name]; fd != nil {
			domains = append(domains, fd)
		}
	}
	if len(domains) == 0 {
		return []*domain{d.self}
	}
	return domains
}

// callerSeed returns a hash of the caller's address and spreading key.
func callerSeed(caller netip.Addr, spreadingKey string) uint64 {
	bytes := caller.Unmap().As16()
	hash := xxhash.New()
	_, _ = hash.Write(bytes[:])
	_, _ = hash.WriteString(spreadingKey)
	return hash.Sum64()
}

// orderBuilder builds the response for one caller.
type orderBuilder struct {
	seed    uint64
	seen    []*domain
	ranks   [MaxInstancesPerDomain]ranked
	alive   []EntryInstance
	suspect []EntryInstance
	// deferred is an overloaded domain that follows the next domain for this
	// caller, or nil.
	deferred *domain
}

// addDomains adds the domains in the given order. For some callers an overloaded
// domain is deferred: it follows the next domain, unless that one is at least as
// overloaded.
func (o *orderBuilder) addDomains(domains []*domain) {
	for _, fd := range domains {
		if len(o.alive) >= MaxInstances {
			return
		}
		if len(fd.instances) == 0 || slices.Contains(o.seen, fd) {
			continue
		}
		o.seen = append(o.seen, fd)
		if o.deferred == nil && uniform(o.seed, fd.hash) < fd.overloadShare {
			o.deferred = fd
			continue
		}
		if o.deferred != nil && fd.overloadShare >= o.deferred.overloadShare {
			o.addDeferred()
		}
		o.addDomain(fd)
		o.addDeferred()
	}
}

// addRegion adds the domains of a region in an order that depends on the caller.
func (o *orderBuilder) addRegion(domains []*domain) {
	if len(o.alive) >= MaxInstances {
		return
	}
	if len(domains) == 1 {
		o.addDomains(domains)
		return
	}
	o.addDomains(slices.SortedFunc(slices.Values(domains), func(a, b *domain) int {
		return cmp.Compare(mix(o.seed^a.hash), mix(o.seed^b.hash))
	}))
}

func (o *orderBuilder) addDeferred() {
	if o.deferred != nil {
		o.addDomain(o.deferred)
		o.deferred = nil
	}
}

// ranked is an instance with its rank for one caller; lower ranks come first.
type ranked struct {
	instance *instance
	rank     float64
}

// before reports whether the instance comes before the other one. Suspect
// instances come last.
func (r ranked) before(other ranked) bool {
	if r.instance.suspect != other.instance.suspect {
		return other.instance.suspect
	}
	return r.rank < other.rank
}

// addDomain adds the top instances of the domain for this caller.
func (o *orderBuilder) addDomain(fd *domain) {
	for _, r := range o.topInstances(fd) {
		row := EntryInstance{Address: r.instance.address, FailureDomain: fd.name, Region: fd.region, TTL: TTL}
		if r.instance.suspect {
			o.suspect = append(o.suspect, row)
			continue
		}
		o.alive = append(o.alive, row)
	}
}

// topInstances returns the MaxInstancesPerDomain instances of the domain that
// come first for this caller, in order. The slice is valid until the next call.
func (o *orderBuilder) topInstances(fd *domain) []ranked {
	top := o.ranks[:0]
	for i := range fd.instances {
		candidate := &fd.instances[i]
		r := ranked{candidate, -math.Log(uniform(o.seed, candidate.hash)) / candidate.weight}
		position := len(top)
		for position > 0 && r.before(top[position-1]) {
			position--
		}
		if position == MaxInstancesPerDomain {
			continue
		}
		if len(top) < MaxInstancesPerDomain {
			top = append(top, ranked{})
		}
		copy(top[position+1:], top[position:])
		top[position] = r
	}
	return top
}

func (o *orderBuilder) build() []EntryInstance {
	o.addDeferred()
	rows := append(o.alive, o.suspect...)
	return rows[:min(MaxInstances, len(rows))]
}

// uniform returns a number in (0, 1) that is uniformly distributed over callers
// and names. Both arguments must be well-mixed hashes.
func uniform(seed, nameHash uint64) float64 {
	const mantissaBits = 53
	return (float64(mix(seed^nameHash)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
