package placement

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

// The bounds of the shares of regions in the stable assignment.
const (
	// maxMembershipShift bounds the share of the objects that change their region within a second
	// for upstreams that join or leave, beside maxShareStepPerSecond. With the spill of a second both
	// stay below half of the 0.15 of a region's requests that may change their region in 2 s.
	maxMembershipShift = 0.015
	// maxBusyUtilization is the fraction of its slots up to which a region keeps the objects that
	// it has, though the shares that the demand calls for are others. Requests begin to wait
	// above it, since they arrive at random.
	maxBusyUtilization = 0.6
	// maxAwayShare is the share of the requests that may stay away from this region for the sake
	// of few moves, though it has room for them. Each costs bytes between regions.
	maxAwayShare = 0.15
	// minShare is the share that a region without one counts as when the others have to give up
	// objects.
	minShare = 1e-3
	// maxReturnPerSecond is the part of their objects that upstreams get back per second after an
	// evacuation though the share of their region can't grow. As many others leave it meanwhile.
	maxReturnPerSecond = 0.02
)

// stableShares assign regions and upstreams in one race for each object: every upstream of every
// region draws an exponential time with its weight as the rate, and the upstream with the shortest
// time is preferred (weighted rendezvous hashing). The weight is the number of slots times a
// factor of the region. While the factors stay, an upstream that joins or leaves moves only the
// objects that it gains or loses.
type stableShares struct {
	// regions are the ones that the other fields are for, in the same order.
	regions []string
	// perSlot holds the factor of each region. Only their ratios count.
	perSlot []float64
	// reduced holds the failure domains that are evacuated, and those that were until a short time
	// ago. Their upstreams still take part, so that their objects stay in the region.
	reduced map[string]bool
	// kept holds the part of these objects that stays in the region: 1 at first, less once the region
	// has to give up objects, and rising to 1 after the evacuation.
	kept []float64
	// moved is the share of the objects that changed their region since the last step for
	// upstreams that join or leave.
	moved float64
	// joining and left hold the upstreams whose joining or leaving is still to take effect for a
	// part of the objects; see target.part.
	joining, left []*target
}

// regionSlots holds the slots of each region, in the order of service.regions, and those of them
// that belong to reduced failure domains.
type regionSlots struct{ all, reduced []float64 }

// regionSlots returns the slots of each region. Those of draining upstreams count.
func (s *service) regionSlots() regionSlots {
	slots := regionSlots{make([]float64, len(s.regions)), make([]float64, len(s.regions))}
	for at, has := range s.capacity {
		r := slices.Index(s.regions, at.region)
		slots.all[r] += float64(has.slots)
		if s.stable.reduced[at.failureDomain] {
			slots.reduced[r] += float64(has.slots)
		}
	}
	add := func(t *target, part float64) {
		r := slices.Index(s.regions, t.region)
		slots.all[r] += part * float64(t.upstream.Slots)
		if s.stable.reduced[t.upstream.FailureDomain] {
			slots.reduced[r] += part * float64(t.upstream.Slots)
		}
	}
	for _, t := range s.stable.joining {
		add(t, t.part-1)
	}
	for _, t := range s.stable.left {
		add(t, t.part)
	}
	return slots
}

// shares returns the share of each region. What a region doesn't keep is divided among the others
// by their weights.
func (w *stableShares) shares(slots regionSlots) []float64 {
	weights, all := make([]float64, len(w.perSlot)), make([]float64, len(w.perSlot))
	for r := range all {
		weights[r] = w.perSlot[r] * slots.all[r]
	}
	scale(weights)
	for r := range all {
		all[r] += weights[r]
		given := weights[r] * slots.reducedPart(r) * (1 - w.kept[r])
		if given == 0 || weights[r] >= 1 {
			continue
		}
		all[r] -= given
		for other := range all {
			if other != r {
				all[other] += given * weights[other] / (1 - weights[r])
			}
		}
	}
	return all
}

// reducedPart returns the part of the slots of a region that belongs to reduced failure domains.
func (s regionSlots) reducedPart(r int) float64 { return s.reduced[r] / max(s.all[r], 1) }

