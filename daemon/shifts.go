package daemon

import (
	"time"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/moves"
	"samphireferry.example/ferry/rollouts"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/shift"
)

// setShiftInputs passes the loads and applied steps in the heartbeats to the
// drivers of moves and roll-outs.
func (c *control) setShiftInputs() {
	if !c.hasShifts() {
		return
	}
	sum := newLoadSum(time.Now())
	sum.add(c.ownership.peers.Self.FailureDomain, c.ownership.loads(), time.Now())
	applied := shift.AppliedSteps(c.steps())
	for _, p := range c.ownership.peers.All {
		if p.State == nil || p.Health == membership.Silent {
			continue
		}
		sum.add(p.FailureDomain, p.State.GetLoads(), p.LastSeen)
		lowerSteps(applied, p.State.GetAppliedSteps())
	}
	c.moves.SetInputs(moves.Inputs{Loads: sum.byDomain, Applied: applied})
	c.rollouts.Driver().SetInputs(rollouts.Inputs{Loads: sum.byVersion, Applied: applied})
}

// lowerSteps lowers each step to that of another instance, if that is lower.
func lowerSteps(steps shift.AppliedSteps, other map[string]uint64) {
	for key, step := range steps {
		steps[key] = min(step, other[key])
	}
}

// loadSum sums the loads of all instances.
type loadSum struct {
	now       time.Time
	byDomain  map[moves.Target]shift.Load
	byVersion map[rollouts.Target]shift.Load
}

func newLoadSum(now time.Time) *loadSum {
	return &loadSum{now: now, byDomain: map[moves.Target]shift.Load{}, byVersion: map[rollouts.Target]shift.Load{}}
}

func (s *loadSum) add(domain string, loads []*entrypb.ServiceLoad, receivedAt time.Time) {
	age := s.now.Sub(receivedAt)
	for _, load := range loads {
		target := moves.Target{Service: load.GetService(), FailureDomain: domain}
		s.byDomain[target] = addLoad(s.byDomain[target], load, age)
		version := rollouts.Target{Service: load.GetService(), Version: load.GetVersion()}
		s.byVersion[version] = addLoad(s.byVersion[version], load, age)
	}
}

func addLoad(sum shift.Load, load *entrypb.ServiceLoad, age time.Duration) shift.Load {
	sum.Slots += int(load.GetSlots())
	sum.InUse += int(load.GetInUse())
	sum.Age = max(sum.Age, age)
	if load.GetSlots() > 0 {
		sum.Healthy++
	}
	return sum
}
