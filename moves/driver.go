package moves

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/splitting"
)

// Defaults of optional fields of a move.
const (
	defaultStep         = 0.10
	defaultStepInterval = 10 * time.Second
)

// InvariantCap states that no record of a move has a share over its cap.
const InvariantCap invariant.Name = "moves_cap"

// Move is the stored record of a move.
type Move = shift.Record[dynamic.Move]

// Driver plans the steps of all moves. It implements reconcile.Reconciler.
type Driver struct {
	*shift.Driver[dynamic.Move]
	checker *invariant.Checker
	inputs  Inputs
}

// NewDriver returns a driver without moves. The checker may be nil.
func NewDriver(checker *invariant.Checker) *Driver {
	d := &Driver{checker: checker}
	d.Driver = shift.NewDriver(shift.Kind[dynamic.Move]{
		Prefix:   platform.PrefixMoves,
		Name:     func(m dynamic.Move) string { return m.Name },
		Deadline: func(m dynamic.Move) time.Duration { return m.Deadline.Std() },
		Start:    start,
		Next:     d.next,
	}, checker)
	return d
}

// SetInputs replaces the loads of the targets and the steps that the instances
// apply.
func (d *Driver) SetInputs(inputs Inputs) { d.inputs = inputs }

// Shares returns the shares that this instance applies for the moves of its
// configuration.
func (d *Driver) Shares(now time.Time, objects []dynamic.Move) []splitting.DomainShare {
	shares := make([]splitting.DomainShare, 0, len(objects))
	for _, m := range objects {
		share := d.Share(now, m)
		if !d.checker.Check(share <= float64(m.Cap), InvariantCap, m.Name) {
			share = float64(m.Cap)
		}
		shares = append(shares, splitting.DomainShare{
			Name:       m.Name,
			Generation: d.generation(m.Name),
			Service:    m.Service,
			From:       m.From,
			To:         m.To,
			Share:      share,
		})
	}
	return shares
}

func (d *Driver) generation(name string) uint64 {
	if r := d.Record(name); r != nil {
		return r.ConfigVersion
	}
	return 0
}

// stepPropagationTime is the time in which a step reaches the store and the
// instances.
const stepPropagationTime = time.Second

// MinDuration returns the time that a move needs when its target is never
// loaded. With a shorter deadline the move is usually taken back.
func MinDuration(m dynamic.Move) time.Duration {
	steps := math.Ceil(float64(m.Cap)/stepOf(m) - 1e-9)
	needed := time.Duration(steps+1) * (intervalOf(m) + stepPropagationTime)
	return needed + shift.MarginOver(needed)
}

// start returns the first state of a generation: running, with the share that an
// earlier move of the same service and failure domains had reached, up to the
// cap.
func start(previous *Move, m dynamic.Move) shift.Change {
	change := shift.Change{State: shift.Running, Reason: shift.ReasonStarted}
	if previous == nil || previous.Removed || previous.State == shift.TakenBack {
		return change
	}
	old := previous.Object
	if old.Service == m.Service && old.From == m.From && old.To == m.To {
		change.Share = min(previous.Share, float64(m.Cap))
	}
	return change
}

func (d *Driver) next(_ time.Time, p shift.Progress, r *Move) (shift.Change, bool) {
	if r.Ended() {
		return shift.Change{}, false
	}
	deadline := r.Object.Deadline.Std()
	if p.Elapsed >= deadline-shift.Margin(deadline) {
		detail := fmt.Sprintf("share %.3f of cap %.3f reached", r.Share, float64(r.Object.Cap))
		return shift.Change{State: shift.TakenBack, Reason: shift.ReasonDeadline, Detail: detail}, true
	}
	if reason, held := d.inputs.holdReason(r); held {
		return hold(p, r, reason)
	}
	if p.SinceStep < intervalOf(r.Object) {
		return shift.Change{}, false
	}
	if r.State == shift.Holding {
		return shift.Change{State: shift.Running, Share: r.Share, Reason: shift.ReasonResumed}, true
	}
	return d.advance(p, r)
}

// hold keeps the share, or lowers it by one step per step interval while the
// target is unhealthy.
func hold(p shift.Progress, r *Move, reason shift.Reason) (shift.Change, bool) {
	change := shift.Change{State: shift.Holding, Share: r.Share, Reason: reason}
	if r.State != shift.Holding {
		return change, true
	}
	if reason != shift.ReasonUnhealthy || r.Share == 0 || p.SinceStep < intervalOf(r.Object) {
		return change, r.Reason != reason && p.SinceStep >= intervalOf(r.Object)
	}
	change.Share = max(0, r.Share-stepOf(r.Object))
	return change, true
}

func (d *Driver) advance(p shift.Progress, r *Move) (shift.Change, bool) {
	if !d.inputs.Applied.Ready(platform.PrefixMoves+r.Name, r.Step, p.SinceStep, intervalOf(r.Object)) {
		return shift.Change{}, false
	}
	if r.Share >= float64(r.Object.Cap) {
		return shift.Change{State: shift.Done, Share: r.Share, Reason: shift.ReasonCompleted}, true
	}
	share := min(r.Share+stepOf(r.Object), float64(r.Object.Cap))
	return shift.Change{State: shift.Running, Share: share, Reason: shift.ReasonStepped}, true
}

func stepOf(m dynamic.Move) float64 { return cmp.Or(float64(m.Step), defaultStep) }

func intervalOf(m dynamic.Move) time.Duration {
	return cmp.Or(m.StepInterval.Std(), defaultStepInterval)
}