// set changes the factors for the shares. A region with reduced failure domains gives up objects of
// these first, and takes them back first.
func (w *stableShares) set(shares []float64, slots regionSlots) {
	w.normalize(slots)
	current := w.shares(slots)
	for r, share := range shares {
		reduced := w.perSlot[r] * slots.reduced[r]
		if reduced > 0 {
			w.kept[r] = max(0, min(1, w.kept[r]+(share-current[r])/reduced))
		}
	}
	w.fit(shares, slots)
}

// normalize makes the sum of all weights 1, which moves nothing.
func (w *stableShares) normalize(slots regionSlots) {
	total := 0.0
	for r := range w.perSlot {
		total += w.perSlot[r] * slots.all[r]
	}
	for r := range w.perSlot {
		w.perSlot[r] /= max(total, math.SmallestNonzeroFloat64)
	}
}

// fit changes the factors of the regions so that the shares are as given. Each round comes
// closer; one is enough while no region gives up objects of reduced failure domains.
func (w *stableShares) fit(shares []float64, slots regionSlots) {
	const rounds = 8
	weights := make([]float64, len(shares))
	for range rounds {
		for r, share := range w.shares(slots) {
			weights[r] = w.perSlot[r] * slots.all[r]
			if share > 0 {
				weights[r] *= shares[r] / share
			} else {
				weights[r] = shares[r]
			}
		}
		scale(weights)
		for r := range weights {
			w.perSlot[r] = weights[r] / max(slots.all[r], 1)
		}
	}
}

// setStable changes the factors for the shares.
func (s *service) setStable(shares []float64) {
	s.stable.set(shares, s.regionSlots())
	s.publishShares(shares)
}

// publishShares sets the shares that Shares returns.
func (s *service) publishShares(shares []float64) {
	byRegion := make(map[string]float64, len(shares))
	for r, region := range s.regions {
		byRegion[region] = shares[r]
	}
	s.shares.byRegion = byRegion
}

// startStable sets the factors for the shares in s.shares, whatever they were.
func (s *service) startStable(evacuated map[string]bool) {
	shares := s.inOrder(s.shares.byRegion)
	s.stable = stableShares{
		regions: slices.Clone(s.regions),
		perSlot: make([]float64, len(shares)),
		reduced: maps.Clone(evacuated),
		kept:    slices.Repeat([]float64{1}, len(shares)),
	}
	s.setStable(shares)
}

// keepStable is called after upstreams have joined, left or been evacuated. The factors of the
// regions stay.
func (s *service) keepStable(evacuated map[string]bool) {
	old := s.stable
	n := len(s.regions)
	s.stable = stableShares{
		regions: slices.Clone(s.regions), perSlot: make([]float64, n), reduced: map[string]bool{},
		kept: slices.Repeat([]float64{1}, n), moved: old.moved, joining: old.joining,
		left: slices.DeleteFunc(old.left, func(t *target) bool { return !slices.Contains(s.regions, t.region) }),
	}
	w := &s.stable
	maps.Copy(w.reduced, old.reduced)
	maps.Copy(w.reduced, evacuated)
	slots := s.regionSlots()
	for r, region := range s.regions {
		before := slices.Index(old.regions, region)
		if before < 0 {
			continue
		}
		w.perSlot[r] = old.perSlot[before]
		if slots.reduced[r] > 0 {
			w.kept[r] = old.kept[before]
		}
	}
	if slices.Max(w.perSlot) <= 0 {
		s.startStable(evacuated)
		return
	}
	s.takeEffect(maxMembershipShift)
}

// join makes the upstream take part in the race, for no objects at first or for those that it had
// when it left.
func (w *stableShares) join(t *target) {
	t.part = 0
	w.left = slices.DeleteFunc(w.left, func(known *target) bool {
		if known.hash == t.hash {
			t.part = known.part
		}
		return known.hash == t.hash
	})
	w.joining = append(w.joining, t)
}

// leave keeps the upstream in the race for the objects that it had, so that they stay in its region.
func (w *stableShares) leave(t *target) {
	w.joining = slices.DeleteFunc(w.joining, func(known *target) bool { return known.hash == t.hash })
	left := *t
	w.left = append(w.left, &left)
}

