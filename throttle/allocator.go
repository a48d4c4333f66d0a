package throttle

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// overlapFraction is the factor on the rate of an allocator for each instance that may
// still grant permits beside it. With the burst of both buckets, two allocators grant at
// most 1.5 times the stated rate and 4 permits in 4 s.
const overlapFraction = 0.4

// Instance is an entry instance as a candidate for the allocator.
type Instance struct {
	Name          string
	Address       string
	FailureDomain string
	Region        string
	// Usable reports whether the instance responds and is not leaving.
	Usable bool
	// MayRun reports whether an instance that is not usable may still grant permits.
	MayRun bool
}

// Allocator is the instance that grants the permits for an upstream.
type Allocator struct {
	// Self is set when it is this instance.
	Self bool
	// Address is where to ask for permits; empty for this instance.
	Address string
	// Fraction is the fraction of the stated rate that this instance grants as allocator.
	Fraction float64
}

// Others returns the other instances, without the local one.
type Others interface {
	// InDomain returns those of the failure domain.
	InDomain(failureDomain string) []Instance
	// All returns those of all failure domains.
	All() []Instance
}

// candidates returns the other instances that decide on the allocator of an upstream in the
// failure domain: those of the domain, as long as one of them or self is usable there.
func candidates(failureDomain string, self *Instance, others Others) []Instance {
	domain := others.InDomain(failureDomain)
	if self.Usable && self.FailureDomain == failureDomain || slices.ContainsFunc(domain, func(i Instance) bool { return i.Usable }) {
		return domain
	}
	return others.All()
}

// ChooseAllocator returns the allocator of an upstream in the failure domain and the region.
// The instance self is usable unless it is leaving; settled reports whether it has been
// running for long enough that the others know it.
func ChooseAllocator(upstream, failureDomain, region string, self Instance, settled bool, others Others) Allocator {
	before := func(a, b *Instance) bool {
		if x, y := distance(a, failureDomain, region), distance(b, failureDomain, region); x != y {
			return x < y
		}
		x, y := xxhash.Sum64String(a.Name+upstream), xxhash.Sum64String(b.Name+upstream)
		return x < y || x == y && a.Name < b.Name
	}
	var first *Instance
	if self.Usable {
		first = &self
	}
	ranked := candidates(failureDomain, &self, others)
	for i := range ranked {
		if ranked[i].Usable && (first == nil || before(&ranked[i], first)) {
			first = &ranked[i]
		}
	}
	if first != nil && first != &self {
		return Allocator{Address: first.Address}
	}
	fraction := 1.0
	if !settled {
		fraction = overlapFraction
	}
	for i := range ranked {
		if !ranked[i].Usable && ranked[i].MayRun && before(&ranked[i], &self) {
			fraction *= overlapFraction
		}
	}
	return Allocator{Self: true, Fraction: fraction}
}

// distance is 0 in the failure domain, 1 in the region and 2 elsewhere.
func distance(i *Instance, failureDomain, region string) int {
	switch {
	case i.FailureDomain == failureDomain:
		return 0
	case i.Region == region:
		return 1
	}
	return 2
}
