package rollouts

import (
	"maps"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
)

// comparison is the evidence of one instance on one generation of a roll-out.
type comparison struct {
	object     dynamic.Rollout
	generation uint64
	recorder   *Recorder
	// local judges by the counts of this instance, domains by those of each
	// failure domain, fleet by those of all instances.
	local   *Judge
	domains *Judge
	fleet   *Judge
	// peers are the newest samples by instance and route.
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
		byRoute:    map[string]*routeCells{},
	}
	for _, route := range routes {
		recorder.byRoute[route] = &routeCells{}
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

// matches says whether the comparison is of the given routes and generation.
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

// judgeOwn judges by the counts of this instance, in the given failure domain.
func (c *comparison) judgeOwn(now time.Time, domain string, step uint64) *Finding {
	for _, route := range slices.Sorted(maps.Keys(c.recorder.byRoute)) {
		c.countOverdue(now, route)
		sample := c.ownSample(route, step)
		if finding := c.local.Add(now, sample); finding != nil {
			return finding
		}
		if finding := c.judgeShared(now, domain, sample); finding != nil {
			return finding
		}
	}
	return nil
}

// judgePeer judges by the counts of another instance.
func (c *comparison) judgePeer(now time.Time, domain string, sample Sample) *Finding {
	if c.recorder.byRoute[sample.Route] == nil {
		return nil
	}
	c.peers[peerRoute{sample.Instance, sample.Route}] = sample
	return c.judgeShared(now, domain, sample)
}

// judgeShared judges by the counts of several instances. The owner of an
// upstream counts its requests, so that one instance may know one version only;
// the instances of a failure domain together mostly know both.
func (c *comparison) judgeShared(now time.Time, domain string, sample Sample) *Finding {
	sample.Stratum = domain
	if finding := c.domains.Add(now, sample); finding != nil {
		return finding
	}
	sample.Stratum = ""
	return c.fleet.Add(now, sample)
}

// suspects says whether there is some evidence against the new version.
func (c *comparison) suspects() bool {
	return c.local.Suspects() || c.domains.Suspects() || c.fleet.Suspects()
}

// countOverdue counts the attempts of both versions that take longer than slow
// answers do.
func (c *comparison) countOverdue(now time.Time, route string) {
	bucket, ok := c.fleet.slowBucket(route)
	if !ok || bucket >= bucketCount-1 {
		return
	}
	bound := time.Duration(bucketBound(bucket) * float64(time.Millisecond))
	cells := c.recorder.byRoute[route]
	cells.before.countOverdue(now.Add(-bound), bucket+1)
	cells.after.countOverdue(now.Add(-bound), bucket+1)
}

func (c *comparison) ownSample(route string, step uint64) Sample {
	cells := c.recorder.byRoute[route]
	return Sample{Route: route, Step: step, Old: cells.before.load(), New: cells.after.load()}
}

// answers returns the requests of the new version on each route, of this
// instance and all that it has heard of.
func (c *comparison) answers() map[string]uint64 {
	answers := make(map[string]uint64, len(c.recorder.byRoute))
	for route, cells := range c.recorder.byRoute {
		answers[route] = cells.after.requests.Load()
	}
	for _, sample := range c.peers {
		answers[sample.Route] += sample.New.Requests
	}
	return answers
}
