package shift

import "time"

// Bounds on the load of a target.
const (
	// holdLoad is the part of the slots in use above which a shift waits.
	holdLoad = 0.85
	// resumeLoad is the part below which a waiting shift goes on.
	resumeLoad = 0.75
	// maxLoadAge is the age above which a load report says nothing.
	maxLoadAge = 10 * time.Second
)

// Load is the last known load of the upstreams that a shift leads to.
type Load struct {
	// Slots are those of healthy upstreams; InUse is the number in use.
	Slots int
	InUse int
	// Healthy is the number of healthy upstreams.
	Healthy int
	// Age is the time since the oldest report that the load was summed from.
	Age time.Duration
}

// HoldReason says whether a shift must wait, and why. A shift that waits
// already goes on only when the load is clearly lower.
func (l Load) HoldReason(waiting bool) (Reason, bool) {
	if l.Age > maxLoadAge {
		return ReasonLoadUnknown, true
	}
	if l.Healthy == 0 || l.Slots == 0 {
		return ReasonUnhealthy, true
	}
	bound := holdLoad
	if waiting {
		bound = resumeLoad
	}
	if float64(l.InUse) >= bound*float64(l.Slots) {
		return ReasonLoaded, true
	}
	return "", false
}

// AppliedSteps is the lowest step that all reachable instances apply, by key
// of the record in the store. An instance that has no step counts as 0.
type AppliedSteps map[string]uint64

// Ready says whether the step after the given one may follow: every reachable
// instance applies it, or a second interval has passed. Caps do not rest on it.
func (a AppliedSteps) Ready(key string, step uint64, sinceStep, interval time.Duration) bool {
	return sinceStep >= 2*interval || a[key] >= step
}
