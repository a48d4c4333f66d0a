package rollouts

import (
	"maps"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/splitting"
)

// Controller runs the roll-outs of one instance: it counts requests, judges
// versions, keeps verdicts and plans steps. All methods must be called from the
// control goroutine; traffic goroutines use the Recorders that it returns.
type Controller struct {
	checker     *invariant.Checker
	driver      *Driver
	verdicts    *verdictSet
	instances   int
	domain      string
	objects     []dynamic.Rollout
	routes      map[string][]string
	comparisons map[string]*comparison
	recorders   *Recorders
}

// NewController returns a controller without roll-outs. The checker may be nil.
func NewController(checker *invariant.Checker) *Controller {
	c := &Controller{
		checker:     checker,
		verdicts:    newVerdictSet(),
		instances:   1,
		comparisons: map[string]*comparison{},
		recorders:   &Recorders{},
	}
	c.driver = newDriver(checker, c.verdicts, c)
	return c
}

// Driver returns the driver of the records, for reconcile.Executor and for
// exchanging records with peers.
func (c *Controller) Driver() *Driver { return c.driver }

// SetInstances sets the number of entry instances in the fleet, at least 1. The
// allowed probability of a false alarm is divided among them.
func (c *Controller) SetInstances(n int) { c.instances = max(n, 1) }

// SetDomain sets the failure domain of this instance. It must be the one that
// the instance reports to its peers.
func (c *Controller) SetDomain(name string) { c.domain = name }

// Configure sets the roll-outs of a configuration version and the names of the
// routes of each service.
func (c *Controller) Configure(version uint64, objects []dynamic.Rollout, routes map[string][]string) {
	c.driver.Configure(version, objects)
	c.objects = slices.Clone(objects)
	c.routes = routes
}

// Tick judges the counts of this instance. It is called every 100 to 250 ms and
// reports whether the recorders have changed or there is a new verdict, in
// which case splits and recorders must be published again.
func (c *Controller) Tick(now time.Time) bool {
	c.driver.Tick(now)
	changed := c.updateComparisons()
	for _, name := range slices.Sorted(maps.Keys(c.comparisons)) {
		comparison := c.comparisons[name]
		finding := comparison.judgeLocal(now, c.domain, c.step(name))
		if c.recordFinding(comparison, finding) {
			changed = true
		}
	}
	return changed
}

// ApplyHeartbeat applies the verdicts and the evidence of a peer's heartbeat and
// reports whether there is a new verdict.
func (c *Controller) ApplyHeartbeat(now time.Time, state *entrypb.State) bool {
	changed := false
	for _, v := range state.Verdicts {
		if c.addVerdict(v.Rollout, v.ConfigVersion, v.Reason) {
			changed = true
		}
	}
	if len(state.Evidence) == 0 || state.Identity == nil {
		return changed
	}
	peer := state.Identity.Name + "/" + state.Identity.Incarnation
	for _, name := range slices.Sorted(maps.Keys(c.comparisons)) {
		comparison := c.comparisons[name]
		step := state.AppliedSteps[platform.PrefixRollouts+name]
		for _, sample := range comparison.samplesOf(peer, step, state.Evidence) {
			if c.recordFinding(comparison, comparison.judgePeer(now, state.Identity.FailureDomain, sample)) {
				changed = true
			}
		}
	}
	return changed
}

// Verdicts returns the verdicts for a heartbeat.
func (c *Controller) Verdicts() []*entrypb.Verdict { return c.verdicts.messages() }

// Evidence returns the counts of this instance for a heartbeat.
func (c *Controller) Evidence() []*entrypb.VersionEvidence {
	var messages []*entrypb.VersionEvidence
	for _, comparison := range c.comparisons {
		messages = append(messages, comparison.messages()...)
	}
	return messages
}

// Recorders returns the recorders for traffic goroutines.
func (c *Controller) Recorders() *Recorders { return c.recorders }

// Shares returns the traffic share of the new version that this instance
// applies for each configured roll-out.
func (c *Controller) Shares(now time.Time) []splitting.VersionShare {
	shares := make([]splitting.VersionShare, 0, len(c.objects))
	for _, object := range c.objects {
		shares = append(shares, splitting.VersionShare{
			Name:       object.Name,
			Generation: c.generation(object.Name),
			Service:    object.Service,
			From:       object.From,
			To:         object.To,
			Share:      c.share(now, object),
			Routes:     c.routes[object.Service],
		})
	}
	return shares
}

func (c *Controller) share(now time.Time, object dynamic.Rollout) float64 {
	share := c.driver.Share(now, object)
	r := c.driver.Record(object.Name)
	if r == nil {
		return 0
	}
	_, judgedBad := c.verdicts.reason(object.Name, r.ConfigVersion)
	if judgedBad {
		share = 0
	}
	c.checker.Check(!judgedBad || share == 0, InvariantVerdict, object.Name)
	c.checker.Check(r.State == shift.Done || share <= ComparedShare, InvariantCompared, object.Name)
	return share
}

// responses implements evidence.
func (c *Controller) responses(rollout string) map[string]uint64 {
	if comparison := c.comparisons[rollout]; comparison != nil {
		return comparison.responses()
	}
	return nil
}

// suspected implements evidence.
func (c *Controller) suspected(rollout string) bool {
	comparison := c.comparisons[rollout]
	return comparison != nil && comparison.suspected()
}

func (c *Controller) recordFinding(comparison *comparison, finding *Finding) bool {
	if finding == nil {
		return false
	}
	return c.addVerdict(comparison.object.Name, comparison.generation, finding.String())
}

func (c *Controller) addVerdict(rollout string, generation uint64, reason string) bool {
	if r := c.driver.Record(rollout); r != nil && r.ConfigVersion > generation {
		return false
	}
	return c.verdicts.add(rollout, generation, reason)
}

// updateComparisons starts comparisons for new generations, drops those that no
// longer apply, and reports whether anything changed.
func (c *Controller) updateComparisons() bool {
	next := map[string]*comparison{}
	changed := false
	for _, object := range c.objects {
		r := c.driver.Record(object.Name)
		if r == nil || r.Ended() || r.Object != object {
			continue
		}
		c.verdicts.dropBefore(object.Name, r.ConfigVersion)
		routes := c.routes[object.Service]
		current := c.comparisons[object.Name]
		if current == nil || !current.matches(object, r.ConfigVersion, routes) {
			current = newComparison(object, r.ConfigVersion, routes, c.instances)
			changed = true
		}
		next[object.Name] = current
	}
	changed = changed || len(next) != len(c.comparisons)
	c.comparisons = next
	if changed {
		c.publish()
	}
	return changed
}

func (c *Controller) publish() {
	recorders := &Recorders{byService: map[string]*Recorder{}}
	for _, comparison := range c.comparisons {
		recorders.byService[comparison.object.Service] = comparison.recorder
	}
	c.recorders = recorders
}

func (c *Controller) generation(rollout string) uint64 {
	if r := c.driver.Record(rollout); r != nil {
		return r.ConfigVersion
	}
	return 0
}

func (c *Controller) step(rollout string) uint64 {
	if r := c.driver.Record(rollout); r != nil {
		return r.Step
	}
	return 0
}
