package requestkeys

import (
	"cmp"
	"strings"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Defaults of Config.
const (
	defaultMaxClaims        = 200_000
	defaultMaxAnswerBytes   = 64 << 10
	defaultTotalAnswerBytes = 32 << 20
	defaultSlotLength       = 5 * time.Minute
	defaultAcceptFor        = 5 * time.Minute
	defaultKeepFor          = 10 * time.Minute
	// maxClaimsPerCustomerDivisor divides MaxClaims to get the default of
	// MaxCustomerClaims.
	maxClaimsPerCustomerDivisor = 4
	// maxReleasedClaimants limits the claimants recorded as released per key.
	maxReleasedClaimants = 8
	// maxFieldBytes is the maximum length of the claimant and of the
	// fingerprint in a message.
	maxFieldBytes = 128
)

// Expired is the state of a key that was never claimed and is too old to be
// granted now. It has not run.
const Expired entrypb.ClaimState = 8

// InvariantOneGrant is the invariant that at most one claimant holds a grant of
// a key that it has not released.
const InvariantOneGrant invariant.Name = "request_key_one_grant"

// Config holds the settings of a Home.
type Config struct {
	// Incarnation identifies the run of the entry instance that has the home.
	Incarnation string
	// MaxClaims is the maximum number of claims held. Default 200,000. Claims
	// handed over by peers are accepted up to a total of twice this number.
	MaxClaims int
	// MaxCustomerClaims is the maximum number of claims of one customer.
	// Default MaxClaims/4, but at least 1.
	MaxCustomerClaims int
	// MaxAnswerBytes is the maximum size of one recorded response body, in
	// bytes. Default 64 KiB.
	MaxAnswerBytes int
	// TotalAnswerBytes is the maximum size of all recorded responses together,
	// in bytes; above it, bodies are omitted. Default 32 MiB.
	TotalAnswerBytes int
	// SlotLength is how long one home name is issued. Default 5m.
	SlotLength time.Duration
	// AcceptFor is how long keys are granted after the end of their slot.
	// Default 5m.
	AcceptFor time.Duration
	// KeepFor is how long claims are kept after the end of their slot. It is
	// at least AcceptFor. Default 10m.
	KeepFor time.Duration
	// Invariants records violations; nil records nothing.
	Invariants *invariant.Checker
}

func (c Config) withDefaults() Config {
	c.MaxClaims = cmp.Or(c.MaxClaims, defaultMaxClaims)
	c.MaxCustomerClaims = cmp.Or(c.MaxCustomerClaims, max(c.MaxClaims/maxClaimsPerCustomerDivisor, 1))
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	c.TotalAnswerBytes = cmp.Or(c.TotalAnswerBytes, defaultTotalAnswerBytes)
	c.SlotLength = cmp.Or(c.SlotLength, defaultSlotLength)
	c.AcceptFor = cmp.Or(c.AcceptFor, defaultAcceptFor)
	c.KeepFor = max(cmp.Or(c.KeepFor, defaultKeepFor), c.AcceptFor)
	return c
}

// Home holds the claims of the keys of this instance and of those that leaving
// homes have handed over to it. It is not safe for concurrent use; see Service.
type Home struct {
	config      Config
	localClaims *claimSet
	claimSets   map[string]*claimSet
	// perCustomer is the number of claims by customer.
	perCustomer map[string]int
	claims      int
	// recordedBytes is the size of all recorded responses, in bytes.
	recordedBytes   int
	handOverAttempt int
	// leaving is set when this home starts to hand over its claims.
	leaving bool
}

// NewHome returns a home without claims whose slot 0 starts at now.
func NewHome(config Config, now time.Time) *Home {
	h := &Home{config: config.withDefaults(), claimSets: map[string]*claimSet{}, perCustomer: map[string]int{}}
	h.localClaims = newClaimSet(h, config.Incarnation, now)
	h.localClaims.state = serving
	h.claimSets[config.Incarnation] = h.localClaims
	return h
}

// Name returns the home name to issue to callers at the time now. It is empty
// once the home has started to hand over its claims.
func (h *Home) Name(now time.Time) string {
	if h.leaving {
		return ""
	}
	return HomeName(h.config.Incarnation, h.localClaims.slotAt(now))
}

// Claims returns the number of claims held.
func (h *Home) Claims() int { return h.claims }

// Holds reports whether this home has the complete claims of the incarnation's
// keys, or has committed their hand-over and knows the receiver.
func (h *Home) Holds(incarnation string) bool {
	set := h.claimSets[incarnation]
	return set != nil && set.state != staged
}

// Claim decides whether the claimant may dispatch the request now. For a
// malformed message it returns the state CLAIM_UNSPECIFIED.
func (h *Home) Claim(req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	key, err := ParseKey(req.GetKey())
	if err != nil || !validFields(req.GetClaimant(), req.GetFingerprint()) {
		return &entrypb.ClaimResponse{}
	}
	h.expire(now)
	set := h.claimSets[key.Incarnation]
	switch {
	case set == nil || set.state == staged:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	case set.state == moved:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME, MovedTo: set.movedTo}
	}
	id := claimID{customer: req.GetCustomer(), unique: req.GetKey()[len(req.GetKey())-len(key.Unique):]}
	if c := set.find(key.Slot, id); c != nil {
		return h.claimAgain(set, key.Slot, id, c, req, now)
	}
	return h.claimFirst(set, key.Slot, id, req, now)
}

// validFields reports whether the claimant and the fingerprint are within their
// limits and the claimant can be listed in a claim record.
func validFields(claimant string, fingerprint []byte) bool {
	return claimant != "" &&
		!strings.Contains(claimant, releasedSeparator) &&
		len(claimant) <= maxFieldBytes &&
		len(fingerprint) <= maxFieldBytes
}

