package canary

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRouteShare is the largest share of a route's requests that goes to a new version. The
	// rest shows how the old version does on the route.
	maxRouteShare = 0.9
	// minRouteShare is the smallest share of a route's requests, as a fraction of that of the
	// service, so that a fault that begins late is seen on every route.
	minRouteShare = 0.25
	// usedSlack is the fraction of the requests beyond the share that is used; the rest covers
	// the random variation of the splits and requests in flight at a reversion.
	usedSlack = 0.6
	// usedRemainder is the fraction of the share of the time after the canary phase that is
	// used before: after a reversion the new version gets none of it. The rest covers a fall
	// of the service's load.
	usedRemainder = 0.5
	// minMeasured is the time from which the measured rates of requests are used. Before, few
	// of the responses have been counted.
	minMeasured = 1500 * time.Millisecond
	// minUnknown is the time from which a route without a response counts as one with few
	// requests.
	minUnknown = 3 * time.Second
	// maxAheadInstances divided by the number of instances, but at least 1, is the number of
	// requests that an instance may send to the new version ahead of its share.
	maxAheadInstances = 20
	// shareSteps is the number of bisections for the level of responses.
	shareSteps = 40
)

// Bounds limit the requests that a new version gets until it is promoted.
type Bounds struct {
	// Share is the share of a service's requests, Slack the number beyond it.
	Share, Slack float64
	// Instances is the number of entry instances that divide Slack.
	Instances int
}

// Shares are the shares of the requests of each route that go to the new version.
type Shares struct {
	// ByRoute has the routes that were measured, Unknown is for the others.
	ByRoute map[string]float64
	Unknown float64
	// Default is the share of all requests.
	Default float64
	// Slack is the number of requests beyond Default that this instance may have sent by now.
	Slack float64
	// Ahead is the number of requests that it may send ahead of them.
	Ahead float64
}

// Shares divides the requests that the new version may get over the routes, so that those with
// the fewest responses of the new version get the most, within the bounds.
func (r *Rollout) Shares(now time.Time, b Bounds) Shares {
	canaryTime := r.latestDecision().Sub(r.Started).Seconds()
	elapsed := now.Sub(r.Started).Seconds()
	remainder := r.Order.Within.Seconds()/canaryTime - 1
	instances := float64(max(b.Instances, 1))
	s := Shares{
		Default: min(b.Share*(1+usedRemainder*remainder), maxRouteShare),
		Slack:   usedSlack * b.Slack / instances * min(max(elapsed/canaryTime, 0), 1),
		Ahead:   max(maxAheadInstances/instances, 1),
	}
	s.Unknown = s.Default
	current := newSample(r.totals())
	if now.Sub(r.knownSince) < minMeasured || elapsed <= 0 {
		return s
	}
	if now.Sub(r.knownSince) >= minUnknown && len(current.new) > 0 {
		s.Unknown = maxRouteShare
	}
	rates := map[string]float64{}
	var total float64
	for _, route := range current.routes() {
		rates[route] = current.requests(route) / elapsed
		total += rates[route]
	}
	budget := s.Default*total + usedSlack*b.Slack/canaryTime
	left := max(canaryTime-elapsed, 1)
	s.ByRoute = level(rates, current.new, left, budget, minRouteShare*s.Default)
	return s
}

// level returns the shares with which all routes have, as far as possible, the same number of
// responses of the new version after the time that is left, while it gets budget requests a
// second.
func level(rates map[string]float64, responses map[string]Count, left, budget, least float64) map[string]float64 {
	shares := make(map[string]float64, len(rates))
	routes := slices.Sorted(maps.Keys(rates))
	low, high := 0.0, 0.0
	for _, route := range routes {
		rate := rates[route]
		high = max(high, float64(responses[route].Answers)+rate*left)
	}
	for range shareSteps {
		middle := (low + high) / 2
		var used float64
		for _, route := range routes {
			rate := rates[route]
			missing := (middle - float64(responses[route].Answers)) / (rate * left)
			shares[route] = min(max(missing, least), maxRouteShare)
			used += shares[route] * rate
		}
		if used > budget {
			high = middle
		} else {
			low = middle
		}
	}
	return shares
}

// Split chooses the requests that go to the new version at one instance. It is safe for
// concurrent use.
type Split struct {
	mu     sync.Mutex
	shares Shares
	// credits holds, by route, the part of the next request that is due to the new version.
	credits map[string]float64
	// phase returns the initial credit of a route.
	phase func(route string) float64
	// earned is the number of requests that Shares.Default allows so far, chosen the number of
	// those that were chosen.
	earned, chosen float64
}

// NewSplit returns a split that chooses no request yet. phase returns the initial credit of a
// route, between 0 and 1. It must vary over the instances: with the same one for all, many
// instances with few requests each would together choose far fewer or more than their share.
func NewSplit(phase func(route string) float64) *Split {
	return &Split{credits: map[string]float64{}, phase: phase}
}

// Set sets the shares for the next requests.
func (s *Split) Set(shares Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
}

func (s *Split) share(route string) float64 {
	if share, ok := s.shares.ByRoute[route]; ok {
		return share
	}
	return s.shares.Unknown
}

// Next counts a request of the route and reports whether it goes to the new version. Each
// request is counted once, however often it is sent.
func (s *Split) Next(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	credit, chosen := s.due(route)
	s.earned += s.shares.Default
	if chosen {
		s.chosen++
		credit--
	}
	s.credits[route] = min(credit, 1)
	return chosen
}

// Peek reports whether Next would choose a request of the route, and the share of its requests
// that go to the new version. It counts nothing.
func (s *Split) Peek(route string) (chosen bool, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, chosen = s.due(route)
	return chosen, s.share(route)
}

// due returns the credit of the route with its next request, and whether that goes to the new
// version.
func (s *Split) due(route string) (credit float64, chosen bool) {
	credit, ok := s.credits[route]
	if !ok {
		credit = s.phase(route)
	}
	credit += s.share(route)
	return credit, credit >= 1 && s.chosen+1 <= s.earned+s.shares.Default+s.shares.Slack+s.shares.Ahead
}

// Return takes back the choice of a request that the new version did not get after all. If no
// upstream got it, sent is false, and the request does not count for the share either.
func (s *Split) Return(route string, chosen, sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sent {
		s.earned -= s.shares.Default
		s.credits[route] -= s.share(route)
	}
	if chosen {
		s.chosen--
		s.credits[route] = min(s.credits[route]+1, 1)
	}
}
