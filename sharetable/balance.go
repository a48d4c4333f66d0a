package sharetable

import (
	"cmp"
	"slices"
)

// The trade-off between equal ranges and few, rare changes, as fractions of the
// equal share.
const (
	// maxShortfall is how far a member may be below the equal share before others are
	// lowered for it.
	maxShortfall = 0.25
	// minTransfer is the least that is taken from one member at a time.
	minTransfer = 1.0 / 32
	// maxLowering is how far a member may be lowered below the equal share.
	maxLowering = 0.125
)

// balance gives free parts to the members with the smallest limits, and lowers the
// largest limits when a member is more than maxShortfall below the equal share.
// Members that cannot be reached keep what they hold.
func (p *plan) balance() {
	adjustable := p.adjustable()
	if len(adjustable) == 0 {
		return
	}
	equalShare := p.equalShare(adjustable)
	p.raise(adjustable, equalShare)
	p.lower(adjustable, equalShare)
}

// adjustable returns the reachable members that are not departing, sorted by name.
func (p *plan) adjustable() []string {
	var names []string
	for name := range p.next.Members {
		if p.driver.view[name].Reachable && !p.departing(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// equalShare returns the number of parts, rounded up, that each adjustable member
// gets when they divide equally what the other members do not hold.
func (p *plan) equalShare(adjustable []string) int {
	pool := Whole
	for name, e := range p.next.Members {
		if _, found := slices.BinarySearch(adjustable, name); !found {
			pool -= e.Held.Size()
		}
	}
	return (pool + len(adjustable) - 1) / len(adjustable)
}

// raise assigns the free parts. A member gets back lowered parts that have not
// been reclaimed yet only if it is short itself or no member is.
func (p *plan) raise(adjustable []string, equalShare int) {
	free := p.next.free()
	short := p.short(adjustable, equalShare)
	for _, name := range p.sortedBySize(adjustable, 1) {
		e := p.next.Members[name]
		usable := free
		if len(short) == 0 || slices.Contains(short, name) {
			usable = free.Union(e.Held.Subtract(e.Limit))
		}
		taken := usable.take(equalShare - e.Limit.Size())
		if len(taken) == 0 {
			continue
		}
		free = free.Subtract(taken)
		p.setLimit(name, e.Limit.Union(taken))
	}
}

// lower takes parts from the members with the largest limits. They become free when
// they have been reclaimed.
func (p *plan) lower(adjustable []string, equalShare int) {
	missing := p.missing(adjustable, equalShare)
	if missing <= 0 {
		return
	}
	donors := p.sortedBySize(p.reclaimable(adjustable), -1)
	missing = p.lowerTo(donors, equalShare, missing, equalShare)
	lowest := equalShare - int(maxLowering*float64(equalShare))
	p.lowerTo(donors, lowest, missing, equalShare)
}

// short returns the members that are more than maxShortfall below the equal share.
func (p *plan) short(adjustable []string, equalShare int) []string {
	var names []string
	for _, name := range adjustable {
		deficit := equalShare - p.next.Members[name].Limit.Size()
		if float64(deficit) > maxShortfall*float64(equalShare) {
			names = append(names, name)
		}
	}
	return names
}

// missing returns the number of parts that short members lack, less those that are
// waiting to be reclaimed.
func (p *plan) missing(adjustable []string, equalShare int) int {
	missing := 0
	for _, name := range p.short(adjustable, equalShare) {
		missing += equalShare - p.next.Members[name].Limit.Size()
	}
	for _, name := range adjustable {
		e := p.next.Members[name]
		missing -= e.Held.Size() - e.Limit.Size()
	}
	return missing
}

// reclaimable returns the members whose whole witness group is reachable or fenced,
// so that lowered parts can be reclaimed.
func (p *plan) reclaimable(adjustable []string) []string {
	blocked := map[string]bool{}
	for name, e := range p.next.Members {
		if !p.driver.view[name].Reachable && !p.driver.fenced(p.now, name) {
			blocked[e.WitnessGroup] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(adjustable), func(name string) bool {
		return blocked[p.next.Members[name].WitnessGroup]
	})
}

// lowerTo lowers the limits of the donors, none below the size lowest, until the
// missing parts are found, and returns how many are still missing. It takes at
// least minTransfer of the equal share from a donor, or nothing.
func (p *plan) lowerTo(donors []string, lowest, missing, equalShare int) int {
	for _, name := range donors {
		limit := p.next.Members[name].Limit
		taken := min(limit.Size()-lowest, missing)
		if float64(taken) < minTransfer*float64(equalShare) {
			continue
		}
		p.setLimit(name, limit.Subtract(limit.take(taken)))
		missing -= taken
	}
	return missing
}

// sortedBySize returns the names sorted by the size of their limits, ascending for
// order 1 and descending for -1.
func (p *plan) sortedBySize(names []string, order int) []string {
	sorted := slices.Clone(names)
	size := func(name string) int { return p.next.Members[name].Limit.Size() }
	slices.SortStableFunc(sorted, func(a, b string) int { return order * cmp.Compare(size(a), size(b)) })
	return sorted
}
