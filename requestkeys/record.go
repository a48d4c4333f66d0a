package requestkeys

import (
	"strings"
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// record returns the form of a claim in a hand-over message. The expiry is
// that of the claimant's deadline. A released key has the state
// CLAIM_UNSPECIFIED and its released claimants in place of the claimant.
func (o *holding) record(key transferKey, c *claim, now time.Time) *entrypb.ClaimRecord {
	r := &entrypb.ClaimRecord{
		Key:         HomeName(o.incarnation, key.slot) + "." + key.id.unique,
		Customer:    key.id.customer,
		Fingerprint: []byte(c.fingerprint),
		Claimant:    c.claimant,
		Answer:      c.answer,
	}
	switch c.state {
	case inProgress, abandonedUnknown:
		r.State = entrypb.ClaimState_IN_PROGRESS
		r.ExpiresInMs = uint64(max(c.deadline.Sub(now).Milliseconds(), 0))
	case done:
		r.State = entrypb.ClaimState_DONE
	case reportedUnknown:
		r.State = entrypb.ClaimState_UNKNOWN
	case released:
		r.Claimant = strings.Join(c.released, releasedSeparator)
	}
	return r
}

// setFromRecord makes the claim what the record says.
func (h *Home) setFromRecord(c *claim, r *entrypb.ClaimRecord, now time.Time) {
	*c = claim{
		claimant:    r.GetClaimant(),
		fingerprint: string(r.GetFingerprint()),
		unreleased:  1,
	}
	switch r.GetState() {
	case entrypb.ClaimState_IN_PROGRESS:
		c.state = inProgress
		c.deadline = now.Add(time.Duration(r.GetExpiresInMs()) * time.Millisecond)
	case entrypb.ClaimState_DONE:
		c.state = done
		c.answer = h.keepAnswer(r.GetAnswer())
	case entrypb.ClaimState_CLAIM_UNSPECIFIED:
		c.state = released
		c.unreleased = 0
		c.claimant = ""
		c.released = strings.Split(r.GetClaimant(), releasedSeparator)
	default:
		c.state = reportedUnknown
	}
}
