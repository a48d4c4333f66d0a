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
	// customerPart is the part of all claims that one customer may hold.
	customerPart = 4
	// maxReleased bounds the released claimants remembered for one key.
	maxReleased = 8
	// maxFieldBytes bounds the claimant and fingerprint of a message.
	maxFieldBytes = 128
)

// Expired is the state of a key that was never claimed and is too old to be
// granted now. It has not run.
const Expired entrypb.ClaimState = 8

// OneGrant is the invariant that a key is granted to one claimant that has not
// released it, at most.
const OneGrant invariant.Name = "request_key_one_grant"

// Config holds the settings of a Home.
type Config struct {
	// Incarnation is that of the instance that owns the home.
	Incarnation string
	// MaxClaims bounds the claims held. Default 200,000.
	MaxClaims int
	// MaxCustomerClaims bounds those of one customer. Default MaxClaims/4.
	MaxCustomerClaims int
	// MaxAnswerBytes bounds one recorded body. Default 64 KiB.
	MaxAnswerBytes int
	// TotalAnswerBytes bounds all recorded answers. Default 32 MiB.
	TotalAnswerBytes int
	// SlotLength is the time for which one home name is handed out. Default 5m.
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
	c.MaxCustomerClaims = cmp.Or(c.MaxCustomerClaims, max(c.MaxClaims/customerPart, 1))
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	c.TotalAnswerBytes = cmp.Or(c.TotalAnswerBytes, defaultTotalAnswerBytes)
	c.SlotLength = cmp.Or(c.SlotLength, defaultSlotLength)
	c.AcceptFor = cmp.Or(c.AcceptFor, defaultAcceptFor)
	c.KeepFor = max(cmp.Or(c.KeepFor, defaultKeepFor), c.AcceptFor)
	return c
}

// Home holds the claims of its own keys and of those that leaving homes have
// handed over. It is not safe for concurrent use; see Service.
type Home struct {
	config   Config
	own      *holding
	holdings map[string]*holding
	// perCustomer counts the claims of each customer.
	perCustomer map[string]int
	claims      int
	answerBytes int
	attempt     int
	// leaving is set when this home starts to hand its claims over.
	leaving bool
}

// NewHome returns a home without claims whose slot 0 starts now.
func NewHome(config Config, now time.Time) *Home {
	h := &Home{config: config.withDefaults(), holdings: map[string]*holding{}, perCustomer: map[string]int{}}
	h.own = newHolding(h, config.Incarnation, now)
	h.own.state = serving
	h.holdings[config.Incarnation] = h.own
	return h
}

// Name returns the home name to hand out to callers now. It is empty when the
// home has started to hand its claims over.
func (h *Home) Name(now time.Time) string {
	if h.leaving {
		return ""
	}
	return HomeName(h.config.Incarnation, h.own.slotAt(now))
}

// Claims returns the number of claims held.
func (h *Home) Claims() int { return h.claims }

// Holds says whether claims of the incarnation's keys are decided here.
func (h *Home) Holds(incarnation string) bool {
	holding := h.holdings[incarnation]
	return holding != nil && holding.state != staged
}

// Claim decides whether the claimant may dispatch the request now.
func (h *Home) Claim(req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	key, err := ParseKey(req.GetKey())
	if err != nil || !validFields(req.GetClaimant(), req.GetFingerprint()) {
		return &entrypb.ClaimResponse{}
	}
	h.expire(now)
	holding := h.holdings[key.Incarnation]
	switch {
	case holding == nil || holding.state == staged:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	case holding.state == moved:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME, MovedTo: holding.movedTo}
	}
	id := claimID{customer: req.GetCustomer(), unique: req.GetKey()[len(req.GetKey())-len(key.Unique):]}
	if c := holding.find(key.Slot, id); c != nil {
		return h.claimAgain(holding, key.Slot, id, c, req, now)
	}
	return h.claimFirst(holding, key.Slot, id, req, now)
}

func validFields(claimant string, fingerprint []byte) bool {
	return claimant != "" &&
		!strings.Contains(claimant, releasedSeparator) &&
		len(claimant) <= maxFieldBytes &&
		len(fingerprint) <= maxFieldBytes
}

// claimFirst decides on a key without a claim.
func (h *Home) claimFirst(holding *holding, slot int64, id claimID, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	switch {
	case holding.forgotten(slot, now):
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_UNKNOWN}
	case !holding.grants(slot, now):
		return &entrypb.ClaimResponse{State: Expired}
	case holding.state == frozen:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	case h.claims >= h.config.MaxClaims, h.perCustomer[id.customer] >= h.config.MaxCustomerClaims:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_FULL}
	}
	c := &claim{}
	holding.add(slot, id, c)
	return h.grant(holding, slot, id, c, req, now)
}

