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
	// ComparedShare is the largest share of the new version before the roll-out
	// is done.
	ComparedShare = 0.95
	// canaryRequests is the number of responses of the new version on each route
	// that ends the canary share, stepRequests the number that ends a later step.
	canaryRequests = 50
	stepRequests   = 20
	// maxCanaryFraction is the fraction of the deadline after which the canary
	// share ends at the latest.
	maxCanaryFraction = 0.5
	// stepTimeoutIntervals is the number of step intervals after which a step no
	// longer waits for routes with little traffic.
	stepTimeoutIntervals = 3
	// scheduleSlack is the factor by which the planned time for the remaining
	// steps is multiplied.
	scheduleSlack = 1.25
)

func canaryShareOf(r dynamic.Rollout) float64 {
	return min(cmp.Or(float64(r.CanaryShare), defaultCanaryShare), ComparedShare)
}

func stepOf(r dynamic.Rollout) float64 { return cmp.Or(float64(r.Step), defaultStep) }

func intervalOf(r dynamic.Rollout) time.Duration {
	return cmp.Or(r.StepInterval.Std(), defaultStepInterval)
}

// remaining returns the planned time from leaving the share until the roll-out
// is done.
func remaining(r dynamic.Rollout, share float64) time.Duration {
	steps := math.Ceil((ComparedShare-share)/stepOf(r) - 1e-9)
	return time.Duration(max(steps, 0) * float64(intervalOf(r)))
}

// MinDuration returns the time that a roll-out needs when the new version gets
// enough requests on every route. With a shorter deadline the roll-out is
// usually taken back.
func MinDuration(r dynamic.Rollout) time.Duration {
	needed := intervalOf(r) + time.Duration(scheduleSlack*float64(remaining(r, canaryShareOf(r)))) + intervalOf(r)
	return needed + shift.MarginOver(needed)
}

// latestAdvance returns the elapsed time from which the roll-out leaves the
// share without waiting for more responses.
func latestAdvance(r dynamic.Rollout, share float64) time.Duration {
	deadline := r.Deadline.Std()
	remainingTime := time.Duration(scheduleSlack * float64(remaining(r, share)))
	bound := deadline - shift.Margin(deadline) - remainingTime - intervalOf(r)
	if share <= canaryShareOf(r) {
		bound = min(bound, time.Duration(maxCanaryFraction*float64(deadline)))
	}
	return bound
}
