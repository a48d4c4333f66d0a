package canary

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// normalErrorRate is the error rate of a sound version, 1 in 1,000.
	normalErrorRate = 0.001
	// maxErrorRate is the highest error rate that is assumed of any version.
	maxErrorRate = 0.95
	// baselineWeight is the number of responses that the prior error rate of the old version
	// counts for: a route with few responses takes that of the service.
	baselineWeight = 20
	// serviceErrorRate is the smallest error rate of a service that matters. Below it, the
	// requests that a new version may get until it is promoted show too few errors.
	serviceErrorRate = 0.02
	// routeErrorRate is the error rate that matters on any route, however few of the service's
	// requests it has. Seven responses without an error exclude it.
	routeErrorRate = 0.35
	// comparedRate, as a fraction of the smallest rate that matters on a route, is the smallest
	// difference that is looked for there. Single errors on one of several routes would revert
	// one sound version in ten otherwise.
	comparedRate = 0.33
	// missProbability is the probability that a version with the smallest rate that matters
	// shows no error in the needed responses.
	missProbability = 0.05
	// firstStartWeight is the weight of versions that are bad from the order on; the others
	// share the rest.
	firstStartWeight = 0.5
	// laterStarts is the number of later times from which a version may be bad.
	laterStarts = 12
	// startsPerOrder divides the time of an order into the intervals between these times. The
	// last one is at three quarters of it, after the latest promotion.
	startsPerOrder = 16
	// stopRatio is the likelihood ratio at which a version is stopped at once. By Ville's
	// inequality a sound version reaches it at any time with a probability below 1 in 200.
	stopRatio = 200
	// revertRatio is the likelihood ratio at which a version is reverted when the time for
	// evidence has ended: both explanations are equally likely, and only a promotion cannot be
	// taken back.
	revertRatio = 1
)

// rateDifferences are the differences of the error rates that a bad version may have.
var rateDifferences = [...]float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5}

// sample is the counts of all instances at one time, by route.
type sample struct {
	old, new map[string]Count
}

func newSample(total map[Key]Count) sample {
	s := sample{old: map[string]Count{}, new: map[string]Count{}}
	for key, c := range total {
		if key.New {
			s.new[key.Route] = c
		} else {
			s.old[key.Route] = c
		}
	}
	return s
}

// requests returns the number of responses of both versions on the route.
func (s sample) requests(route string) float64 {
	return float64(s.old[route].Answers) + float64(s.new[route].Answers)
}

// total returns the number of responses of both versions.
func (s sample) total() float64 { return float64(sum(s.old).Answers) + float64(sum(s.new).Answers) }

// routes returns the routes that had responses, in a fixed order.
func (s sample) routes() []string {
	routes := slices.AppendSeq(slices.Collect(maps.Keys(s.old)), maps.Keys(s.new))
	slices.Sort(routes)
	return slices.Compact(routes)
}

// since returns what was counted after an earlier sample. The counts of an instance that
// has restarted may be missing in the later one.
func (s sample) since(earlier sample) sample {
	return sample{old: since(s.old, earlier.old), new: since(s.new, earlier.new)}
}

func since(counts, earlier map[string]Count) map[string]Count {
	difference := make(map[string]Count, len(counts))
	for route, c := range counts {
		e := earlier[route]
		if c.Answers >= e.Answers && c.Errors >= e.Errors {
			difference[route] = Count{Answers: c.Answers - e.Answers, Errors: c.Errors - e.Errors}
		}
	}
	return difference
}

func sum(counts map[string]Count) Count {
	var total Count
	for _, c := range counts {
		total = total.Add(c)
	}
	return total
}

// errorRate returns the error rate of the count, drawn towards the prior.
func errorRate(c Count, prior float64) float64 {
	rate := (float64(c.Errors) + baselineWeight*prior) / (float64(c.Answers) + baselineWeight)
	return min(max(rate, normalErrorRate), maxErrorRate)
}

