package placement

import (
	"cmp"
	"slices"
	"time"
)

// maxSelections is the number of candidates that are selected one by one. If more are needed, the
// rest is sorted.
const maxSelections = 8

// ranked is an upstream that may serve a request, with its place in the order of preference.
type ranked struct {
	target *target
	// region is the position of its region in the object's order of regions.
	region int
	rank   uint64
}

// newRanked returns the place of the upstream for the object, whose order of regions is given.
func newRanked(regions []string, t *target, object uint64) ranked {
	return ranked{target: t, region: slices.Index(regions, t.region), rank: t.rank(object)}
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(b.rank, a.rank))
}

// ranking holds the candidates for a request in order of preference: by the object's order of
// regions, then by rank. It is sorted only as far as it is read, since a request uses the first few.
type ranking struct {
	candidates []ranked
	// sorted is the number of candidates at the start that are in their place.
	sorted int
}

func (r *ranking) len() int { return len(r.candidates) }

// at returns candidate n, which must not be above len. It must be called in ascending order.
func (r *ranking) at(n int) *target {
	for r.sorted <= n {
		rest := r.candidates[r.sorted:]
		if r.sorted == maxSelections {
			slices.SortFunc(rest, compareRanked)
			r.sorted = len(r.candidates)
			break
		}
		best := 0
		region, rank := rest[0].region, rest[0].rank
		for i := range rest {
			c := &rest[i]
			if c.region < region || c.region == region && c.rank > rank {
				best, region, rank = i, c.region, c.rank
			}
		}
		rest[0], rest[best] = rest[best], rest[0]
		r.sorted++
	}
	return r.candidates[n].target
}

// candidates returns the usable upstreams that may serve the request. It includes the ejected ones when
// fewer than 1/minUsableDivisor of them are usable. The ranking is valid until the next call.
func (p *Pool) candidates(now time.Time, s *service, q Query) *ranking {
	if p.settings.Stable {
		return p.stableCandidates(now, s, q)
	}
	regions := s.shares.orderRegions(q.Object, s.regions)
	p.ready = p.ready[:0]
	usable := 0
	for _, t := range s.targets {
		if !t.accepts() || !p.allows(t, q) {
			continue
		}
		p.ready = append(p.ready, newRanked(regions, t, q.Object))
		if t.usable(now) {
			usable++
		}
	}
	if usable == len(p.ready) || usable < len(p.ready)/minUsableDivisor {
		return &ranking{candidates: p.ready}
	}
	p.ready = slices.DeleteFunc(p.ready, func(c ranked) bool { return !c.target.usable(now) })
	return &ranking{candidates: p.ready}
}
