package requestkeys

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/rpc/entrypb"
)

// AcceptHandOver takes one message of a copy at its receiver. After the last
// one this home serves the keys. False refuses the copy for good; the sender
// may try another attempt. ErrWrongTarget says nothing about the copy.
func (h *Home) AcceptHandOver(req *entrypb.HandOverRequest, now time.Time) (bool, error) {
	id, ok := parseHandOverID(req.GetHome())
	if !ok {
		return false, errors.New("malformed hand-over")
	}
	if id.target != h.config.Incarnation {
		return false, ErrWrongTarget
	}
	h.expire(now)
	o := h.holdings[id.incarnation]
	if o != nil && o.state != staged {
		return req.GetLast() && o.acceptedAttempt == id.attempt, nil
	}
	if o != nil && id.attempt < o.transfer.id.attempt {
		return false, nil
	}
	if o == nil || id.attempt > o.transfer.id.attempt {
		o = h.stage(id, now)
	}
	if h.leaving {
		o.reject()
	}
	if o.rejected {
		return false, nil
	}
	if !req.GetLast() {
		return h.copyClaims(o, req.GetClaims(), now), nil
	}
	return h.activate(o, id, req.GetClaims(), now), nil
}

// stage begins a copy and discards that of an earlier attempt.
func (h *Home) stage(id handOverID, now time.Time) *holding {
	if old := h.holdings[id.incarnation]; old != nil {
		old.clear()
	}
	o := newHolding(h, id.incarnation, now)
	o.transfer = &transfer{id: id}
	o.continueClock(id.elapsed, now)
	h.holdings[id.incarnation] = o
	return o
}

// continueClock sets the clock of a home that was handed over to where it stood
// at the commit. It then runs late by the delay of the message. Keys are granted
// a little longer, but never one of a slot whose claims the home has dropped.
func (o *holding) continueClock(elapsed time.Duration, now time.Time) {
	o.started = now.Add(-elapsed)
	o.latest = now
	o.lastSlot = o.slotAt(now)
}

// copyClaims stores claims of a copy that is not whole.
func (h *Home) copyClaims(o *holding, records []*entrypb.ClaimRecord, now time.Time) bool {
	if h.claims+len(records) > roomForOthers*h.config.MaxClaims {
		o.reject()
		return false
	}
	for _, record := range records {
		key, err := ParseKey(record.GetKey())
		if err != nil || key.Incarnation != o.incarnation {
			o.reject()
			return false
		}
		h.copyClaim(o, key, record, now)
	}
	return true
}

func (h *Home) copyClaim(o *holding, key Key, record *entrypb.ClaimRecord, now time.Time) {
	id := claimID{customer: record.GetCustomer(), unique: key.Unique}
	c := o.find(key.Slot, id)
	if c == nil {
		c = &claim{}
		o.add(key.Slot, id, c)
	}
	if c.answer != nil {
		h.answerBytes -= answerSize(c.answer)
		c.answer = nil
	}
	h.setFromRecord(c, record, now)
}

// reject discards the copy and refuses the rest of it.
func (o *holding) reject() {
	o.clear()
	o.rejected = true
}

// activate serves the keys if the copy is whole.
func (h *Home) activate(o *holding, id handOverID, records []*entrypb.ClaimRecord, now time.Time) bool {
	if len(records) != 1 || string(records[0].GetFingerprint()) != string(o.digest()) {
		o.reject()
		return false
	}
	o.continueClock(id.elapsed, now)
	o.acceptedAttempt = id.attempt
	o.transfer = nil
	o.state = serving
	return true
}
