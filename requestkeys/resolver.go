package requestkeys

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Times and counts of the calls to a home.
const (
	// ClaimTimeout limits the time to find the home and claim the key.
	ClaimTimeout = 1500 * time.Millisecond
	// CompleteTimeout limits the time to deliver an outcome.
	CompleteTimeout = 3 * time.Second

	defaultDeadline   = 30 * time.Second
	callTimeout       = 300 * time.Millisecond
	retryDelay        = 20 * time.Millisecond
	callsPerCandidate = 3
	// maxReceiversAsked is how many possible receivers of a home's claims are
	// asked, in the order of receivers, and how many moves of the claims one
	// search follows.
	maxReceiversAsked = 3
	// maxRecordedMoves limits the hand-overs that are recorded.
	maxRecordedMoves = 4096
)

// Resolver claims keys for the requests of one instance. It is safe for
// concurrent use.
type Resolver struct {
	service    *Service
	self       string
	claimCount atomic.Uint64
	// moved maps the incarnation of a home to that of the receiver of its
	// claims. It is protected by mu.
	mu    sync.Mutex
	moved map[string]string
	// pendingReleases counts the releases that are still being sent.
	pendingReleases sync.WaitGroup
}

// NewResolver returns a resolver for the instance of the service.
func NewResolver(service *Service) *Resolver {
	return &Resolver{service: service, self: service.home.config.Incarnation, moved: map[string]string{}}
}

// Request identifies a request whose key is to be claimed.
type Request struct {
	Key         Key
	Customer    string
	Fingerprint []byte
}

// Decision is the result of a claim. Exactly one field is set.
type Decision struct {
	// Grant is the right to dispatch the request once.
	Grant *Grant
	// Recorded is the response of an earlier run. If BodyOmitted is set, its
	// body is missing and the response is incomplete.
	Recorded *entrypb.RecordedAnswer
}

// Claim claims the key until the deadline of ctx. Every error is an
// *errkind.Error; after an error the request has not been dispatched and must
// not be. The caller must call exactly one of the methods of a returned Grant.
func (r *Resolver) Claim(ctx context.Context, req Request) (Decision, error) {
	claim := r.claimRequest(ctx, req)
	claimCtx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	response := r.claimAtHome(claimCtx, req.Key, claim)
	if response == nil {
		r.releaseInBackground(ctx, req, claim.GetClaimant())
		if ctx.Err() != nil {
			return Decision{}, errkind.Wrap(ctx.Err(), errkind.IdempotencyHomeGone, "the deadline passed before the key was claimed")
		}
		return Decision{}, errkind.New(errkind.IdempotencyHomeGone, "")
	}
	switch response.GetState() {
	case entrypb.ClaimState_CLAIMED:
		return Decision{Grant: &Grant{resolver: r, request: req, claimant: claim.GetClaimant()}}, nil
	case entrypb.ClaimState_DONE:
		return Decision{Recorded: response.GetAnswer()}, nil
	default:
		return Decision{}, refusal(response.GetState())
	}
}

func (r *Resolver) claimRequest(ctx context.Context, req Request) *entrypb.ClaimRequest {
	timeLeft := defaultDeadline
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	return &entrypb.ClaimRequest{
		Key:         req.Key.String(),
		Customer:    req.Customer,
		Fingerprint: req.Fingerprint,
		Claimant:    r.self + ":" + strconv.FormatUint(r.claimCount.Add(1), 10),
		DeadlineMs:  uint64(max(timeLeft.Milliseconds(), 0)),
	}
}

// refusal returns the error for a state other than CLAIMED and DONE.
func refusal(state entrypb.ClaimState) *errkind.Error {
	switch state {
	case entrypb.ClaimState_IN_PROGRESS:
		return errkind.New(errkind.IdempotencyInProgress, "")
	case entrypb.ClaimState_UNKNOWN:
		return errkind.New(errkind.OutcomeUnknown, "")
	case entrypb.ClaimState_MISMATCH:
		return errkind.New(errkind.IdempotencyKeyMismatch, "")
	case entrypb.ClaimState_FULL:
		return errkind.New(errkind.IdempotencyFull, "")
	case Expired:
		return errkind.New(errkind.IdempotencyKeyMissing, "the home of the key has expired; take a new one from /v1/entry-instances")
	default:
		return errkind.New(errkind.IdempotencyHomeGone, "")
	}
}

// claimAtHome sends the claim to the candidates until one of them decides, and
// follows hand-overs that they report. It returns nil if none decides.
func (r *Resolver) claimAtHome(ctx context.Context, key Key, claim *entrypb.ClaimRequest) *entrypb.ClaimResponse {
	for hops := 0; hops <= maxReceiversAsked; hops++ {
		redirected := false
		for _, c := range r.candidates(key.Incarnation) {
			response := r.claimAtCandidate(ctx, c, claim)
			if response == nil {
				continue
			}
			if response.GetState() != entrypb.ClaimState_NOT_HOME {
				return response
			}
			if r.recordMove(key.Incarnation, response.GetMovedTo()) {
				redirected = true
				break
			}
		}
		if !redirected {
			return nil
		}
	}
	return nil
}