// replace lets another start of an upstream take its part.
func (w *stableShares) replace(old, next *target) {
	next.part = old.part
	if n := slices.Index(w.joining, old); n >= 0 {
		w.joining[n] = next
	}
}

// takeEffect lets upstreams that join or have left take effect for as many objects as keep the
// share of those that change their region since the last step within the limit.
func (s *service) takeEffect(limit float64) {
	w := &s.stable
	if len(w.joining) == 0 && len(w.left) == 0 {
		s.publishShares(w.shares(s.regionSlots()))
		return
	}
	joining, left := parts(w.joining), parts(w.left)
	before := s.regionSlots()
	// apply takes effect for the part x of what is left to do and returns the share of the objects
	// that change their region at most.
	apply := func(x float64) float64 {
		gained, lost := make([]float64, len(s.regions)), make([]float64, len(s.regions))
		for n, t := range w.joining {
			t.part = joining[n] + (1-joining[n])*x
			gained[slices.Index(s.regions, t.region)] += (t.part - joining[n]) * float64(t.upstream.Slots)
		}
		for n, t := range w.left {
			t.part = left[n] * (1 - x)
			lost[slices.Index(s.regions, t.region)] += (left[n] - t.part) * float64(t.upstream.Slots)
		}
		after := s.regionSlots()
		sharesBefore, sharesAfter := w.shares(before), w.shares(after)
		moved := 0.0
		for r := range s.regions {
			moved += sharesAfter[r] * gained[r] / max(after.all[r], 1) * (1 - sharesBefore[r])
			moved += sharesBefore[r] * lost[r] / max(before.all[r], 1) * (1 - sharesAfter[r])
		}
		return moved
	}
	room := limit - w.moved
	moved := apply(1)
	if moved <= room {
		w.joining, w.left = nil, nil
	} else {
		const halvings = 10
		from, to := 0.0, 1.0
		for range halvings {
			if middle := (from + to) / 2; apply(middle) <= room {
				from = middle
			} else {
				to = middle
			}
		}
		moved = apply(from)
	}
	w.moved += moved
	s.publishShares(w.shares(s.regionSlots()))
}

func parts(targets []*target) []float64 {
	all := make([]float64, len(targets))
	for n, t := range targets {
		all[n] = t.part
	}
	return all
}

// scale scales the values to a sum of 1, if that is not 0.
func scale(values []float64) {
	total := 0.0
	for _, v := range values {
		total += v
	}
	for r := range values {
		values[r] /= max(total, math.SmallestNonzeroFloat64)
	}
}

// inOrder returns the values by region in the order of s.regions, scaled to a sum of 1, or equal
// ones if there are none.
func (s *service) inOrder(byRegion map[string]float64) []float64 {
	values := make([]float64, len(s.regions))
	most := 0.0
	for r, region := range s.regions {
		values[r] = byRegion[region]
		most = max(most, values[r])
	}
	if most == 0 {
		values = slices.Repeat([]float64{1}, len(values))
	}
	scale(values)
	return values
}

// limited returns the shares on the way from one to the other, none of which has changed by more
// than the limit.
func limited(from, to []float64, limit float64) []float64 {
	most := 0.0
	for r := range to {
		most = max(most, math.Abs(to[r]-from[r]))
	}
	if most <= limit {
		return to
	}
	next := make([]float64, len(to))
	for r := range to {
		next[r] = from[r] + (to[r]-from[r])*limit/most
	}
	return next
}

