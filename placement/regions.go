package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLocalUtilization is the fraction of its slots up to which a region keeps all
	// requests of its own callers, whatever the spare capacity elsewhere.
	maxLocalUtilization = 0.3
	// maxShareStepPerSecond bounds the change of a share per second, so that no region
	// sees a sudden shift of traffic.
	maxShareStepPerSecond = 0.025
	// minServiceTime is the lower bound of the service time in the capacity estimate; it
	// also stands in while none has been measured.
	minServiceTime = 200 * time.Millisecond
)

// Demand holds the requests per second for one service by region: that of the callers, or the
// only one in which requests may run.
type Demand map[string]float64

// freeSlots returns the slots by region that pinned requests leave, those that may run in that region
// only, given the demand of all others. perSlot is as in targetShares.
func freeSlots(demand, pinned Demand, slots map[string]float64, perSlot float64) map[string]float64 {
	total, totalSlots := 0.0, 0.0
	for region, n := range slots {
		totalSlots += n
		total += demand[region] + pinned[region]
	}
	if total <= 0 || totalSlots <= 0 {
		return slots
	}
	perSlot = max(perSlot, total/totalSlots)
	free := make(map[string]float64, len(slots))
	for region, n := range slots {
		free[region] = max(0, n-pinned[region]/perSlot)
	}
	return free
}

// shares holds the share of this region's requests that is to run in each region.
type shares struct {
	byRegion  map[string]float64
	steppedAt time.Time
}

// targetShares returns the shares for the requests of the region self, given the demand
// and the slots of all regions. perSlot is the number of requests per second that a slot
// serves at maxLocalUtilization.
func targetShares(self string, demand Demand, slots map[string]float64, perSlot float64) map[string]float64 {
	totalDemand, totalSlots := 0.0, 0.0
	for region, n := range slots {
		totalSlots += n
		totalDemand += demand[region]
	}
	if totalDemand <= 0 {
		// While the demand is unknown, all regions are assumed to have the same.
		demand = evenDemand(slots, totalSlots)
		totalDemand = totalSlots
		perSlot = 0
	}
	localDemand := demand[self]
	if totalSlots <= 0 || localDemand <= 0 {
		return map[string]float64{self: 1}
	}
	demandPerSlot := max(totalDemand/totalSlots, perSlot)
	localShare := min(1, slots[self]*demandPerSlot/localDemand, maxLocalShare(slots[self], totalSlots, len(slots)))
	spare := map[string]float64{}
	totalSpare := 0.0
	for region, n := range slots {
		if region != self {
			spare[region] = max(0, n*demandPerSlot-demand[region])
			totalSpare += spare[region]
		}
	}
	if totalSpare <= 0 {
		return map[string]float64{self: 1}
	}
	result := map[string]float64{self: localShare}
	for region, r := range spare {
		result[region] = (1 - localShare) * r / totalSpare
	}
	return result
}

// maxLocalShare bounds the share that a region keeps even while its demand is low: half
// way between all and what it could keep if all regions had the same demand. When the
// demand grows, few steps then suffice to adjust.
func maxLocalShare(slots, total float64, regions int) float64 {
	evenShare := min(1, slots*float64(regions)/total)
	return (1 + evenShare) / 2
}

// evenDemand divides a demand of one request per slot equally among the regions.
func evenDemand(slots map[string]float64, total float64) Demand {
	demand := Demand{}
	for region := range slots {
		demand[region] = total / float64(len(slots))
	}
	return demand
}

// step moves the shares towards the target by at most maxShareStepPerSecond. A pause
// since the last step counts for 2 s at most.
func (s *shares) step(now time.Time, target map[string]float64) {
	if s.byRegion == nil {
		s.byRegion = target
		s.steppedAt = now
		return
	}
	maxChange := maxShareStepPerSecond * min(now.Sub(s.steppedAt).Seconds(), 2)
	s.steppedAt = now
	next := map[string]float64{}
	for region := range s.byRegion {
		next[region] = 0
	}
	for region, share := range target {
		next[region] = share
	}
	for region, share := range next {
		old := s.byRegion[region]
		next[region] = old + max(-maxChange, min(maxChange, share-old))
	}
	s.byRegion = next
}

// regionScore returns the score of the region for the object; the highest score is
// preferred. Each region comes first for its share of the objects (weighted rendezvous
// hashing), and a change of the shares moves as few objects as possible.
func (s *shares) regionScore(object uint64, region string) float64 {
	share := s.byRegion[region]
	if share <= 0 {
		return 0
	}
	const steps = 1 << 53
	u := (float64(mix(object^xxhash.Sum64String(region))>>11) + 0.5) / steps
	return -share / math.Log(u)
}

// orderRegions returns the regions in the object's order of preference.
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
