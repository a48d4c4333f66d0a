package dynamic

import (
	"cmp"
	"math"
	"time"

	"samphireferry.example/ferry/units"
)

// The defaults with which checkDeadline computes how long a shift takes.
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
		o := c.forObject(KindDrain, i, drain.Name)
		switch {
		case drain.Upstream != "" && drain.FailureDomain != "":
			o.addError("upstream", "a drain names an upstream or a failure domain, not both")
			continue
		case drain.Upstream == "" && drain.FailureDomain == "":
			o.addError("upstream", "a drain must name an upstream or a failure domain")
			continue
		case drain.Upstream != "":
			o.requireObject("upstream", KindUpstream, drain.Upstream)
		default:
			o.requireObject("failure_domain", KindFailureDomain, drain.FailureDomain)
		}
		target := [2]string{drain.Upstream, drain.FailureDomain}
		if other, taken := seen[target]; taken {
			o.addError("name", "drain %q already names the same target", other)
		}
		seen[target] = drain.Name
	}
}

func (c *checker) checkMoves() {
	seen := map[string]string{}
	for i, move := range c.set.Moves {
		o := c.forObject(KindMove, i, move.Name)
		o.checkSingleShift(seen, "move", move.Service)
		known := o.requireObject("service", KindService, move.Service)
		known = o.requireObject("from", KindFailureDomain, move.From) && known
		known = o.requireObject("to", KindFailureDomain, move.To) && known
		if known {
			o.checkMoveTarget(move)
		}
		o.require(move.Cap > 0, "cap", "must be over 0%%")
		o.checkDeadline(move.Deadline, schedule{
			totalShare: move.Cap,
			step:       cmp.Or(move.Step, defaultMoveStep),
			interval:   cmp.Or(move.StepInterval, defaultStepInterval),
		})
	}
}

func (o objectChecker) checkMoveTarget(move Move) {
	if move.From == move.To {
		o.addError("to", "the move goes to the failure domain that it comes from")
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
		o := c.forObject(KindRollout, i, rollout.Name)
		o.checkSingleShift(seen, "roll-out", rollout.Service)
		if o.requireObject("service", KindService, rollout.Service) {
			o.checkRolloutVersions(rollout)
		}
		canary := cmp.Or(rollout.CanaryShare, defaultCanaryShare)
		o.checkDeadline(rollout.Deadline, schedule{
			initialSteps: 1,
			totalShare:   1 - canary,
			step:         cmp.Or(rollout.Step, defaultRolloutStep),
			interval:     cmp.Or(rollout.StepInterval, defaultStepInterval),
		})
	}
}

func (o objectChecker) checkRolloutVersions(rollout Rollout) {
	known := o.requireVersion("from", rollout.Service, rollout.From)
	known = o.requireVersion("to", rollout.Service, rollout.To) && known
	if !known {
		return
	}
	if rollout.From == rollout.To {
		o.addError("to", "the roll-out goes to the version that it comes from")
		return
	}
	for _, upstream := range o.set.Upstreams {
		if upstream.Service == rollout.Service && upstream.Version == rollout.To {
			return
		}
	}
	o.addError("to", "no upstream of service %q runs version %q", rollout.Service, rollout.To)
}

// checkSingleShift allows one move and one roll-out of a service at a time.
func (o objectChecker) checkSingleShift(seen map[string]string, shiftKind, service string) {
	if other, taken := seen[service]; taken && service != "" {
		o.addError("service", "%s %q already shifts service %q; remove it first", shiftKind, other, service)
	}
	seen[service] = o.name
}

// schedule describes the fastest possible shift: initialSteps, then as many steps
// as totalShare takes.
type schedule struct {
	initialSteps int
	totalShare   units.Share
	step         units.Share
	interval     units.Duration
}

// steps returns the number of steps, as a float since tiny steps can make it larger
// than any integer.
func (s schedule) steps() float64 {
	const rounding = 1e-9
	return float64(s.initialSteps) + math.Ceil(float64(s.totalShare/s.step)-rounding)
}

// checkDeadline checks that all steps can be done before the deadline.
func (o objectChecker) checkDeadline(deadline units.Duration, s schedule) {
	if deadline == 0 {
		o.addError("deadline", "missing")
		return
	}
	// The first step needs no wait, the others one interval each.
	fastest := max(s.steps()-1, 0) * s.interval.Std().Seconds()
	if fastest >= deadline.Std().Seconds() {
		o.addError("deadline", "%.6g steps with %s between them cannot be done in %s", s.steps(), s.interval.Std(), deadline.Std())
	}
}
