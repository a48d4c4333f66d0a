package dynamic

import (
	"cmp"
	"math"
	"time"

	"samphireferry.example/ferry/units"
)

// The defaults that decide whether a shift can be done by its deadline.
const (
	defaultMoveStep     units.Share = 0.10
	defaultCanaryShare  units.Share = 0.05
	defaultRolloutStep  units.Share = 0.20
	defaultStepInterval             = units.Duration(10 * time.Second)
)

func (c *checker) checkShifts() {
	c.checkDrains()
	c.checkMoves()
	c.checkRollouts()
}

func (c *checker) checkDrains() {
	seen := map[[2]string]string{}
	for i, drain := range c.set.Drains {
		o := c.object(KindDrain, i, drain.Name)
		switch {
		case drain.Upstream != "" && drain.FailureDomain != "":
			o.fault("upstream", "a drain names an upstream or a failure domain, not both")
			continue
		case drain.Upstream == "" && drain.FailureDomain == "":
			o.fault("upstream", "a drain must name an upstream or a failure domain")
			continue
		case drain.Upstream != "":
			o.refer("upstream", KindUpstream, drain.Upstream)
		default:
			o.refer("failure_domain", KindFailureDomain, drain.FailureDomain)
		}
		target := [2]string{drain.Upstream, drain.FailureDomain}
		if other, taken := seen[target]; taken {
			o.fault("name", "drain %q already names the same target", other)
		}
		seen[target] = drain.Name
	}
}

func (c *checker) checkMoves() {
	seen := map[string]string{}
	for i, move := range c.set.Moves {
		o := c.object(KindMove, i, move.Name)
		o.checkOnlyOne(seen, "move", move.Service)
		known := o.refer("service", KindService, move.Service)
		known = o.refer("from", KindFailureDomain, move.From) && known
		known = o.refer("to", KindFailureDomain, move.To) && known
		if known {
			o.checkMoveTarget(move)
		}
		o.require(move.Cap > 0, "cap", "must be over 0%%")
		o.checkDeadline(move.Deadline, schedule{
			shares:   move.Cap,
			step:     cmp.Or(move.Step, defaultMoveStep),
			interval: cmp.Or(move.StepInterval, defaultStepInterval),
		})
	}
}

func (o object) checkMoveTarget(move Move) {
	if move.From == move.To {
		o.fault("to", "the move goes to the failure domain that it comes from")
		return
	}
	hasUpstream := false
	for _, upstream := range o.set.Upstreams {
		hasUpstream = hasUpstream || (upstream.Service == move.Service && upstream.FailureDomain == move.To)
	}
	o.require(hasUpstream, "to", "failure domain %q has no upstream of service %q", move.To, move.Service)
	for _, drain := range o.set.Drains {
		o.require(drain.FailureDomain != move.To, "to", "failure domain %q is drained by %q", move.To, drain.Name)
	}
}

func (c *checker) checkRollouts() {
	seen := map[string]string{}
	for i, rollout := range c.set.Rollouts {
		o := c.object(KindRollout, i, rollout.Name)
		o.checkOnlyOne(seen, "roll-out", rollout.Service)
		if o.refer("service", KindService, rollout.Service) {
			o.checkRolloutVersions(rollout)
		}
		canary := cmp.Or(rollout.CanaryShare, defaultCanaryShare)
		o.checkDeadline(rollout.Deadline, schedule{
			first:    1,
			shares:   1 - canary,
			step:     cmp.Or(rollout.Step, defaultRolloutStep),
			interval: cmp.Or(rollout.StepInterval, defaultStepInterval),
		})
	}
}

func (o object) checkRolloutVersions(rollout Rollout) {
	known := o.referVersion("from", rollout.Service, rollout.From)
	known = o.referVersion("to", rollout.Service, rollout.To) && known
	if !known {
		return
	}
	if rollout.From == rollout.To {
		o.fault("to", "the roll-out goes to the version that it comes from")
		return
	}
	for _, upstream := range o.set.Upstreams {
		if upstream.Service == rollout.Service && upstream.Version == rollout.To {
			return
		}
	}
	o.fault("to", "no upstream of service %q runs version %q", rollout.Service, rollout.To)
}

// checkOnlyOne allows one move and one roll-out of a service at a time.
func (o object) checkOnlyOne(seen map[string]string, what, service string) {
	if other, taken := seen[service]; taken && service != "" {
		o.fault("service", "%s %q already shifts service %q; remove it first", what, other, service)
	}
	seen[service] = o.name
}

// schedule is the fastest course of a shift: some first steps, then as many as
// the shares take.
type schedule struct {
	first    int
	shares   units.Share
	step     units.Share
	interval units.Duration
}

// steps returns the number of steps. It is a float, since tiny steps can make
// it larger than any integer.
func (s schedule) steps() float64 {
	const rounding = 1e-9
	return float64(s.first) + math.Ceil(float64(s.shares/s.step)-rounding)
}

// checkDeadline checks that the steps fit before the deadline.
func (o object) checkDeadline(deadline units.Duration, s schedule) {
	if deadline == 0 {
		o.fault("deadline", "missing")
		return
	}
	// The first step needs no wait, the others one interval each.
	fastest := max(s.steps()-1, 0) * s.interval.Std().Seconds()
	if fastest >= deadline.Std().Seconds() {
		o.fault("deadline", "%.6g steps with %s between them cannot be done in %s", s.steps(), s.interval.Std(), deadline.Std())
	}
}
