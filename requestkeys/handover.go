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
