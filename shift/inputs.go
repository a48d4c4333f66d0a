package shift

import "time"

// Bounds on the load of a target.
const (
	// holdLoadFraction is the fraction of slots in use from which a shift is held.
	holdLoadFraction = 0.85
	// resumeLoadFraction is the fraction below which a held shift resumes.
	resumeLoadFraction = 0.75
	// maxLoadAge is the age above which a load report is not used.
	maxLoadAge = 10 * time.Second
)

// Load is the last known load of the upstreams to which a shift sends traffic.
type Load struct {
	// Slots is the number of slots of healthy upstreams; InUse is the number of
	// them in use.
	Slots int
	InUse int
	// Healthy is the number of healthy upstreams.
	Healthy int
	// Age is the age of the oldest report that is included in the sums.
	Age time.Duration
}

// HoldReason reports whether a shift must be held, and why. A shift that is held
// already resumes only below a lower load, which avoids oscillation.
func (l Load) HoldReason(holding bool) (Reason, bool) {
	if l.Age > maxLoadAge {
		return ReasonLoadUnknown, true
	}
	if l.Healthy == 0 || l.Slots == 0 {
		return ReasonUnhealthy, true
	}
	threshold := holdLoadFraction
	if holding {
		threshold = resumeLoadFraction
	}
	if float64(l.InUse) >= threshold*float64(l.Slots) {
		return ReasonLoaded, true
	}
	return "", false
}

// AppliedSteps holds the lowest step that any reachable instance applies, by the
// store key of the record. An instance that has no step counts as 0.
type AppliedSteps map[string]uint64

// Ready reports whether the step after the given one may follow: every reachable
// instance applies the given step, or two intervals have passed since it. Caps
// do not depend on it.
func (a AppliedSteps) Ready(key string, step uint64, sinceStep, interval time.Duration) bool {
	return sinceStep >= 2*interval || a[key] >= step
}
