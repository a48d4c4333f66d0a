package placement

import (
	"cmp"
	"slices"
	"time"
)

// service is the state of one service. The mutex of the pool guards it.
type service struct {
	// targets is sorted by id.
	targets []*target
	// regions holds the regions of the upstreams.
	regions []string
	// capacity holds what the upstreams have together, by place.
	capacity map[place]capacity
	shares   shares
	stable   stableShares
	spill    spillLimiter
	// arrivals counts requests; retries are not counted.
	arrivals uint64
	// pinned counts those of arrivals that may run in one region only, by region.
	pinned map[string]uint64
	// serviceTime is a moving average of the time that an upstream works on a request,
	// excluding the wait in its queue; 0 before the first sample.
	serviceTime time.Duration
	// paced is set once an upstream of the service has stated its pace to this instance;
	// announced is set with the first choice after that.
	paced, announced bool
	// meanUtilization is a moving average of the reported requests per slot.
	meanUtilization float64
}

// place is where upstreams are.
type place struct{ failureDomain, region string }

// capacity is the number of upstreams and of their slots.
type capacity struct{ upstreams, slots int }

func newService() *service {
	return &service{capacity: map[place]capacity{}, pinned: map[string]uint64{}}
}

// add adds an upstream.
func (s *service) add(t *target) {
	n, _ := s.position(t)
	s.targets = slices.Insert(s.targets, n, t)
	if !slices.Contains(s.regions, t.region) {
		s.regions = append(s.regions, t.region)
	}
	at := t.place()
	known := s.capacity[at]
	s.capacity[at] = capacity{known.upstreams + 1, known.slots + t.upstream.Slots}
}

// remove removes an upstream, which must be as it was when it was added.
func (s *service) remove(t *target) {
	n, _ := s.position(t)
	s.targets = slices.Delete(s.targets, n, n+1)
	at := t.place()
	known := s.capacity[at]
	if known.upstreams > 1 {
		s.capacity[at] = capacity{known.upstreams - 1, known.slots - t.upstream.Slots}
		return
	}
	delete(s.capacity, at)
	for other := range s.capacity {
		if other.region == t.region {
			return
		}
	}
	s.regions = slices.DeleteFunc(s.regions, func(region string) bool { return region == t.region })
}

// position returns where the upstream is in targets, or belongs.
func (s *service) position(t *target) (int, bool) {
	return slices.BinarySearchFunc(s.targets, t, func(a, b *target) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
}

// slots returns the number of slots by region, without evacuated failure domains.
func (s *service) slots(evacuated map[string]bool) map[string]float64 {
	slots := map[string]float64{}
	for at, has := range s.capacity {
		if !evacuated[at.failureDomain] {
			slots[at.region] += float64(has.slots)
		}
	}
	return slots
}
