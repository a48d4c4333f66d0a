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
	// reportedUnknown is a claim whose claimant reported an unknown outcome.
	reportedUnknown
	// abandonedUnknown is a claim whose deadline has passed. Its claimant can
	// still report the outcome.
	abandonedUnknown
	released
)

// claimID identifies a claim within one slot of one home.
type claimID struct{ customer, unique string }

// claim is the recorded state of one key.
type claim struct {
	state claimState
	// unreleasedGrants is the number of grants that have not been released.
	unreleasedGrants int8
	claimant         string
	fingerprint      string
	deadline         time.Time
	response         *entrypb.RecordedAnswer
	// releasedBy holds the claimants that will not dispatch, at most
	// maxReleasedClaimants, the latest last.
	releasedBy []string
}

// abandoned reports whether the claim is in progress past its deadline.
func (c *claim) abandoned(now time.Time) bool {
	return c.state == inProgress && now.After(c.deadline)
}

func (c *claim) wasReleasedBy(claimant string) bool { return slices.Contains(c.releasedBy, claimant) }

// recordRelease records the claimant if it reports that it will not dispatch.
func (c *claim) recordRelease(req *entrypb.CompleteRequest) {
	if req.GetResult() != entrypb.CompleteRequest_NOT_RUN || c.wasReleasedBy(req.GetClaimant()) {
		return
	}
	c.releasedBy = append(c.releasedBy, req.GetClaimant())
	if len(c.releasedBy) > maxReleasedClaimants {
		c.releasedBy = c.releasedBy[1:]
	}
}

// claimSetState determines how a claim set responds to messages.
type claimSetState uint8

const (
	// staged holds an incomplete copy; it is not used for decisions.
	staged claimSetState = iota
	serving
	// frozen decides repeats and grants no keys.
	frozen
	// moved decides nothing and names the incarnation that has the claims.
	moved
)

// claimSet holds the claims of the keys of one home incarnation.
type claimSet struct {
	home        *Home
	incarnation string
	state       claimSetState
	movedTo     string
	// started is the start of slot 0; latest is the latest time seen.
	started time.Time
	latest  time.Time
	// lastSlot is the last slot that was issued; -1 for the local home, which
	// continues to issue slots.
	lastSlot int64
	slots    map[int64]map[claimID]*claim

	// transfer is the copy that is being sent or received, or nil.
	transfer *transfer
	// copyRejected is set at the receiver when it has rejected the copy.
	copyRejected bool
	// acceptedAttempt is the attempt that handed the claims over to this home;
	// 0 if none.
	acceptedAttempt int
}

func newClaimSet(home *Home, incarnation string, started time.Time) *claimSet {
	return &claimSet{
		home:        home,
		incarnation: incarnation,
		started:     started,
		latest:      started,
		lastSlot:    -1,
		slots:       map[int64]map[claimID]*claim{},
	}
}

// elapsed returns the time since the start of slot 0. It never decreases, even
// if now does.
func (set *claimSet) elapsed(now time.Time) time.Duration {
	if now.After(set.latest) {
		set.latest = now
	}
	return set.latest.Sub(set.started)
}

// slotAt returns the number of the slot at the time now.
func (set *claimSet) slotAt(now time.Time) int64 {
	return int64(set.elapsed(now) / set.home.config.SlotLength)
}

// grantable reports whether keys of the slot may be granted at the time now.
func (set *claimSet) grantable(slot int64, now time.Time) bool {
	issued := slot <= set.slotAt(now) && (set.lastSlot < 0 || slot <= set.lastSlot)
	return issued && set.elapsed(now) < set.slotEnd(slot)+set.home.config.AcceptFor
}

// mayBeDropped reports whether claims of the slot may have been dropped.
func (set *claimSet) mayBeDropped(slot int64, now time.Time) bool {
	return set.elapsed(now) >= set.slotEnd(slot)+set.home.config.KeepFor
}

// slotEnd returns the end of the slot as time since the start of slot 0. Slots
// above maxSlot are treated as maxSlot to avoid an overflow of the product.
func (set *claimSet) slotEnd(slot int64) time.Duration {
	const maxSlot = 1 << 20
	return time.Duration(min(slot, maxSlot)+1) * set.home.config.SlotLength
}

// fullyExpired reports whether no key of the set can be granted or queried any
// more.
func (set *claimSet) fullyExpired(now time.Time) bool {
	return set.lastSlot >= 0 && set.mayBeDropped(set.lastSlot, now)
}

func (set *claimSet) find(slot int64, id claimID) *claim { return set.slots[slot][id] }

func (set *claimSet) add(slot int64, id claimID, c *claim) {
	claims := set.slots[slot]
	if claims == nil {
		claims = map[claimID]*claim{}
		set.slots[slot] = claims
	}
	claims[id] = c
	set.home.claims++
	set.home.perCustomer[id.customer]++
}

// markChanged queues the claim to be copied again if a copy is in progress.
func (set *claimSet) markChanged(slot int64, id claimID) {
	if set.transfer != nil {
		set.transfer.enqueue(transferKey{slot: slot, id: id})
	}
}

// expire drops the slots whose retention has ended. During a copy it drops
// nothing, so that the digests of both sides cover the same claims.
func (set *claimSet) expire(now time.Time) {
	if set.transfer != nil {
		return
	}
	for slot, claims := range set.slots {
		if set.mayBeDropped(slot, now) {
			set.drop(claims)
			delete(set.slots, slot)
		}
	}
}

// clear drops all claims.
func (set *claimSet) clear() {
	for _, claims := range set.slots {
		set.drop(claims)
	}
	clear(set.slots)
}

// drop subtracts the claims from the counts of the home.
func (set *claimSet) drop(claims map[claimID]*claim) {
	h := set.home
	for id, c := range claims {
		h.claims--
		h.perCustomer[id.customer]--
		if h.perCustomer[id.customer] == 0 {
			delete(h.perCustomer, id.customer)
		}
		if c.response != nil {
			h.recordedBytes -= recordedSize(c.response)
		}
	}
}

func recordedSize(response *entrypb.RecordedAnswer) int { return proto.Size(response) }
