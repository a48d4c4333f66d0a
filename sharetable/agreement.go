package sharetable

import (
	"math"
	"time"
)

// acknowledgement is the newest state that one member reported.
type acknowledgement struct {
	incarnation string
	applied     uint64
	// askedAt is when the request was sent, by the clock of this process.
	askedAt time.Time
	// firstSeen is when this incarnation first reported, by the same clock.
	firstSeen time.Time
}

// agreement finds the versions that every member of one witness group had applied
// at one instant.
type agreement struct {
	// agreedVersion is the highest such version.
	agreedVersion uint64
	// pendingVersion is a version that every member has acknowledged, or 0; it is
	// agreed when each has responded to another request sent after pendingSince.
	pendingVersion uint64
	pendingSince   time.Time
}

// update records the newest acknowledgements of all members of the group. A member
// that has not acknowledged in its listed incarnation is passed as the zero value.
func (a *agreement) update(now time.Time, members []acknowledgement) {
	lowest := uint64(math.MaxUint64)
	askedAgain := true
	for _, m := range members {
		lowest = min(lowest, m.applied)
		askedAgain = askedAgain && m.askedAt.After(a.pendingSince)
		if m.firstSeen.After(a.pendingSince) {
			a.pendingVersion = 0
		}
	}
	if lowest < a.pendingVersion {
		a.pendingVersion = 0
	}
	if a.pendingVersion > 0 && askedAgain {
		a.agreedVersion = max(a.agreedVersion, a.pendingVersion)
		a.pendingVersion = 0
	}
	if a.pendingVersion == 0 && lowest > a.agreedVersion {
		a.pendingVersion = lowest
		a.pendingSince = now
	}
}
