package sharetable

import (
	"cmp"
	"slices"
)

// The balance between equal ranges and few, rare changes, as parts of the
// equal share.
const (
	// shortfall is what a member may lack before others are lowered for it.
	shortfall = 0.25
	// smallestTaken is the least that is taken from one member.
	smallestTaken = 1.0 / 32
	// largestCut is what a member may be lowered below the equal share.
	largestCut = 0.125
)

// balance gives free parts to the members that have least, and lowers those
// that have most when a member lacks a large part of an equal share. Members
// that cannot be reached keep what they hold.
func (p *plan) balance() {
	movable := p.movable()
	if len(movable) == 0 {
		return
	}
	target := p.target(movable)
	p.raise(movable, target)
	p.lower(movable, target)
}

// movable returns the members that stay and can be reached, by name.
func (p *plan) movable() []string {
	var names []string
	for name := range p.next.Members {
		if p.driver.view[name].Reachable && !p.departing(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// target returns the equal share of what the other members do not hold.
func (p *plan) target(movable []string) int {
	pool := Whole
	for name, e := range p.next.Members {
		if _, found := slices.BinarySearch(movable, name); !found {
			pool -= e.Held.Size()
		}
	}
	return (pool + len(movable) - 1) / len(movable)
}

// raise gives out the free parts. A member gets back what was lowered and is
// not settled yet only when no other member is short.
func (p *plan) raise(movable []string, target int) {
	free := p.next.free()
	short := p.short(movable, target)
	for _, name := range p.bySize(movable, 1) {
		e := p.next.Members[name]
		usable := free
		if len(short) == 0 || slices.Contains(short, name) {
			usable = free.Union(e.Held.Subtract(e.Limit))
		}
		taken := usable.take(target - e.Limit.Size())
		if len(taken) == 0 {
			continue
		}
		free = free.Subtract(taken)
		p.setLimit(name, e.Limit.Union(taken))
	}
}

// lower starts to take parts from the members that have most. They become free
// when the lowered limits have been settled.
func (p *plan) lower(movable []string, target int) {
	missing := p.missing(movable, target)
	if missing <= 0 {
		return
	}
	donors := p.bySize(p.able(movable), -1)
	missing = p.takeDownTo(donors, target, missing, target)
	lowest := target - int(largestCut*float64(target))
	p.takeDownTo(donors, lowest, missing, target)
}

// short returns the members that lack a large part of an equal share.
func (p *plan) short(movable []string, target int) []string {
	var names []string
	for _, name := range movable {
		lack := target - p.next.Members[name].Limit.Size()
		if float64(lack) > shortfall*float64(target) {
			names = append(names, name)
		}
	}
	return names
}

// missing returns the parts that short members lack, without those that are
// already on their way.
func (p *plan) missing(movable []string, target int) int {
	missing := 0
	for _, name := range p.short(movable, target) {
		missing += target - p.next.Members[name].Limit.Size()
	}
	for _, name := range movable {
		e := p.next.Members[name]
		missing -= e.Held.Size() - e.Limit.Size()
	}
	return missing
}

// able returns the members whose witness group can be reached as a whole, so
// that a lowered limit can be settled.
func (p *plan) able(movable []string) []string {
	blocked := map[string]bool{}
	for name, e := range p.next.Members {
		if !p.driver.view[name].Reachable && !p.driver.fenced(p.now, name) {
			blocked[e.WitnessGroup] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(movable), func(name string) bool {
		return blocked[p.next.Members[name].WitnessGroup]
	})
}

func (p *plan) takeDownTo(donors []string, lowest, missing, target int) int {
	for _, name := range donors {
		limit := p.next.Members[name].Limit
		taken := min(limit.Size()-lowest, missing)
		if float64(taken) < smallestTaken*float64(target) {
			continue
		}
		p.setLimit(name, limit.Subtract(limit.take(taken)))
		missing -= taken
	}
	return missing
}

// bySize sorts names by the size of their limits, rising for order 1 and
// falling for -1.
func (p *plan) bySize(names []string, order int) []string {
	sorted := slices.Clone(names)
	size := func(name string) int { return p.next.Members[name].Limit.Size() }
	slices.SortStableFunc(sorted, func(a, b string) int { return order * cmp.Compare(size(a), size(b)) })
	return sorted
}
