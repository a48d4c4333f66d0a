package rollouts

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
)

// InvariantCompared states that the share of a roll-out that is not done is at
// most ComparedShare.
const InvariantCompared invariant.Name = "rollouts_compared_share"

// Rollout is the stored record of a roll-out.
type Rollout = shift.Record[dynamic.Rollout]

// Target names the upstreams of one version of a service.
type Target struct {
	Service string
	Version string
}

// Inputs holds the fleet state that the driver's decisions depend on.
type Inputs struct {
	// Loads is the load of each target; a missing target has an unknown load.
	Loads   map[Target]shift.Load
	Applied shift.AppliedSteps
}

// Driver plans the steps of all roll-outs. It implements reconcile.Reconciler.
type Driver struct {
	*shift.Driver[dynamic.Rollout]
	verdicts *verdictSet
	evidence evidence
	inputs   Inputs
	// stepBaselines holds, by roll-out name, the responses of the new version
	// when the current step began.
	stepBaselines map[string]stepBaseline
}

// evidence gives the driver access to the counts and findings of the judges.
type evidence interface {
	// responses returns the number of requests counted for the new version on
	// each route of the service, over this instance and all peers that reported.
	responses(rollout string) map[string]uint64
	// suspected reports whether there is some evidence against the new version.
	suspected(rollout string) bool
}

type stepBaseline struct {
	step      uint64
	responses map[string]uint64
}

func newDriver(checker *invariant.Checker, verdicts *verdictSet, evidence evidence) *Driver {
	d := &Driver{verdicts: verdicts, evidence: evidence, stepBaselines: map[string]stepBaseline{}}
	d.Driver = shift.NewDriver(shift.Kind[dynamic.Rollout]{
		Prefix:   platform.PrefixRollouts,
		Name:     func(r dynamic.Rollout) string { return r.Name },
		Deadline: func(r dynamic.Rollout) time.Duration { return r.Deadline.Std() },
		Start:    start,
		Next:     d.next,
	}, checker)
	return d
}

// SetInputs replaces the loads of the new version's upstreams and the steps
// that the instances apply.
func (d *Driver) SetInputs(inputs Inputs) { d.inputs = inputs }

// start returns the first state of a generation: running with the canary share.
// A roll-out that is done, and was not removed, stays done when its service and
// versions are unchanged.
func start(previous *Rollout, r dynamic.Rollout) shift.Change {
	if previous != nil && previous.State == shift.Done && !previous.Removed {
		old := previous.Object
		if old.Service == r.Service && old.From == r.From && old.To == r.To {
			return shift.Change{State: shift.Done, Share: previous.Share, Reason: shift.ReasonCompleted}
		}
	}
	return shift.Change{State: shift.Running, Share: canaryShareOf(r), Reason: shift.ReasonStarted}
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
	d.updateStepBaseline(r)
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
	if d.evidence.suspected(r.Name) {
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
	if !d.hasEnoughResponses(r) && !d.stepTimedOut(p, r) {
		return shift.Change{}, false
	}
	if r.Share >= ComparedShare {
		return shift.Change{State: shift.Done, Share: 1, Reason: shift.ReasonCompleted}, true
	}
	share := min(r.Share+stepOf(r.Object), ComparedShare)
	return shift.Change{State: shift.Running, Share: share, Reason: shift.ReasonStepped}, true
}

// updateStepBaseline stores the responses of the new version when a step begins.
func (d *Driver) updateStepBaseline(r *Rollout) {
	if baseline, known := d.stepBaselines[r.Name]; known && baseline.step == r.Step {
		return
	}
	d.stepBaselines[r.Name] = stepBaseline{step: r.Step, responses: d.evidence.responses(r.Name)}
}

// hasEnoughResponses reports whether the new version has responded to enough
// requests on every route since the current step began.
func (d *Driver) hasEnoughResponses(r *Rollout) bool {
	needed := uint64(stepRequests)
	if r.Share <= canaryShareOf(r.Object) {
		needed = canaryRequests
	}
	responses := d.evidence.responses(r.Name)
	for route, n := range responses {
		if n < d.stepBaselines[r.Name].responses[route]+needed {
			return false
		}
	}
	return len(responses) > 0
}

// stepTimedOut reports whether the next step no longer waits for responses.
func (d *Driver) stepTimedOut(p shift.Progress, r *Rollout) bool {
	if p.Elapsed >= latestAdvance(r.Object, r.Share) {
		return true
	}
	return r.Share > canaryShareOf(r.Object) && p.SinceStep >= stepTimeoutIntervals*intervalOf(r.Object)
}
