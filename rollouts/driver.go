package rollouts

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
)

// InvariantCompared says that the share of a version that is not done is at
// most ComparedShare.
const InvariantCompared invariant.Name = "rollouts_compared_share"

// Rollout is the stored record of a roll-out.
type Rollout = shift.Record[dynamic.Rollout]

// Target names the upstreams of one version of a service.
type Target struct {
	Service string
	Version string
}

// Inputs is what a driver knows of the world.
type Inputs struct {
	Loads   map[Target]shift.Load
	Applied shift.AppliedSteps
}

// Driver plans the steps of all roll-outs. It implements reconcile.Reconciler.
type Driver struct {
	*shift.Driver[dynamic.Rollout]
	verdicts *verdictSet
	evidence evidence
	inputs   Inputs
	// bases are the answers of the new version when a step began.
	bases map[string]stepBase
}

// evidence is what the driver asks of the judges.
type evidence interface {
	// answers returns the answers of the new version on each route of the
	// service, over all instances that were heard of.
	answers(rollout string) map[string]uint64
	// suspects says whether there is some evidence against the new version.
	suspects(rollout string) bool
}

type stepBase struct {
	step    uint64
	answers map[string]uint64
}

func newDriver(checker *invariant.Checker, verdicts *verdictSet, evidence evidence) *Driver {
	d := &Driver{verdicts: verdicts, evidence: evidence, bases: map[string]stepBase{}}
	d.Driver = shift.NewDriver(shift.Kind[dynamic.Rollout]{
		Prefix:   platform.PrefixRollouts,
		Name:     func(r dynamic.Rollout) string { return r.Name },
		Deadline: func(r dynamic.Rollout) time.Duration { return r.Deadline.Std() },
		Start:    start,
		Next:     d.next,
	}, checker)
	return d
}

// SetInputs replaces what the driver knows of the new version's upstreams and
// of the instances.
func (d *Driver) SetInputs(inputs Inputs) { d.inputs = inputs }

// start begins with the canary share. A roll-out that is done stays so when
// only its other settings change.
func start(previous *Rollout, r dynamic.Rollout) shift.Change {
	if previous != nil && previous.State == shift.Done && !previous.Removed {
		old := previous.Object
		if old.Service == r.Service && old.From == r.From && old.To == r.To {
			return shift.Change{State: shift.Done, Share: previous.Share, Reason: shift.ReasonCompleted}
		}
	}
	return shift.Change{State: shift.Running, Share: canaryOf(r), Reason: shift.ReasonStarted}
}

func (d *Driver) next(_ time.Time, p shift.Progress, r *Rollout) (shift.Change, bool) {
	if r.State == shift.TakenBack {
		return shift.Change{}, false
	}
	if reason, ok := d.verdicts.reason(r.Name, r.ConfigVersion); ok {
		return shift.Change{State: shift.TakenBack, Reason: shift.ReasonVerdict, Detail: reason}, true
	}
	if r.State == shift.Done {
		return shift.Change{}, false
	}
	d.rebase(r)
	deadline := r.Object.Deadline.Std()
	if p.Elapsed >= deadline-shift.Margin(deadline) {
		detail := fmt.Sprintf("share %.3f reached", r.Share)
		return shift.Change{State: shift.TakenBack, Reason: shift.ReasonDeadline, Detail: detail}, true
	}
	if reason, held := d.holdReason(r); held {
		change := shift.Change{State: shift.Holding, Share: r.Share, Reason: reason}
		return change, r.State != shift.Holding
	}
	if p.SinceStep < intervalOf(r.Object) {
		return shift.Change{}, false
	}
	if r.State == shift.Holding {
		return shift.Change{State: shift.Running, Share: r.Share, Reason: shift.ReasonResumed}, true
	}
	return d.advance(p, r)
}

func (d *Driver) holdReason(r *Rollout) (shift.Reason, bool) {
	if d.evidence.suspects(r.Name) {
		return shift.ReasonSuspected, true
	}
	load, known := d.inputs.Loads[Target{r.Object.Service, r.Object.To}]
	if !known {
		return shift.ReasonLoadUnknown, true
	}
	return load.HoldReason(r.State == shift.Holding)
}

func (d *Driver) advance(p shift.Progress, r *Rollout) (shift.Change, bool) {
	if !d.inputs.Applied.Ready(platform.PrefixRollouts+r.Name, r.Step, p.SinceStep, intervalOf(r.Object)) {
		return shift.Change{}, false
	}
	if !d.judged(r) && !d.outOfPatience(p, r) {
		return shift.Change{}, false
	}
	if r.Share >= ComparedShare {
		return shift.Change{State: shift.Done, Share: 1, Reason: shift.ReasonCompleted}, true
	}
	share := min(r.Share+stepOf(r.Object), ComparedShare)
	return shift.Change{State: shift.Running, Share: share, Reason: shift.ReasonStepped}, true
}

// rebase keeps the answers of the new version at the begin of each step.
func (d *Driver) rebase(r *Rollout) {
	if base, known := d.bases[r.Name]; known && base.step == r.Step {
		return
	}
	d.bases[r.Name] = stepBase{step: r.Step, answers: d.evidence.answers(r.Name)}
}

// judged says whether the new version has answered enough requests on every
// route since the share was reached.
func (d *Driver) judged(r *Rollout) bool {
	needed := uint64(stepRequests)
	if r.Share <= canaryOf(r.Object) {
		needed = canaryRequests
	}
	answers := d.evidence.answers(r.Name)
	for route, n := range answers {
		if n < d.bases[r.Name].answers[route]+needed {
			return false
		}
	}
	return len(answers) > 0
}

func (d *Driver) outOfPatience(p shift.Progress, r *Rollout) bool {
	if p.Elapsed >= latest(r.Object, r.Share) {
		return true
	}
	return r.Share > canaryOf(r.Object) && p.SinceStep >= patience*intervalOf(r.Object)
}
