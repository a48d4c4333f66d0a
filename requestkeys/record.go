package requestkeys

import (
	"strings"
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// record returns a claim as sent in a hand-over message. ExpiresInMs is the
// time in milliseconds until the claimant's deadline. A released key has the
// state CLAIM_UNSPECIFIED, and in place of the claimant those that released it.
func (set *claimSet) record(key transferKey, c *claim, now time.Time) *entrypb.ClaimRecord {
	r := &entrypb.ClaimRecord{
		Key:         HomeName(set.incarnation, key.slot) + "." + key.id.unique,
		Customer:    key.id.customer,
		Fingerprint: []byte(c.fingerprint),
		Claimant:    c.claimant,
		Answer:      c.response,
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
		r.Claimant = strings.Join(c.releasedBy, releasedSeparator)
	}
	return r
}

// restoreClaim sets the claim to the state in the record. Capacity limits may
// omit the body of its response.
func (h *Home) restoreClaim(c *claim, r *entrypb.ClaimRecord, now time.Time) {
	*c = claim{
		claimant:         r.GetClaimant(),
		fingerprint:      string(r.GetFingerprint()),
		unreleasedGrants: 1,
	}
	switch r.GetState() {
	case entrypb.ClaimState_IN_PROGRESS:
		c.state = inProgress
		c.deadline = now.Add(time.Duration(r.GetExpiresInMs()) * time.Millisecond)
	case entrypb.ClaimState_DONE:
		c.state = done
		c.response = h.boundResponse(r.GetAnswer())
	case entrypb.ClaimState_CLAIM_UNSPECIFIED:
		c.state = released
		c.unreleasedGrants = 0
		c.claimant = ""
		c.releasedBy = strings.Split(r.GetClaimant(), releasedSeparator)
	default:
		c.state = reportedUnknown
	}
}