// stepStable moves the shares one step towards the range that the demand of this region allows
// around the target, and not at all within it. It reports whether objects move.
func (p *Pool) stepStable(now time.Time, s *service, demand Demand, target, slots map[string]float64, perSlot float64) bool {
	elapsed := min(now.Sub(s.shares.steppedAt).Seconds(), 2)
	s.shares.steppedAt = now
	if s.stable.perSlot == nil {
		s.shares.byRegion = target
		s.startStable(p.settings.Evacuated)
		return false
	}
	hashed := s.regionSlots()
	s.stable.normalize(hashed)
	current := s.stable.shares(hashed)
	s.stable.moved = 0
	if len(s.stable.joining)+len(s.stable.left) > 0 {
		// Their objects come from all regions; a change of the shares now would move others too.
		s.takeEffect(maxShareStepPerSecond * elapsed)
		s.stable.moved = 0
		return true
	}
	low, high := s.shareRange(p.self.Region, demand, s.inOrder(target), slots, perSlot)
	returning := s.returning(p.settings.Evacuated, hashed)
	for r := range low {
		if returning[r] {
			low[r] = max(low[r], min(high[r], current[r]+(1-s.stable.kept[r])*s.stable.perSlot[r]*hashed.reduced[r]))
		}
	}
	limit := maxShareStepPerSecond * elapsed
	if len(slices.DeleteFunc(slices.Clone(hashed.reduced), func(n float64) bool { return n < 1 })) > 1 {
		// Objects leave one of these regions while others return to another one.
		limit /= 2
	}
	next := limited(current, nearest(current, low, high), limit)
	if !slices.Equal(next, current) {
		s.setStable(next)
	}
	s.endReturn(returning, current, next, maxReturnPerSecond*elapsed)
	return slices.Contains(returning, true) || !slices.Equal(next, current)
}

// returning reports for each region whether it has reduced failure domains, none of which is
// evacuated any more.
func (s *service) returning(evacuated map[string]bool, slots regionSlots) []bool {
	returning := make([]bool, len(s.regions))
	for r := range returning {
		returning[r] = slots.reduced[r] > 0
	}
	for at := range s.capacity {
		if evacuated[at.failureDomain] {
			returning[slices.Index(s.regions, at.region)] = false
		}
	}
	return returning
}

// endReturn makes regions whose failure domains are not evacuated any more keep more of their
// objects by the step, also if their shares can't grow, and ends the reduction of those that keep all.
func (s *service) endReturn(returning []bool, before, shares []float64, step float64) {
	w := &s.stable
	for r := range returning {
		if !returning[r] {
			continue
		}
		if shares[r] <= before[r] {
			w.kept[r] = min(1, w.kept[r]+step)
			w.fit(shares, s.regionSlots())
		}
		for at := range s.capacity {
			if at.region == s.regions[r] && w.kept[r] >= 1 {
				delete(w.reduced, at.failureDomain)
			}
		}
	}
}

// shareRange returns the lowest and the highest share that each region may have. A region may have
// more than the target while it and the others stay below maxBusyUtilization; each region may
// use an equal part of that room.
func (s *service) shareRange(self string, demand Demand, aim []float64, slots map[string]float64, perSlot float64) (low, high []float64) {
	total, totalSlots := 0.0, 0.0
	for region, n := range slots {
		total += demand[region]
		totalSlots += n
	}
	busyPerSlot := perSlot * maxBusyUtilization / maxLocalUtilization
	room := max(0, busyPerSlot-max(total/max(totalSlots, 1), perSlot)) / float64(len(s.regions))
	low, high = make([]float64, len(aim)), make([]float64, len(aim))
	for r, region := range s.regions {
		high[r] = 1
		if demand[self] > 0 {
			high[r] = min(1, aim[r]+slots[region]*room/demand[self])
		}
		if region == self {
			low[r] = max(0, aim[r]-maxAwayShare)
		}
		if slots[region] <= 0 {
			high[r] = aim[r]
		}
	}
	return low, high
}

// nearest returns shares within the bounds that differ little from the current ones. What a region
// has to give up or to take is divided among the others in proportion to their shares, as far as
// the bounds allow: the objects in question are divided like that without other moves.
func nearest(current, low, high []float64) []float64 {
	// factorBound and halvings are for the search of the common factor of all shares.
	const factorBound, halvings = 1e3, 60
	next := make([]float64, len(current))
	within := func(factor float64) float64 {
		total := 0.0
		for r := range current {
			share := factor * current[r]
			if factor > 1 {
				share = max(share, minShare)
			}
			next[r] = max(low[r], min(high[r], share))
			total += next[r]
		}
		return total
	}
	if math.Abs(within(1)-1) < 1e-9 {
		return next
	}
	from, to := 0.0, factorBound
	for range halvings {
		if middle := (from + to) / 2; within(middle) < 1 {
			from = middle
		} else {
			to = middle
		}
	}
	within(to)
	scale(next)
	return next
}

