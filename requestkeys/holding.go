package requestkeys

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"samphireferry.example/ferry/rpc/entrypb"
)

// claimState is the state of one claim.
type claimState uint8

const (
	inProgress claimState = iota
	done
	// reportedUnknown is an outcome that the claimant does not know.
	reportedUnknown
	// abandonedUnknown is a claim whose claimant's deadline has passed. Its
	// claimant can still report the outcome.
	abandonedUnknown
	released
)

// claimID names a claim within one slot of one home.
type claimID struct{ customer, unique string }

// claim is what is known of one key.
type claim struct {
	state       claimState
	unreleased  int8
	claimant    string
	fingerprint string
	deadline    time.Time
	answer      *entrypb.RecordedAnswer
	// released holds the claimants that will not dispatch.
	released []string
}

func (c *claim) abandoned(now time.Time) bool {
	return c.state == inProgress && now.After(c.deadline)
}

func (c *claim) wasReleasedBy(claimant string) bool { return slices.Contains(c.released, claimant) }

// release remembers a claimant that says that it will not dispatch.
func (c *claim) release(req *entrypb.CompleteRequest) {
	if req.GetResult() != entrypb.CompleteRequest_NOT_RUN || c.wasReleasedBy(req.GetClaimant()) {
		return
	}
	c.released = append(c.released, req.GetClaimant())
	if len(c.released) > maxReleased {
		c.released = c.released[1:]
	}
}

// holdingState says what a holding does with new claims.
type holdingState uint8

const (
	// staged holds a copy that is not complete; it answers nothing.
	staged holdingState = iota
	serving
	// frozen answers repeats and grants nothing.
	frozen
	// moved answers nothing and names the peer that has the claims.
	moved
)

// holding is the claims of the keys of one home incarnation.
type holding struct {
	home        *Home
	incarnation string
	state       holdingState
	movedTo     string
	// started is when slot 0 began; latest is the latest time seen.
	started time.Time
	latest  time.Time
	// lastSlot is the last slot that was handed out; -1 for the own home,
	// which goes on handing out.
	lastSlot int64
	slots    map[int64]map[claimID]*claim

	// transfer is the copy that is being sent or received, or nil.
	transfer *transfer
	// rejected is set at the receiver when the copy was refused.
	rejected bool
	// acceptedAttempt is the attempt by which the claims came here; 0 if none.
	acceptedAttempt int
}

func newHolding(home *Home, incarnation string, started time.Time) *holding {
	return &holding{
		home:        home,
		incarnation: incarnation,
		started:     started,
		latest:      started,
		lastSlot:    -1,
		slots:       map[int64]map[claimID]*claim{},
	}
}

// elapsed returns the time since the start of slot 0. It never falls.
func (o *holding) elapsed(now time.Time) time.Duration {
	if now.After(o.latest) {
		o.latest = now
	}
	return o.latest.Sub(o.started)
}

func (o *holding) slotAt(now time.Time) int64 {
	return int64(o.elapsed(now) / o.home.config.SlotLength)
}

// grants says whether keys of the slot may be granted now.
func (o *holding) grants(slot int64, now time.Time) bool {
	issued := slot <= o.slotAt(now) && (o.lastSlot < 0 || slot <= o.lastSlot)
	return issued && o.elapsed(now) < o.slotEnd(slot)+o.home.config.AcceptFor
}

// forgotten says whether claims of the slot may have been dropped.
func (o *holding) forgotten(slot int64, now time.Time) bool {
	return o.elapsed(now) >= o.slotEnd(slot)+o.home.config.KeepFor
}

// slotEnd returns the end of the slot as time since the start of slot 0.
func (o *holding) slotEnd(slot int64) time.Duration {
	const maxSlot = 1 << 20
	return time.Duration(min(slot, maxSlot)+1) * o.home.config.SlotLength
}

// over says whether no key of the holding can be granted or asked for any more.
func (o *holding) over(now time.Time) bool {
	return o.lastSlot >= 0 && o.forgotten(o.lastSlot, now)
}

func (o *holding) find(slot int64, id claimID) *claim { return o.slots[slot][id] }

func (o *holding) add(slot int64, id claimID, c *claim) {
	claims := o.slots[slot]
	if claims == nil {
		claims = map[claimID]*claim{}
		o.slots[slot] = claims
	}
	claims[id] = c
	o.home.claims++
	o.home.perCustomer[id.customer]++
}

// changed notes that the claim has to be copied again.
func (o *holding) changed(slot int64, id claimID) {
	if o.transfer != nil {
		o.transfer.mark(transferKey{slot: slot, id: id})
	}
}

// expire drops the slots that need not be kept. A copy is left as it is until
// it is whole, so that both sides count the same claims.
func (o *holding) expire(now time.Time) {
	if o.transfer != nil {
		return
	}
	for slot, claims := range o.slots {
		if o.forgotten(slot, now) {
			o.drop(claims)
			delete(o.slots, slot)
		}
	}
}

// clear drops all claims.
func (o *holding) clear() {
	for _, claims := range o.slots {
		o.drop(claims)
	}
	clear(o.slots)
}

func (o *holding) drop(claims map[claimID]*claim) {
	h := o.home
	for id, c := range claims {
		h.claims--
		h.perCustomer[id.customer]--
		if h.perCustomer[id.customer] == 0 {
			delete(h.perCustomer, id.customer)
		}
		if c.answer != nil {
			h.answerBytes -= answerSize(c.answer)
		}
	}
}

func answerSize(answer *entrypb.RecordedAnswer) int { return proto.Size(answer) }