// claimFirst handles a Claim of a key that has no claim.
func (h *Home) claimFirst(set *claimSet, slot int64, id claimID, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	switch {
	case set.mayBeDropped(slot, now):
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_UNKNOWN}
	case !set.grantable(slot, now):
		return &entrypb.ClaimResponse{State: Expired}
	case set.state == frozen:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	case h.claims >= h.config.MaxClaims, h.perCustomer[id.customer] >= h.config.MaxCustomerClaims:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_FULL}
	}
	c := &claim{}
	set.add(slot, id, c)
	return h.grant(set, slot, id, c, req, now)
}

// claimAgain handles a Claim of a key that already has a claim.
func (h *Home) claimAgain(set *claimSet, slot int64, id claimID, c *claim, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	if c.abandoned(now) {
		c.state = abandonedUnknown
		set.markChanged(slot, id)
	}
	same := c.claimant == req.GetClaimant()
	switch {
	case c.state != released && c.fingerprint != string(req.GetFingerprint()):
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_MISMATCH}
	case c.state == inProgress && same:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_CLAIMED}
	case c.state == inProgress:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_IN_PROGRESS}
	case c.state == done:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_DONE, Answer: c.response}
	case c.state != released:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_UNKNOWN}
	case c.wasReleasedBy(req.GetClaimant()):
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_IN_PROGRESS}
	case !set.grantable(slot, now):
		return &entrypb.ClaimResponse{State: Expired}
	case set.state == frozen:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	}
	return h.grant(set, slot, id, c, req, now)
}

// grant grants the key to the claimant.
func (h *Home) grant(set *claimSet, slot int64, id claimID, c *claim, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	c.unreleasedGrants++
	h.config.Invariants.Check(c.unreleasedGrants == 1 && set.state == serving, InvariantOneGrant, req.GetKey())
	c.state = inProgress
	c.claimant = req.GetClaimant()
	c.fingerprint = string(req.GetFingerprint())
	c.deadline = now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond)
	set.markChanged(slot, id)
	return &entrypb.ClaimResponse{State: entrypb.ClaimState_CLAIMED}
}

// Complete records the outcome that the claimant reports. It returns false if
// the claims are not here, and the incarnation to which the message is to be
// forwarded if they have been handed over. Malformed messages are ignored.
func (h *Home) Complete(req *entrypb.CompleteRequest, now time.Time) (movedTo string, here bool) {
	customer, text, _ := splitScopedKey(req.GetKey())
	key, err := ParseKey(text)
	if err != nil || !validFields(req.GetClaimant(), nil) {
		return "", true
	}
	h.expire(now)
	set := h.claimSets[key.Incarnation]
	switch {
	case set == nil || set.state == staged:
		return "", false
	case set.state == moved:
		return set.movedTo, false
	}
	id := claimID{customer: customer, unique: key.Unique}
	c := set.find(key.Slot, id)
	if c == nil {
		h.recordEarlyRelease(set, key.Slot, id, req, now)
		return "", true
	}
	if c.claimant != req.GetClaimant() {
		c.recordRelease(req)
		return "", true
	}
	h.complete(c, req)
	set.markChanged(key.Slot, id)
	return "", true
}

// recordEarlyRelease records a release that arrives before its Claim, so that
// the Claim is not granted when it arrives.
func (h *Home) recordEarlyRelease(set *claimSet, slot int64, id claimID, req *entrypb.CompleteRequest, now time.Time) {
	full := h.claims >= h.config.MaxClaims || h.perCustomer[id.customer] >= h.config.MaxCustomerClaims
	if full || set.state == frozen || !set.grantable(slot, now) || req.GetResult() != entrypb.CompleteRequest_NOT_RUN {
		return
	}
	c := &claim{state: released, releasedBy: []string{req.GetClaimant()}}
	set.add(slot, id, c)
	set.markChanged(slot, id)
}

// complete applies the result that the current claimant reports. Only a claim
// that is in progress or abandoned can change.
func (h *Home) complete(c *claim, req *entrypb.CompleteRequest) {
	if c.state != inProgress && c.state != abandonedUnknown {
		return
	}
	switch req.GetResult() {
	case entrypb.CompleteRequest_NOT_RUN:
		c.unreleasedGrants--
		c.state = released
		c.recordRelease(req)
		c.claimant = ""
	case entrypb.CompleteRequest_RAN:
		c.state = done
		c.response = h.boundResponse(req.GetAnswer())
	default:
		c.state = reportedUnknown
	}
}

// boundResponse counts the response and returns it, without its headers and body
// if it exceeds the limits. A missing response is recorded as one without body.
func (h *Home) boundResponse(response *entrypb.RecordedAnswer) *entrypb.RecordedAnswer {
	if response == nil {
		response = &entrypb.RecordedAnswer{BodyOmitted: true}
	}
	size := recordedSize(response)
	if len(response.GetBody()) > h.config.MaxAnswerBytes || h.recordedBytes+size > h.config.TotalAnswerBytes {
		response = &entrypb.RecordedAnswer{Status: response.GetStatus(), BodyOmitted: true}
		size = recordedSize(response)
	}
	h.recordedBytes += size
	return response
}

// expire drops the claims whose retention has ended, and claim sets that were
// handed over to this home and can no longer be used.
func (h *Home) expire(now time.Time) {
	for incarnation, set := range h.claimSets {
		set.expire(now)
		copying := set.transfer != nil && set.state != staged
		if set != h.localClaims && !copying && set.fullyExpired(now) {
			set.clear()
			delete(h.claimSets, incarnation)
		}
	}
}
