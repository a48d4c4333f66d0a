package distribution

import "time"

// Freshness tracks the latest time for which this instance is known to have the
// complete state of the store. The zero value has received no update.
type Freshness struct {
	asOf time.Time
}

// Observe records that this instance has the complete state that the store had
// at the given time. A time that is not after the latest one changes nothing.
func (f *Freshness) Observe(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// Age returns the age of the newest update from the store, or false if there
// has been none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if f.asOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.asOf), 0), true
}