// claimAgain decides on a key that has a claim.
func (h *Home) claimAgain(holding *holding, slot int64, id claimID, c *claim, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	if c.abandoned(now) {
		c.state = abandonedUnknown
		holding.changed(slot, id)
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
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_DONE, Answer: c.answer}
	case c.state != released:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_UNKNOWN}
	case c.wasReleasedBy(req.GetClaimant()):
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_IN_PROGRESS}
	case !holding.grants(slot, now):
		return &entrypb.ClaimResponse{State: Expired}
	case holding.state == frozen:
		return &entrypb.ClaimResponse{State: entrypb.ClaimState_NOT_HOME}
	}
	return h.grant(holding, slot, id, c, req, now)
}

// grant gives the key to the claimant.
func (h *Home) grant(holding *holding, slot int64, id claimID, c *claim, req *entrypb.ClaimRequest, now time.Time) *entrypb.ClaimResponse {
	c.unreleased++
	h.config.Invariants.Check(c.unreleased == 1 && holding.state == serving, OneGrant, req.GetKey())
	c.state = inProgress
	c.claimant = req.GetClaimant()
	c.fingerprint = string(req.GetFingerprint())
	c.deadline = now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond)
	holding.changed(slot, id)
	return &entrypb.ClaimResponse{State: entrypb.ClaimState_CLAIMED}
}

// Complete records the outcome that the claimant reports. It returns the
// incarnation to which the message is to be forwarded, if the claims have been
// handed over, and false if they are not here.
func (h *Home) Complete(req *entrypb.CompleteRequest, now time.Time) (movedTo string, here bool) {
	customer, text, _ := splitScopedKey(req.GetKey())
	key, err := ParseKey(text)
	if err != nil || !validFields(req.GetClaimant(), nil) {
		return "", true
	}
	h.expire(now)
	holding := h.holdings[key.Incarnation]
	switch {
	case holding == nil || holding.state == staged:
		return "", false
	case holding.state == moved:
		return holding.movedTo, false
	}
	id := claimID{customer: customer, unique: key.Unique}
	c := holding.find(key.Slot, id)
	if c == nil {
		h.completeBeforeClaim(holding, key.Slot, id, req, now)
		return "", true
	}
	if c.claimant != req.GetClaimant() {
		c.release(req)
		return "", true
	}
	h.complete(c, req)
	holding.changed(key.Slot, id)
	return "", true
}

// completeBeforeClaim remembers a release whose Claim has not arrived, so that
// the Claim gets nothing when it does.
func (h *Home) completeBeforeClaim(holding *holding, slot int64, id claimID, req *entrypb.CompleteRequest, now time.Time) {
	full := h.claims >= h.config.MaxClaims || h.perCustomer[id.customer] >= h.config.MaxCustomerClaims
	if full || holding.state == frozen || !holding.grants(slot, now) || req.GetResult() != entrypb.CompleteRequest_NOT_RUN {
		return
	}
	c := &claim{state: released, released: []string{req.GetClaimant()}}
	holding.add(slot, id, c)
	holding.changed(slot, id)
}

// complete applies the result of the claim's own claimant. Only a claim that
// is in progress or was abandoned can still change.
func (h *Home) complete(c *claim, req *entrypb.CompleteRequest) {
	if c.state != inProgress && c.state != abandonedUnknown {
		return
	}
	switch req.GetResult() {
	case entrypb.CompleteRequest_NOT_RUN:
		c.unreleased--
		c.state = released
		c.release(req)
		c.claimant = ""
	case entrypb.CompleteRequest_RAN:
		c.state = done
		c.answer = h.keepAnswer(req.GetAnswer())
	default:
		c.state = reportedUnknown
	}
}

// keepAnswer returns the answer, without its body if there is no room for it.
func (h *Home) keepAnswer(answer *entrypb.RecordedAnswer) *entrypb.RecordedAnswer {
	if answer == nil {
		answer = &entrypb.RecordedAnswer{BodyOmitted: true}
	}
	size := answerSize(answer)
	if len(answer.GetBody()) > h.config.MaxAnswerBytes || h.answerBytes+size > h.config.TotalAnswerBytes {
		answer = &entrypb.RecordedAnswer{Status: answer.GetStatus(), BodyOmitted: true}
		size = answerSize(answer)
	}
	h.answerBytes += size
	return answer
}

// expire drops the slots whose claims need not be kept any longer.
func (h *Home) expire(now time.Time) {
	for incarnation, holding := range h.holdings {
		holding.expire(now)
		copying := holding.transfer != nil && holding.state != staged
		if holding != h.own && !copying && holding.over(now) {
			holding.clear()
			delete(h.holdings, incarnation)
		}
	}
}
