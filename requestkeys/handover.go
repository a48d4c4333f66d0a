package requestkeys

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"samphireferry.example/ferry/rpc/entrypb"
)

// Bounds of one message of a hand-over.
const (
	maxBatchClaims = 500
	maxBatchBytes  = 1 << 20
	// roomForOthers multiplies MaxClaims for claims that were handed over.
	roomForOthers = 2
)

// Separators in the text forms of hand-over messages.
const (
	handOverSeparator = "/"
	releasedSeparator = "\n"
	handOverFields    = 4
)

// ErrWrongTarget says that a hand-over was meant for another incarnation.
var ErrWrongTarget = errors.New("the hand-over is for another incarnation")

// handOverID names one copy of a home's claims to one incarnation. It is the
// home field of the messages.
type handOverID struct {
	incarnation string
	// elapsed is the time of the home's clock, since the start of its slot 0.
	elapsed time.Duration
	attempt int
	target  string
}

func (d handOverID) String() string {
	return strings.Join([]string{
		d.incarnation,
		strconv.FormatInt(int64(d.elapsed), slotBase),
		strconv.Itoa(d.attempt),
		d.target,
	}, handOverSeparator)
}

func parseHandOverID(text string) (handOverID, bool) {
	parts := strings.Split(text, handOverSeparator)
	if len(parts) != handOverFields || parts[0] == "" {
		return handOverID{}, false
	}
	elapsed, elapsedErr := strconv.ParseInt(parts[1], slotBase, 64)
	attempt, attemptErr := strconv.Atoi(parts[2])
	id := handOverID{incarnation: parts[0], elapsed: time.Duration(elapsed), attempt: attempt, target: parts[3]}
	return id, elapsedErr == nil && attemptErr == nil && elapsed >= 0
}

// transferKey names one claim of a holding.
type transferKey struct {
	slot int64
	id   claimID
}

// transfer is a copy that is under way: the claims that are still to be sent,
// or at the receiver only its name.
type transfer struct {
	id     handOverID
	queue  []transferKey
	queued map[transferKey]bool
}

func (t *transfer) mark(key transferKey) {
	if t.queued == nil || t.queued[key] {
		return
	}
	t.queued[key] = true
	t.queue = append(t.queue, key)
}

func (t *transfer) pop() transferKey {
	key := t.queue[0]
	t.queue = t.queue[1:]
	delete(t.queued, key)
	return key
}

// HandOverIncarnations returns the incarnations whose claims are here and have
// to be handed over because this instance leaves, its own first. From then on
// this home refuses the claims of others.
func (h *Home) HandOverIncarnations(now time.Time) []string {
	h.expire(now)
	h.leaving = true
	incarnations := []string{h.config.Incarnation}
	for incarnation, o := range h.holdings {
		if o != h.own && o.state != staged && o.state != moved {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// StartHandOver begins a copy of the claims to the target incarnation. The
// home goes on serving. It returns false if the claims are no longer here.
func (h *Home) StartHandOver(incarnation, target string, now time.Time) bool {
	o := h.holdings[incarnation]
	if o == nil {
		return false
	}
	h.attempt++
	o.transfer = &transfer{
		id:     handOverID{incarnation: incarnation, elapsed: o.elapsed(now), attempt: h.attempt, target: target},
		queued: map[transferKey]bool{},
	}
	for slot, claims := range o.slots {
		for id := range claims {
			o.changed(slot, id)
		}
	}
	return true
}

// NextBatch returns the next message of the copy, or nil if the receiver has
// been sent everything.
func (h *Home) NextBatch(incarnation string, now time.Time) *entrypb.HandOverRequest {
	o := h.holdings[incarnation]
	if len(o.transfer.queue) == 0 {
		return nil
	}
	req := &entrypb.HandOverRequest{Home: o.transfer.id.String()}
	size := 0
	for len(o.transfer.queue) > 0 && len(req.Claims) < maxBatchClaims && size < maxBatchBytes {
		key := o.transfer.pop()
		record := o.record(key, o.find(key.slot, key.id), now)
		size += proto.Size(record)
		req.Claims = append(req.Claims, record)
	}
	return req
}

// Freeze stops granting keys, so that the rest of the copy is short.
func (h *Home) Freeze(incarnation string) {
	if o := h.holdings[incarnation]; o.state == serving {
		o.state = frozen
	}
}

// AbortHandOver ends a copy that was not committed; the home serves again. It
// does nothing after Commit.
func (h *Home) AbortHandOver(incarnation string) {
	o := h.holdings[incarnation]
	o.transfer = nil
	if o.state == frozen {
		o.state = serving
	}
}

// Commit ends serving for good and returns the last message of the copy. It
// returns nil, and changes nothing, while NextBatch has more to send.
func (h *Home) Commit(incarnation string, now time.Time) *entrypb.HandOverRequest {
	o := h.holdings[incarnation]
	if len(o.transfer.queue) > 0 {
		return nil
	}
	o.transfer.id.elapsed = o.elapsed(now)
	o.lastSlot = o.slotAt(now)
	o.state = moved
	o.movedTo = o.transfer.id.target
	return &entrypb.HandOverRequest{
		Home:   o.transfer.id.String(),
		Claims: []*entrypb.ClaimRecord{{Fingerprint: o.digest()}},
		Last:   true,
	}
}

// HandOverDone drops the claims after the receiver has accepted them.
func (h *Home) HandOverDone(incarnation string) {
	o := h.holdings[incarnation]
	o.transfer = nil
	o.clear()
}

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

// digest sums up the claims, regardless of their order.
func (o *holding) digest() []byte {
	var count, sum uint64
	for slot, claims := range o.slots {
		for id, c := range claims {
			count++
			r := o.record(transferKey{slot: slot, id: id}, c, o.latest)
			fields := []string{r.GetKey(), r.GetCustomer(), r.GetClaimant(), r.GetState().String(), string(r.GetFingerprint())}
			sum += xxhash.Sum64String(strings.Join(fields, "\x00"))
		}
	}
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, count), sum)
}
