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

// Limits of a hand-over.
const (
	// maxBatchClaims limits the claims in one message.
	maxBatchClaims = 500
	// maxBatchBytes is the size of the claims from which a message gets no
	// further claim.
	maxBatchBytes = 1 << 20
	// handOverCapacityFactor multiplied by MaxClaims is the limit of all claims
	// up to which claims that peers hand over are accepted.
	handOverCapacityFactor = 2
)

// Text forms of handOverID and of the claimants that released a key.
const (
	handOverIDSeparator = "/"
	releasedSeparator   = "\n"
	handOverIDFields    = 4
)

// ErrWrongTarget reports that a hand-over is for another incarnation.
var ErrWrongTarget = errors.New("the hand-over is for another incarnation")

// handOverID identifies one attempt to copy a home's claims to one incarnation.
// Its text is the home field of the messages.
type handOverID struct {
	incarnation string
	// elapsed is the time since the start of slot 0 by the home's clock.
	elapsed time.Duration
	attempt int
	target  string
}

func (id handOverID) String() string {
	return strings.Join([]string{
		id.incarnation,
		strconv.FormatInt(int64(id.elapsed), slotBase),
		strconv.Itoa(id.attempt),
		id.target,
	}, handOverIDSeparator)
}

func parseHandOverID(text string) (handOverID, bool) {
	fields := strings.Split(text, handOverIDSeparator)
	if len(fields) != handOverIDFields || fields[0] == "" {
		return handOverID{}, false
	}
	elapsed, elapsedErr := strconv.ParseInt(fields[1], slotBase, 64)
	attempt, attemptErr := strconv.Atoi(fields[2])
	id := handOverID{incarnation: fields[0], elapsed: time.Duration(elapsed), attempt: attempt, target: fields[3]}
	return id, elapsedErr == nil && attemptErr == nil && elapsed >= 0
}

// transferKey identifies one claim of a claim set.
type transferKey struct {
	slot int64
	id   claimID
}

// transfer is a copy in progress. At the sender it has the claims that are still
// to be sent, at the receiver only the id.
type transfer struct {
	id     handOverID
	queue  []transferKey
	queued map[transferKey]bool
}

// enqueue adds the claim to the queue unless it is queued already. At the
// receiver it does nothing.
func (t *transfer) enqueue(key transferKey) {
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

// HandOverIncarnations returns the incarnations whose claims have to be handed
// over because this instance is leaving, starting with the local one. From then
// on this home rejects hand-overs from peers.
func (h *Home) HandOverIncarnations(now time.Time) []string {
	h.expire(now)
	h.leaving = true
	incarnations := []string{h.config.Incarnation}
	for incarnation, set := range h.claimSets {
		if set != h.localClaims && set.state != staged && set.state != moved {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// StartHandOver starts a copy of the claims to the target incarnation. The home
// continues to serve. It returns false if the claims are no longer here.
func (h *Home) StartHandOver(incarnation, target string, now time.Time) bool {
	set := h.claimSets[incarnation]
	if set == nil {
		return false
	}
	h.handOverAttempt++
	set.transfer = &transfer{
		id:     handOverID{incarnation: incarnation, elapsed: set.elapsed(now), attempt: h.handOverAttempt, target: target},
		queued: map[transferKey]bool{},
	}
	for slot, claims := range set.slots {
		for id := range claims {
			set.markChanged(slot, id)
		}
	}
	return true
}

// NextBatch returns the next message of the copy, or nil if there is nothing
// left to send.
func (h *Home) NextBatch(incarnation string, now time.Time) *entrypb.HandOverRequest {
	set := h.claimSets[incarnation]
	if len(set.transfer.queue) == 0 {
		return nil
	}
	req := &entrypb.HandOverRequest{Home: set.transfer.id.String()}
	size := 0
	for len(set.transfer.queue) > 0 && len(req.Claims) < maxBatchClaims && size < maxBatchBytes {
		key := set.transfer.pop()
		record := set.record(key, set.find(key.slot, key.id), now)
		size += proto.Size(record)
		req.Claims = append(req.Claims, record)
	}
	return req
}

// Freeze stops granting keys of the incarnation, so that few claims are left to
// copy.
func (h *Home) Freeze(incarnation string) {
	if set := h.claimSets[incarnation]; set.state == serving {
		set.state = frozen
	}
}

// AbortHandOver ends a copy that was not committed; the home grants keys again.
// After Commit the home does not serve again.
func (h *Home) AbortHandOver(incarnation string) {
	set := h.claimSets[incarnation]
	set.transfer = nil
	if set.state == frozen {
		set.state = serving
	}
}

// Commit permanently stops serving the incarnation's keys and returns the last
// message of the copy. While NextBatch has more to send, it returns nil and
// changes nothing.
func (h *Home) Commit(incarnation string, now time.Time) *entrypb.HandOverRequest {
	set := h.claimSets[incarnation]
	if len(set.transfer.queue) > 0 {
		return nil
	}
	set.transfer.id.elapsed = set.elapsed(now)
	set.lastSlot = set.slotAt(now)
	set.state = moved
	set.movedTo = set.transfer.id.target
	return &entrypb.HandOverRequest{
		Home:   set.transfer.id.String(),
		Claims: []*entrypb.ClaimRecord{{Fingerprint: set.digest()}},
		Last:   true,
	}
}

// FinishHandOver drops the claims after the receiver has accepted them.
func (h *Home) FinishHandOver(incarnation string) {
	set := h.claimSets[incarnation]
	set.transfer = nil
	set.clear()
}

// digest returns the number of the claims and the sum of their hashes, which
// does not depend on their order. The deadlines and recorded responses are not
// hashed.
func (set *claimSet) digest() []byte {
	var count, sum uint64
	for slot, claims := range set.slots {
		for id, c := range claims {
			count++
			r := set.record(transferKey{slot: slot, id: id}, c, set.latest)
			fields := []string{r.GetKey(), r.GetCustomer(), r.GetClaimant(), r.GetState().String(), string(r.GetFingerprint())}
			sum += xxhash.Sum64String(strings.Join(fields, "\x00"))
		}
	}
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, count), sum)
}
