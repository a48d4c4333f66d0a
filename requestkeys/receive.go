package requestkeys

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/rpc/entrypb"
)

// AcceptHandOver processes one message of a copy at its receiver. After the last
// one this home serves the keys. It returns false if the copy is refused
// permanently; the sender may start another attempt. An error, such as
// ErrWrongTarget, does not affect the copy.
func (h *Home) AcceptHandOver(req *entrypb.HandOverRequest, now time.Time) (bool, error) {
	id, ok := parseHandOverID(req.GetHome())
	if !ok {
		return false, errors.New("malformed hand-over")
	}
	if id.target != h.config.Incarnation {
		return false, ErrWrongTarget
	}
	h.expire(now)
	set := h.claimSets[id.incarnation]
	if set != nil && set.state != staged {
		return req.GetLast() && set.acceptedAttempt == id.attempt, nil
	}
	if set != nil && id.attempt < set.transfer.id.attempt {
		return false, nil
	}
	if set == nil || id.attempt > set.transfer.id.attempt {
		set = h.stage(id, now)
	}
	if h.leaving {
		set.rejectCopy()
	}
	if set.copyRejected {
		return false, nil
	}
	if !req.GetLast() {
		return h.storeCopiedClaims(set, req.GetClaims(), now), nil
	}
	return h.activate(set, id, req.GetClaims(), now), nil
}

// stage starts to receive a copy and discards that of an earlier attempt.
func (h *Home) stage(id handOverID, now time.Time) *claimSet {
	if old := h.claimSets[id.incarnation]; old != nil {
		old.clear()
	}
	set := newClaimSet(h, id.incarnation, now)
	set.transfer = &transfer{id: id}
	set.continueClock(id.elapsed, now)
	h.claimSets[id.incarnation] = set
	return set
}

// continueClock sets the clock of a home that is handed over to the time elapsed
// at the sender. The clock is then late by the delay of the message, so that
// keys are granted slightly longer, but never those of a slot whose claims the
// home has dropped.
func (set *claimSet) continueClock(elapsed time.Duration, now time.Time) {
	set.started = now.Add(-elapsed)
	set.latest = now
	set.lastSlot = set.slotAt(now)
}

// storeCopiedClaims stores claims of an incomplete copy. It rejects the copy if
// there is no capacity for the claims or one has a key of another home.
func (h *Home) storeCopiedClaims(set *claimSet, records []*entrypb.ClaimRecord, now time.Time) bool {
	if h.claims+len(records) > handOverCapacityFactor*h.config.MaxClaims {
		set.rejectCopy()
		return false
	}
	for _, record := range records {
		key, err := ParseKey(record.GetKey())
		if err != nil || key.Incarnation != set.incarnation {
			set.rejectCopy()
			return false
		}
		h.storeCopiedClaim(set, key, record, now)
	}
	return true
}

// storeCopiedClaim stores one claim, replacing an earlier state of it.
func (h *Home) storeCopiedClaim(set *claimSet, key Key, record *entrypb.ClaimRecord, now time.Time) {
	id := claimID{customer: record.GetCustomer(), unique: key.Unique}
	c := set.find(key.Slot, id)
	if c == nil {
		c = &claim{}
		set.add(key.Slot, id, c)
	}
	if c.response != nil {
		h.recordedBytes -= recordedSize(c.response)
		c.response = nil
	}
	h.restoreClaim(c, record, now)
}

// rejectCopy discards the copy and refuses the rest of it.
func (set *claimSet) rejectCopy() {
	set.clear()
	set.copyRejected = true
}

// activate starts to serve the keys if the digest in the last message matches
// the copy, and otherwise rejects the copy.
func (h *Home) activate(set *claimSet, id handOverID, records []*entrypb.ClaimRecord, now time.Time) bool {
	if len(records) != 1 || string(records[0].GetFingerprint()) != string(set.digest()) {
		set.rejectCopy()
		return false
	}
	set.continueClock(id.elapsed, now)
	set.acceptedAttempt = id.attempt
	set.transfer = nil
	set.state = serving
	return true
}
