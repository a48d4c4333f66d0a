package sharetable

import (
	"math"
	"time"
)

// acknowledgement is the newest answer of one member.
type acknowledgement struct {
	incarnation string
	applied     uint64
	askedAt     time.Time
	// since is when this incarnation was first heard.
	since time.Time
}

// agreement follows one witness group. It finds versions that every member had
// applied at one instant.
type agreement struct {
	// agreed is the highest such version.
	agreed uint64
	// pending is a version that every member has acknowledged; it is agreed
	// when each has answered again a question asked after pendingSince.
	pending      uint64
	pendingSince time.Time
}

// update takes in the newest acknowledgements of the members of the group.
// A member that has not acknowledged in its listed incarnation is passed as
// the zero value.
func (a *agreement) update(now time.Time, members []acknowledgement) {
	lowest := uint64(math.MaxUint64)
	askedAgain := true
	for _, m := range members {
		lowest = min(lowest, m.applied)
		askedAgain = askedAgain && m.askedAt.After(a.pendingSince)
		if m.since.After(a.pendingSince) {
			a.pending = 0
		}
	}
	if lowest < a.pending {
		a.pending = 0
	}
	if a.pending > 0 && askedAgain {
		a.agreed = max(a.agreed, a.pending)
		a.pending = 0
	}
	if a.pending == 0 && lowest > a.agreed {
		a.pending = lowest
		a.pendingSince = now
	}
}
