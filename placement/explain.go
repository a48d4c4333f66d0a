package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

// Reason is why a request would go to an upstream, or why that is passed over.
type Reason uint8

// The reasons. The first one that applies is stated.
const (
	// ReasonChosen means that the request would go to the upstream.
	ReasonChosen Reason = iota
	// ReasonLessPreferred means that the upstream could serve the request, and another one is
	// preferred.
	ReasonLessPreferred
	// ReasonNotOfObject means that the object has upstreamsPerObject others before it.
	ReasonNotOfObject
	// ReasonDraining means that its entry says that it is not ready.
	ReasonDraining
	// ReasonLeaving means that it has stated in a response that it leaves.
	ReasonLeaving
	// ReasonEvacuated means that its failure domain is evacuated.
	ReasonEvacuated
	// ReasonVersion means that a roll-out sends the request to another version.
	ReasonVersion
	// ReasonHomeRegion means that the request may not run in its region.
	ReasonHomeRegion
	// ReasonTried means that an earlier attempt of the request used it.
	ReasonTried
	// ReasonEjected means that it has failed too often.
	ReasonEjected
	// ReasonColdLimit means that it is cold and this instance has no token for it.
	ReasonColdLimit
	// ReasonRateLimit means that the rate that it states leaves no room, or that the request
	// was denied a permit.
	ReasonRateLimit
	// ReasonPaused means that it has refused a request and gets none for a time.
	ReasonPaused
	// ReasonNoConnection means that requests in flight use all connections to it.
	ReasonNoConnection
	// ReasonQueueTooLong means that it is the first that may serve the request, and has too many
	// requests for each slot.
	ReasonQueueTooLong
	// ReasonBusy means that it is the second one, and has less spare capacity than it needs to
	// take over.
	ReasonBusy
	// ReasonOtherRegion means that no further request may leave the region now.
	ReasonOtherRegion
)

var reasonNames = [...]string{
	"chosen", "less_preferred", "not_of_object", "draining", "leaving", "evacuated", "version", "home_region", "tried",
	"ejected", "cold_limit", "rate_limit", "paused", "no_connection", "queue_too_long", "busy", "other_region",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// ReasonNames returns the names of all reasons.
func ReasonNames() []string { return slices.Clone(reasonNames[:]) }

// Explanation is what Acquire would decide on a request.
type Explanation struct {
	// Chosen is the upstream that would get the request; nil if Refusal is not Chosen.
	Chosen  *routing.Upstream
	Refusal Refusal
	// EjectionsIgnored is set when so many upstreams are ejected that requests are sent to them.
	EjectionsIgnored bool
	// Candidates holds all upstreams of the service, in the object's order of preference.
	Candidates []Candidate
}

// Candidate is one upstream in an Explanation.
type Candidate struct {
	Upstream *routing.Upstream
	Reason   Reason
	// For is the time until an ejection or a pause ends, if that is the reason.
	For time.Duration
	// InFlight is the number of requests of this instance at the upstream. Load is the
	// estimate of those of all instances.
	InFlight int
	Load     float64
	// Reported is set when the upstream has stated its load, ReportAge ago.
	Reported  bool
	ReportAge time.Duration
}

// Explain returns what Acquire would decide on the request now, and why. It changes nothing:
// no request is counted, and no token is taken. q.Admits must not change anything either.
func (p *Pool) Explain(now time.Time, q Query) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[q.Service]
	if s == nil {
		return Explanation{Refusal: NoCandidates}
	}
	regions := s.shares.orderRegions(q.Object, s.regions)
	all := make([]ranked, 0, len(s.targets))
	for _, t := range s.targets {
		all = append(all, newRanked(regions, t, q.Object))
	}
	slices.SortFunc(all, compareRanked)
	considered := map[*target]bool{}
	for _, candidate := range p.candidates(now, s, q).candidates {
		considered[candidate.target] = true
	}
	e := Explanation{Refusal: AllBusy}
	if len(considered) == 0 {
		e.Refusal = NoCandidates
	}
	walk := p.newWalk(now, s, q)
	fallback := -1
	for n, candidate := range all {
		t := candidate.target
		c := Candidate{Upstream: t.endpoint, InFlight: t.inFlight, Load: p.load(now, s, t), Reported: !t.reportedAt.IsZero()}
		if c.Reported {
			c.ReportAge = now.Sub(t.reportedAt)
		}
		switch {
		case !considered[t]:
			c.Reason = p.exclusion(t, q)
		default:
			e.EjectionsIgnored = e.EjectionsIgnored || !t.usable(now)
			c.Reason = walk.next(t)
		}
		switch c.Reason {
		case ReasonEjected:
			c.For = t.ejectedUntil.Sub(now)
		case ReasonPaused:
			c.For = t.shedUntil.Sub(now)
		case ReasonChosen:
			e.Chosen, e.Refusal = t.endpoint, Chosen
		case ReasonQueueTooLong:
			if t == walk.fallback {
				fallback = n
			}
		}
		e.Candidates = append(e.Candidates, c)
	}
	if e.Chosen == nil && fallback >= 0 {
		e.Candidates[fallback].Reason = ReasonChosen
		e.Chosen, e.Refusal = e.Candidates[fallback].Upstream, Chosen
	}
	if len(considered) > 0 && (s.paced || p.settings.Stable) {
		p.explainChoice(now, s, q, &e)
	}
	return e
}

