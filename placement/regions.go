package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// easyUse is the part of its slots up to which a region keeps all requests of
	// its own, whatever room there is elsewhere.
	easyUse = 0.3
	// maxStep bounds the change of a share in one second, so that no region sees a
	// sudden shift of traffic.
	maxStep = 0.025
	// leastService is taken for the service time while none has been measured.
	leastService = 200 * time.Millisecond
)

// Demand is the requests per second that callers in each region send for one
// service.
type Demand map[string]float64

// shares holds, for the requests of the own region, the part that is to run in
// each region.
type shares struct {
	parts   map[string]float64
	stepped time.Time
}

// target returns the parts for the demand and the slots of the regions. perSlot
// is the number of requests per second that a slot serves at easyUse.
func targetShares(self string, demand Demand, slots map[string]float64, perSlot float64) map[string]float64 {
	totalDemand, totalSlots := 0.0, 0.0
	for region, n := range slots {
		totalSlots += n
		totalDemand += demand[region]
	}
	if totalDemand <= 0 {
		// As long as nothing is known, all regions are taken to ask the same.
		demand = evenDemand(slots, totalSlots)
		totalDemand = totalSlots
		perSlot = 0
	}
	own := demand[self]
	if totalSlots <= 0 || own <= 0 {
		return map[string]float64{self: 1}
	}
	level := max(totalDemand/totalSlots, perSlot)
	kept := min(1, slots[self]*level/own, mostKept(slots[self], totalSlots, len(slots)))
	room := map[string]float64{}
	allRoom := 0.0
	for region, n := range slots {
		if region != self {
			room[region] = max(0, n*level-demand[region])
			allRoom += room[region]
		}
	}
	if allRoom <= 0 {
		return map[string]float64{self: 1}
	}
	parts := map[string]float64{self: kept}
	for region, r := range room {
		parts[region] = (1 - kept) * r / allRoom
	}
	return parts
}

// mostKept bounds the part that a region keeps even while it asks little: half way
// between all and what it could keep if all regions asked the same. A demand that
// grows then needs few steps.
func mostKept(slots, total float64, regions int) float64 {
	even := min(1, slots*float64(regions)/total)
	return (1 + even) / 2
}

// evenDemand divides one request for each slot among the regions.
func evenDemand(slots map[string]float64, total float64) Demand {
	demand := Demand{}
	for region := range slots {
		demand[region] = total / float64(len(slots))
	}
	return demand
}

// step moves the parts towards the target, by maxStep a second at most.
func (s *shares) step(now time.Time, target map[string]float64) {
	if s.parts == nil {
		s.parts = target
		s.stepped = now
		return
	}
	most := maxStep * min(now.Sub(s.stepped).Seconds(), 2)
	s.stepped = now
	next := map[string]float64{}
	for region := range s.parts {
		next[region] = 0
	}
	for region, part := range target {
		next[region] = part
	}
	for region, part := range next {
		old := s.parts[region]
		next[region] = old + max(-most, min(most, part-old))
	}
	s.parts = next
}

// regionScore orders the regions of an object so that each comes first for its
// part of the objects (weighted rendezvous hashing). A change of the parts moves
// as few objects as it can.
func (s *shares) regionScore(object uint64, region string) float64 {
	part := s.parts[region]
	if part <= 0 {
		return 0
	}
	const steps = 1 << 53
	u := (float64(mix(object^xxhash.Sum64String(region))>>11) + 0.5) / steps
	return -part / math.Log(u)
}

// orderRegions returns the regions in the order of the object.
func (s *shares) orderRegions(object uint64, regions []string) []string {
	ordered := slices.Clone(regions)
	scores := make(map[string]float64, len(regions))
	for _, region := range regions {
		scores[region] = s.regionScore(object, region)
	}
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return ordered
}