// claimAtCandidate sends the claim to one candidate, with the same claimant in
// each call. A candidate that is expected to hold the claims is asked again
// while it responds that it does not, because a hand-over may be in progress.
func (r *Resolver) claimAtCandidate(ctx context.Context, c candidate, claim *entrypb.ClaimRequest) *entrypb.ClaimResponse {
	var last *entrypb.ClaimResponse
	for range c.maxCalls() {
		if ctx.Err() != nil {
			return last
		}
		response, err := c.claim(ctx, claim)
		if err == nil {
			last = response
			undecided := response.GetState() == entrypb.ClaimState_NOT_HOME && response.GetMovedTo() == ""
			if !undecided || !c.expected {
				return response
			}
		}
		pause(ctx, retryDelay)
	}
	return last
}

// recordMove records the receiver of a home's claims. It returns false if there
// is no receiver or it was already recorded.
func (r *Resolver) recordMove(home, receiver string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if receiver == "" || r.moved[home] == receiver {
		return false
	}
	if len(r.moved) >= maxRecordedMoves {
		clear(r.moved)
	}
	r.moved[home] = receiver
	return true
}

func (r *Resolver) movedTo(home string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved[home]
}

// releaseInBackground reports to the home, without waiting, that a claimant
// which got no response will not dispatch.
func (r *Resolver) releaseInBackground(ctx context.Context, req Request, claimant string) {
	grant := &Grant{resolver: r, request: req, claimant: claimant}
	r.pendingReleases.Add(1)
	go func() {
		defer r.pendingReleases.Done()
		_ = grant.NotRun(context.WithoutCancel(ctx))
	}()
}

// Wait waits until all outcomes that are sent in the background are delivered
// or abandoned, which takes at most CompleteTimeout.
func (r *Resolver) Wait() { r.pendingReleases.Wait() }

// candidate is an instance that may hold the claims of a home.
type candidate struct {
	service *Service
	// peer is nil for this instance.
	peer *membership.Peer
	// expected is set if the instance should hold the claims, as their home or
	// as the receiver of their hand-over, even if that is still in progress.
	expected bool
}

// candidates returns the instances that may hold the claims of a home, in the
// order in which they are asked.
func (r *Resolver) candidates(incarnation string) []candidate {
	if r.service.Holds(incarnation) && r.movedTo(incarnation) == "" {
		return []candidate{{service: r.service, expected: true}}
	}
	peers := r.service.peers()
	home := peers.ByIncarnation(incarnation)
	var found []candidate
	if receiver := r.movedTo(incarnation); receiver != "" {
		found = r.addCandidate(found, peers, receiver)
	} else {
		found = r.addCandidate(found, peers, incarnation)
	}
	domain, region := peers.Self.FailureDomain, peers.Self.Region
	if home != nil {
		domain, region = home.FailureDomain, home.Region
	}
	for i, p := range receivers(peers, incarnation, domain, region) {
		if i == maxReceiversAsked {
			break
		}
		found = append(found, candidate{service: r.service, peer: p})
	}
	return found
}

// addCandidate appends the instance with the incarnation, if it is known, as
// one that is expected to hold the claims.
func (r *Resolver) addCandidate(found []candidate, peers *membership.Peers, incarnation string) []candidate {
	if incarnation == r.self {
		return append(found, candidate{service: r.service, expected: true})
	}
	if p := peers.ByIncarnation(incarnation); p != nil {
		return append(found, candidate{service: r.service, peer: p, expected: true})
	}
	return found
}

// maxCalls returns how often the candidate is asked: once if it is silent.
func (c candidate) maxCalls() int {
	if c.peer != nil && c.peer.Health == membership.Silent {
		return 1
	}
	return callsPerCandidate
}

// claim sends a Claim to the candidate.
func (c candidate) claim(ctx context.Context, req *entrypb.ClaimRequest) (*entrypb.ClaimResponse, error) {
	if c.peer == nil {
		return c.service.Claim(ctx, req)
	}
	client, err := c.service.clients.Client(c.peer.RPCAddress)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Claim(callCtx, req)
}

// complete sends a Complete to the candidate.
func (c candidate) complete(ctx context.Context, req *entrypb.CompleteRequest) error {
	if c.peer == nil {
		_, err := c.service.Complete(ctx, req)
		return err
	}
	client, err := c.service.clients.Client(c.peer.RPCAddress)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.Complete(callCtx, req)
	return err
}

// lacksClaims reports whether err is the response of a candidate without the
// claims.
func lacksClaims(err error) bool { return status.Code(err) == codes.FailedPrecondition }