// explainChoice puts the result of the choice itself into the explanation of a service whose upstreams
// state their pace, or whose objects are assigned by slots: it compares the candidates with each
// other, so that no single one tells the result. It restores the state that a choice changes.
func (p *Pool) explainChoice(now time.Time, s *service, q Query, e *Explanation) {
	spill, announced := s.spill, s.announced
	defer func() { s.spill, s.announced = spill, announced }()
	if len(q.Tried) == 0 && len(q.Denied) == 0 {
		s.spill.recordArrival(now)
	}
	candidates := p.candidates(now, s, q)
	var chosen *target
	if s.paced {
		chosen, _ = p.chooseByCompletion(now, s, candidates, q)
	} else {
		chosen = p.choose(now, s, candidates, q)
	}
	position := map[*routing.Upstream]int{}
	for n := range candidates.len() {
		position[candidates.at(n).endpoint] = n
	}
	// Those that may not serve the request come last.
	order := func(c Candidate) int { return lo.ValueOr(position, c.Upstream, len(position)) }
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int { return cmp.Compare(order(a), order(b)) })
	e.Chosen, e.Refusal = nil, AllBusy
	for n := range e.Candidates {
		c := &e.Candidates[n]
		switch {
		case chosen != nil && c.Upstream == chosen.endpoint:
			c.Reason = ReasonChosen
			e.Chosen, e.Refusal = c.Upstream, Chosen
		case c.Reason == ReasonChosen && chosen != nil:
			c.Reason = ReasonLessPreferred
		case c.Reason == ReasonChosen:
			c.Reason = ReasonBusy
		}
	}
}

// exclusion returns the reason why the upstream is no candidate for the request.
func (p *Pool) exclusion(t *target, q Query) Reason {
	switch {
	case t.upstream.State != registry.Ready:
		return ReasonDraining
	case !t.accepts():
		return ReasonLeaving
	case p.settings.Evacuated[t.upstream.FailureDomain]:
		return ReasonEvacuated
	case q.AllowsVersion != nil && !q.AllowsVersion(t.upstream.Version):
		return ReasonVersion
	case q.AllowsRegion != nil && !q.AllowsRegion(t.region):
		return ReasonHomeRegion
	case slices.Contains(q.Tried, t.upstream.ID):
		return ReasonTried
	}
	return ReasonEjected
}

// walk goes through the candidates as choose does, and changes nothing.
type walk struct {
	pool           *Pool
	now            time.Time
	service        *service
	query          Query
	maxUtilization float64
	// spill is the limiter as it is after the arrival of the request.
	spill    spillLimiter
	first    *target
	eligible int
	// chosen is set once a candidate is chosen that needs no comparison with later ones.
	chosen   bool
	fallback *target
}

func (p *Pool) newWalk(now time.Time, s *service, q Query) *walk {
	w := &walk{pool: p, now: now, service: s, query: q, maxUtilization: s.maxUtilization(q.TimeLeft), spill: s.spill}
	if len(q.Tried) == 0 && len(q.Denied) == 0 {
		w.spill.recordArrival(now)
	}
	return w
}

// next returns the reason for the next candidate in order of preference.
func (w *walk) next(t *target) Reason {
	w.first = cmp.Or(w.first, t)
	switch {
	case w.eligible >= upstreamsPerObject:
		return ReasonNotOfObject
	case !w.withinColdLimit(t):
		return ReasonColdLimit
	case !w.query.admits(t.upstream.ID):
		return ReasonRateLimit
	}
	w.eligible++
	switch {
	case w.now.Before(t.shedUntil):
		return ReasonPaused
	case t.withoutConnection():
		return ReasonNoConnection
	}
	utilization := (w.pool.load(w.now, w.service, t) + 1) / float64(t.upstream.Slots)
	found := fitOf(w.eligible == 1, t.region != w.first.region, utilization, w.maxUtilization)
	switch {
	case w.chosen && found != fitNone:
		return ReasonLessPreferred
	case found == fitSpill && !w.spill.tryTake():
		return ReasonOtherRegion
	case found == fitChosen, found == fitSpill:
		w.chosen = true
		return ReasonChosen
	case found == fitFallback:
		w.fallback = t
	}
	if w.eligible > 1 {
		return ReasonBusy
	}
	return ReasonQueueTooLong
}

// withinColdLimit is Pool.withinColdLimit on a copy of the limiter.
func (w *walk) withinColdLimit(t *target) bool {
	limit, cold := w.pool.coldLimit(w.now, t)
	limiter := t.cold
	return !cold || limiter.allows(w.now, limit.Rate)
}
