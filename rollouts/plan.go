package rollouts

import (
	"cmp"
	"math"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/shift"
)

// Defaults of optional fields of a roll-out.
const (
	defaultCanaryShare  = 0.05
	defaultStep         = 0.20
	defaultStepInterval = 10 * time.Second
)

const (
	// ComparedShare is the largest share of the new version before it is done.
	ComparedShare = 0.95
	// canaryRequests is the number of answers of the new version on each route
	// that ends the canary share; stepRequests the number that ends a step.
	canaryRequests = 50
	stepRequests   = 20
	// canaryPart is the largest part of the deadline for the canary share.
	canaryPart = 0.5
	// patience is the number of step intervals after which a step no longer
	// waits for routes with little traffic.
	patience = 3
	// slack is the part by which the planned rest of a roll-out is stretched.
	slack = 1.25
)

func canaryOf(r dynamic.Rollout) float64 {
	return min(cmp.Or(float64(r.CanaryShare), defaultCanaryShare), ComparedShare)
}

func stepOf(r dynamic.Rollout) float64 { return cmp.Or(float64(r.Step), defaultStep) }

func intervalOf(r dynamic.Rollout) time.Duration {
	return cmp.Or(r.StepInterval.Std(), defaultStepInterval)
}

// remaining returns the time from leaving the share until the roll-out is done.
func remaining(r dynamic.Rollout, share float64) time.Duration {
	steps := math.Ceil((ComparedShare-share)/stepOf(r) - 1e-9)
	return time.Duration(max(steps, 0) * float64(intervalOf(r)))
}

// MinDuration returns the time that a roll-out needs when the new version gets
// enough requests on every route. A shorter deadline mostly ends with the
// roll-out taken back.
func MinDuration(r dynamic.Rollout) time.Duration {
	needed := intervalOf(r) + time.Duration(slack*float64(remaining(r, canaryOf(r)))) + intervalOf(r)
	return needed + shift.MarginOver(needed)
}

// latest returns the elapsed time at which the share is left without waiting
// for more answers.
func latest(r dynamic.Rollout, share float64) time.Duration {
	deadline := r.Deadline.Std()
	rest := time.Duration(slack * float64(remaining(r, share)))
	bound := deadline - shift.Margin(deadline) - rest - intervalOf(r)
	if share <= canaryOf(r) {
		bound = min(bound, time.Duration(canaryPart*float64(deadline)))
	}
	return bound
}
