package placement

import "time"

// Room returns the mean number of requests for each slot at the upstreams that the query allows, as they have
// stated it, and the time that one works on a request. The regions count by the share of this
// region's requests that runs there. It returns false while no upstream has stated its load.
func (p *Pool) Room(now time.Time, q Query) (utilization float64, serviceTime time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return 0, 0, false
	}
	requests, slots := map[string]float64{}, map[string]float64{}
	for _, t := range s.targets {
		if t.usable(now) && p.allows(t, q) && now.Sub(t.reportedAt) <= maxReportAge {
			requests[t.region] += p.load(now, s, t)
			slots[t.region] += float64(t.upstream.Slots)
		}
	}
	shares := 0.0
	for region, n := range slots {
		share := s.shares.byRegion[region]
		utilization += share * requests[region] / max(n, 1)
		shares += share
	}
	if shares <= 0 {
		return 0, 0, false
	}
	return utilization / shares, s.serviceTime, true
}
