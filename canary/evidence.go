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
	// counts for: a route or time with few responses takes that of the service or of the whole
	// roll-out.
	baselineWeight = 10
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
			answers := c.Answers - e.Answers
			difference[route] = Count{Answers: answers, Errors: min(c.Errors-e.Errors, answers)}
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

// errorRate returns the error rate of the count, two standard deviations of the number of errors
// above it and drawn towards the prior: the baseline of a short time has few responses.
func errorRate(c Count, prior float64) float64 {
	errors := float64(c.Errors)
	rate := (errors + 2*math.Sqrt(errors) + baselineWeight*prior) / (float64(c.Answers) + baselineWeight)
	return min(max(rate, normalErrorRate), maxErrorRate)
}

// interval is what was counted of the new version in the time between two samples, and the
// error rate of the old one in it.
type interval struct {
	count    Count
	baseline float64
}

// likelihoodRatios compares a higher error rate, by one of rateDifferences that is at least
// least, with that of the old version. The first ratio is for a version that is bad in all
// intervals, the next one for one that is bad from the second on, and so on. As each interval has
// its own baseline, an outage of both versions is no evidence, whenever each of them had its
// requests.
func likelihoodRatios(intervals []interval, least float64) []float64 {
	ratios := make([]float64, len(intervals))
	compared := 0.0
	for _, difference := range rateDifferences {
		if difference < least {
			continue
		}
		compared++
		logarithm := 0.0
		for n := len(intervals) - 1; n >= 0; n-- {
			c, baseline := intervals[n].count, intervals[n].baseline
			rate := min(baseline+difference, (1+maxErrorRate)/2)
			logarithm += float64(c.Errors) * math.Log(rate/baseline)
			logarithm += float64(c.Answers-c.Errors) * math.Log((1-rate)/(1-baseline))
			ratios[n] += math.Exp(logarithm)
		}
	}
	for n := range ratios {
		ratios[n] /= compared
	}
	return ratios
}

// observe keeps a sample for each later start whose time has come.
func (r *Rollout) observe(now time.Time, current sample) {
	interval := r.Order.Within / startsPerOrder
	for len(r.starts) < laterStarts && now.Sub(r.Started) >= interval*time.Duration(len(r.starts)+1) {
		r.starts = append(r.starts, current)
	}
}

// ratio returns the likelihood ratio of a worse version, bad on all routes or on one of them and
// from the order or a later time on, to a sound one, and the route with the most evidence.
func (r *Rollout) ratio(current sample) (ratio float64, worst string) {
	increments := make([]sample, 0, len(r.starts)+1)
	var last sample
	for _, next := range append(slices.Clone(r.starts), current) {
		increments = append(increments, next.since(last))
		last = next
	}
	service := make([]interval, len(increments))
	overall := errorRate(sum(current.old), normalErrorRate)
	for n, s := range increments {
		service[n] = interval{sum(s.new), errorRate(sum(s.old), overall)}
	}
	ratios := likelihoodRatios(service, 0)
	byRoute := make([]float64, len(increments))
	var compared, highest float64
	for _, route := range current.routes() {
		if current.new[route].Answers == 0 {
			continue
		}
		compared++
		intervals := make([]interval, len(increments))
		for n, s := range increments {
			intervals[n] = interval{s.new[route], errorRate(s.old[route], service[n].baseline)}
		}
		matters := relevantRate(current.requests(route) / current.total())
		for n, one := range likelihoodRatios(intervals, comparedRate*matters) {
			byRoute[n] += one
			if one > highest {
				highest, worst = one, route
			}
		}
	}
	for n := range ratios {
		weight := firstStartWeight
		if n > 0 {
			weight = (1 - firstStartWeight) / laterStarts
		}
		ratio += weight * (ratios[n] + byRoute[n]/max(compared, 1)) / 2
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
