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
	// TTL is how long the caller may keep the row.
	TTL time.Duration
}

// Order returns the entry instances for the caller, best first. The spreading
// key tells callers behind one address apart; it may be empty.
func (d *Directory) Order(caller netip.Addr, spread string) []EntryInstance {
	o := order{
		seed:  callerSeed(caller, spread),
		seen:  make([]*domain, 0, Limit),
		alive: make([]EntryInstance, 0, Limit+PerDomain),
	}
	preferred := d.preferred(caller)
	o.addTier(preferred)
	for _, fd := range preferred {
		o.addRegion(d.regions[fd.region])
	}
	if len(preferred) > 0 {
		for _, region := range d.near[preferred[0].region] {
			o.addRegion(d.regions[region])
		}
	}
	return o.result()
}

// preferred returns the domains of the caller's block, or the own one.
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

// callerSeed returns a number that is the same whenever the caller asks.
func callerSeed(caller netip.Addr, spread string) uint64 {
	bytes := caller.Unmap().As16()
	hash := xxhash.New()
	_, _ = hash.Write(bytes[:])
	_, _ = hash.WriteString(spread)
	return hash.Sum64()
}

// order collects the answer for one caller.
type order struct {
	seed    uint64
	seen    []*domain
	ranks   [PerDomain]ranked
	alive   []EntryInstance
	suspect []EntryInstance
	// moved is a domain of which this caller gets the next one first.
	moved *domain
}

// addTier adds domains in their order, but for the ones that are overloaded.
func (o *order) addTier(domains []*domain) {
	for _, fd := range domains {
		if len(o.alive) >= Limit {
			return
		}
		if len(fd.instances) == 0 || slices.Contains(o.seen, fd) {
			continue
		}
		o.seen = append(o.seen, fd)
		if o.moved == nil && unit(o.seed, fd.hash) < fd.overload {
			o.moved = fd
			continue
		}
		if o.moved != nil && fd.overload >= o.moved.overload {
			o.addMoved()
		}
		o.addDomain(fd)
		o.addMoved()
	}
}

// addRegion adds the domains of a region in an order that differs from caller
// to caller.
func (o *order) addRegion(domains []*domain) {
	if len(o.alive) >= Limit {
		return
	}
	if len(domains) == 1 {
		o.addTier(domains)
		return
	}
	o.addTier(slices.SortedFunc(slices.Values(domains), func(a, b *domain) int {
		return cmp.Compare(mix(o.seed^a.hash), mix(o.seed^b.hash))
	}))
}

func (o *order) addMoved() {
	if o.moved != nil {
		o.addDomain(o.moved)
		o.moved = nil
	}
}

// ranked is an instance with its rank for one caller; low ranks come first.
type ranked struct {
	instance *instance
	rank     float64
}

// before says whether the instance comes before another one.
func (r ranked) before(other ranked) bool {
	if r.instance.suspect != other.instance.suspect {
		return other.instance.suspect
	}
	return r.rank < other.rank
}

// addDomain adds the first instances of the domain for this caller.
func (o *order) addDomain(fd *domain) {
	for _, r := range o.best(fd) {
		row := EntryInstance{Address: r.instance.address, FailureDomain: fd.name, Region: fd.region, TTL: TTL}
		if r.instance.suspect {
			o.suspect = append(o.suspect, row)
			continue
		}
		o.alive = append(o.alive, row)
	}
}

// best returns the PerDomain first instances of the domain, in order.
func (o *order) best(fd *domain) []ranked {
	best := o.ranks[:0]
	for i := range fd.instances {
		x := &fd.instances[i]
		r := ranked{x, -math.Log(unit(o.seed, x.hash)) / x.weight}
		at := len(best)
		for at > 0 && r.before(best[at-1]) {
			at--
		}
		if at == PerDomain {
			continue
		}
		if len(best) < PerDomain {
			best = append(best, ranked{})
		}
		copy(best[at+1:], best[at:])
		best[at] = r
	}
	return best
}

func (o *order) result() []EntryInstance {
	o.addMoved()
	rows := append(o.alive, o.suspect...)
	return rows[:min(Limit, len(rows))]
}

// unit returns a number in (0, 1) that is uniform over callers and names. Both
// numbers must be well-mixed hashes.
func unit(seed, nameHash uint64) float64 {
	const mantissaBits = 53
	return (float64(mix(seed^nameHash)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