// logTableBits is the number of bits of the mantissa by which negativeLog looks up logarithms.
const logTableBits = 8

// logTable holds -ln(x) for x from 1 to 2 in equal steps.
var logTable = func() (table [1<<logTableBits + 1]float64) {
	for n := range table {
		table[n] = -math.Log1p(float64(n) / (1 << logTableBits))
	}
	return table
}()

// negativeLog returns -ln(u) of the fraction u of 2^64 that the hash is, an exponential time. The
// table makes it several times faster than math.Log; its error is below 2e-6.
func negativeLog(hash uint64) float64 {
	hash |= 1
	zeros := bits.LeadingZeros64(hash)
	mantissa := hash << zeros << 1
	n := mantissa >> (64 - logTableBits)
	part := float64(mantissa<<logTableBits>>11) / (1 << 53)
	a := logTable[n]
	return float64(zeros+1)*math.Ln2 + a + part*(logTable[n+1]-a)
}

// stableCandidates is as candidates, in the stable assignment.
func (p *Pool) stableCandidates(now time.Time, s *service, q Query) *ranking {
	if s.stable.perSlot == nil {
		s.startStable(p.settings.Evacuated)
	}
	p.ready, p.regionTimes, p.firsts = p.ready[:0], p.regionTimes[:0], p.firsts[:0]
	for range s.regions {
		p.regionTimes = append(p.regionTimes, math.Inf(1))
		p.firsts = append(p.firsts, nil)
	}
	usable := 0
	part := fraction(mix(q.Object))
	for _, t := range s.targets {
		region := slices.Index(s.regions, t.region)
		drawn := negativeLog(t.rank(q.Object)) * t.perSlot
		if t.part <= part {
			drawn = math.Inf(1)
		}
		if drawn < p.regionTimes[region] {
			p.regionTimes[region] = drawn
			p.firsts[region] = t
		}
		if !t.accepts() || !p.allows(t, q) {
			continue
		}
		p.ready = append(p.ready, ranked{target: t, region: region, rank: ^math.Float64bits(drawn)})
		if t.usable(now) {
			usable++
		}
	}
	for _, t := range s.stable.left {
		region := slices.Index(s.regions, t.region)
		if drawn := negativeLog(t.rank(q.Object)) * t.perSlot; t.part > part && drawn < p.regionTimes[region] {
			p.regionTimes[region] = drawn
			p.firsts[region] = t
		}
	}
	if usable != len(p.ready) && usable >= len(p.ready)/minUsableDivisor {
		p.ready = slices.DeleteFunc(p.ready, func(c ranked) bool { return !c.target.usable(now) })
	}
	positions := p.regionPositions(s, part)
	for n := range p.ready {
		p.ready[n].region = positions[p.ready[n].region]
	}
	return &ranking{candidates: p.ready}
}

// regionPositions returns the position of each region in the order of the object, given the
// first upstream of each in p.firsts and its time in p.regionTimes. part is that of the object, by
// which it is among the ones that are moved first or last. A region whose first upstream
// is in a reduced failure domain comes last if it doesn't keep the object. The result is valid
// until the next call.
func (p *Pool) regionPositions(s *service, part float64) []int {
	w := &s.stable
	preferred := 0
	for r := range p.regionTimes {
		p.regionTimes[r] /= w.perSlot[r]
		if p.regionTimes[r] < p.regionTimes[preferred] {
			preferred = r
		}
	}
	if first := p.firsts[preferred]; len(w.reduced) > 0 && first != nil && w.reduced[first.upstream.FailureDomain] && part >= w.kept[preferred] {
		p.regionTimes[preferred] = math.Inf(1)
	}
	p.positions = p.positions[:0]
	for r, own := range p.regionTimes {
		before := 0
		for other, drawn := range p.regionTimes {
			if drawn < own || drawn == own && s.regions[other] < s.regions[r] {
				before++
			}
		}
		p.positions = append(p.positions, before)
	}
	return p.positions
}

// fraction returns the hash as a fraction from 0 to below 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