// likelihoodRatio compares a higher error rate, by one of rateDifferences that is at least
// least, with the rate of the baseline.
func likelihoodRatio(c Count, baseline, least float64) float64 {
	var total, compared float64
	errors, others := float64(c.Errors), float64(c.Answers-c.Errors)
	for _, difference := range rateDifferences {
		if difference < least {
			continue
		}
		rate := min(baseline+difference, (1+maxErrorRate)/2)
		total += math.Exp(errors*math.Log(rate/baseline) + others*math.Log((1-rate)/(1-baseline)))
		compared++
	}
	return total / compared
}

// ratio compares "bad on all routes or on one of them" with "like the old version". whole is
// the sample of the whole roll-out, whose baseline counts if it is higher: with few
// responses of the old version its errors may be missing from this one.
func (s sample) ratio(whole sample) (ratio float64, worst string) {
	rate := max(errorRate(sum(s.old), normalErrorRate), errorRate(sum(whole.old), normalErrorRate))
	all := likelihoodRatio(sum(s.new), rate, 0)
	if len(s.new) == 0 {
		return 1, ""
	}
	var byRoute, highest float64
	for _, route := range s.routes() {
		c, ok := s.new[route]
		if !ok {
			continue
		}
		matters := relevantRate(whole.requests(route) / whole.total())
		r := likelihoodRatio(c, max(errorRate(s.old[route], rate), errorRate(whole.old[route], rate)), comparedRate*matters)
		byRoute += r
		if r > highest {
			highest, worst = r, route
		}
	}
	return (all + byRoute/float64(len(s.new))) / 2, worst
}

// observe keeps a sample for each later start whose time has come.
func (r *Rollout) observe(now time.Time, current sample) {
	interval := r.Order.Within / startsPerOrder
	for len(r.starts) < laterStarts && now.Sub(r.Started) >= interval*time.Duration(len(r.starts)+1) {
		r.starts = append(r.starts, current)
	}
}

// ratio returns the likelihood ratio of a worse version to a sound one, and the route with the
// most evidence since the order.
func (r *Rollout) ratio(current sample) (ratio float64, worst string) {
	first, worst := current.ratio(current)
	ratio = firstStartWeight * first
	for _, start := range r.starts {
		later, _ := current.since(start).ratio(current)
		ratio += (1 - firstStartWeight) / laterStarts * later
	}
	return ratio, worst
}

// Shortage is a route on which there is too little evidence.
type Shortage struct {
	Route string
	// Answers are the responses of the new version, Needed those that it needs.
	Answers, Needed uint32
	// unobserved is set when there are none, although the route had enough requests for some.
	unobserved bool
}

// relevantRate returns the smallest error rate that matters on a route with the given share of
// the service's requests: the rate at which serviceErrorRate of all requests of the service
// fail, up to routeErrorRate.
func relevantRate(share float64) float64 {
	return min(max(serviceErrorRate/share, serviceErrorRate), routeErrorRate)
}

// neededResponses returns the responses without an error that exclude relevantRate.
func neededResponses(share float64) uint32 {
	return uint32(math.Ceil(math.Log(missProbability) / math.Log(1-relevantRate(share))))
}

// shortage returns the route that lacks the largest part of its evidence, or nil. Without any
// response, the name of the route is empty.
func (s sample) shortage() *Shortage {
	total := s.total()
	if total == 0 {
		return &Shortage{Needed: neededResponses(1)}
	}
	var found *Shortage
	for _, route := range s.routes() {
		has, needed := s.new[route].Answers, neededResponses(s.requests(route)/total)
		if has >= needed {
			continue
		}
		next := &Shortage{Route: route, Answers: has, Needed: needed, unobserved: has == 0 && s.old[route].Answers >= minUnobserved}
		if found == nil || next.lacksMoreThan(found) {
			found = next
		}
	}
	return found
}

func (s *Shortage) lacksMoreThan(other *Shortage) bool {
	if s.unobserved != other.unobserved {
		return s.unobserved
	}
	return s.Answers*other.Needed < other.Answers*s.Needed
}
