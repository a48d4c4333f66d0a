package rollouts

import (
	"maps"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
)

// comparison holds the evidence that one instance has on one generation of a
// roll-out.
type comparison struct {
	object     dynamic.Rollout
	generation uint64
	recorder   *Recorder
	// local judges the counts of this instance, domains those of each failure
	// domain, fleet those of all instances.
	local   *Judge
	domains *Judge
	fleet   *Judge
	// peers holds the newest sample of each peer and route.
	peers map[peerRoute]Sample
}

// judgesPerInstance is the number of judges of a comparison.
const judgesPerInstance = 3

type peerRoute struct {
	peer  string
	route string
}

func newComparison(object dynamic.Rollout, generation uint64, routes []string, instances int) *comparison {
	recorder := &Recorder{
		rollout:    object.Name,
		generation: generation,
		from:       object.From,
		to:         object.To,
		byRoute:    map[string]*routeCounters{},
	}
	for _, route := range routes {
		recorder.byRoute[route] = &routeCounters{}
	}
	deadline := object.Deadline.Std()
	judges := judgesPerInstance * instances
	return &comparison{
		object:     object,
		generation: generation,
		recorder:   recorder,
		local:      NewJudge(deadline, len(routes), judges, 1),
		domains:    newSharedJudge(deadline, len(routes), judges, instances),
		fleet:      newSharedJudge(deadline, len(routes), judges, 1),
		peers:      map[peerRoute]Sample{},
	}
}

// matches reports whether the comparison covers the given object, generation
// and routes.
func (c *comparison) matches(object dynamic.Rollout, generation uint64, routes []string) bool {
	if c.object != object || c.generation != generation || len(routes) != len(c.recorder.byRoute) {
		return false
	}
	for _, route := range routes {
		if c.recorder.byRoute[route] == nil {
			return false
		}
	}
	return true
}

// judgeLocal adds the counts of this instance, which is in the given failure
// domain, to all judges and returns the first finding, or nil.
func (c *comparison) judgeLocal(now time.Time, domain string, step uint64) *Finding {
	for _, route := range slices.Sorted(maps.Keys(c.recorder.byRoute)) {
		c.countOverdue(now, route)
		sample := c.localSample(route, step)
		if finding := c.local.Add(now, sample); finding != nil {
			return finding
		}
		if finding := c.judgeShared(now, domain, sample); finding != nil {
			return finding
		}
	}
	return nil
}

// judgePeer adds the counts of a peer in the given failure domain to the shared
// judges and returns a finding, or nil.
func (c *comparison) judgePeer(now time.Time, domain string, sample Sample) *Finding {
	if c.recorder.byRoute[sample.Route] == nil {
		return nil
	}
	c.peers[peerRoute{sample.Instance, sample.Route}] = sample
	return c.judgeShared(now, domain, sample)
}

// judgeShared adds a sample to the judges that combine several instances. The
// owner of an upstream counts its requests, so one instance may have counts of
// one version only; the instances of a failure domain together mostly have both.
func (c *comparison) judgeShared(now time.Time, domain string, sample Sample) *Finding {
	sample.Stratum = domain
	if finding := c.domains.Add(now, sample); finding != nil {
		return finding
	}
	sample.Stratum = ""
	return c.fleet.Add(now, sample)
}

// suspected reports whether there is some evidence against the new version.
func (c *comparison) suspected() bool {
	return c.local.Suspected() || c.domains.Suspected() || c.fleet.Suspected()
}

// countOverdue counts the pending attempts of both versions that have exceeded
// the bound for slow responses on the route.
func (c *comparison) countOverdue(now time.Time, route string) {
	bucket, ok := c.fleet.slowBucket(route)
	if !ok || bucket >= bucketCount-1 {
		return
	}
	bound := time.Duration(bucketBound(bucket) * float64(time.Millisecond))
	counters := c.recorder.byRoute[route]
	counters.oldVersion.countOverdue(now.Add(-bound), bucket+1)
	counters.newVersion.countOverdue(now.Add(-bound), bucket+1)
}

func (c *comparison) localSample(route string, step uint64) Sample {
	counters := c.recorder.byRoute[route]
	return Sample{Route: route, Step: step, Old: counters.oldVersion.load(), New: counters.newVersion.load()}
}

// responses returns the number of requests counted for the new version on each
// route, over this instance and all peers that reported.
func (c *comparison) responses() map[string]uint64 {
	responses := make(map[string]uint64, len(c.recorder.byRoute))
	for route, counters := range c.recorder.byRoute {
		responses[route] = counters.newVersion.requests.Load()
	}
	for _, sample := range c.peers {
		responses[sample.Route] += sample.New.Requests
	}
	return responses
}
