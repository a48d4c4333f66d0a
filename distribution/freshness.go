package distribution

import "time"

// Freshness knows when the newest word of the store left it, as far as that is
// certain. The zero value has heard nothing.
type Freshness struct {
	heard time.Time
}

// Heard notes that everything that the store held at the time is known. A time
// before the newest one changes nothing.
func (f *Freshness) Heard(at time.Time) {
	if at.After(f.heard) {
		f.heard = at
	}
}

// Age returns how old the newest word of the store is, or false when there has
// been none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if f.heard.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.heard), 0), true
}
