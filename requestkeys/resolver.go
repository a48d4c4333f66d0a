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
	// ClaimTimeout bounds the search for the home and the claim.
	ClaimTimeout = 1500 * time.Millisecond
	// CompleteTimeout bounds the delivery of an outcome.
	CompleteTimeout = 3 * time.Second

	defaultDeadline = 30 * time.Second
	callTimeout     = 300 * time.Millisecond
	retryDelay      = 20 * time.Millisecond
	callsPerSite    = 3
	// maxReceivers is how many peers of a home that is gone are asked whether
	// they have its claims.
	maxReceivers = 3
	// maxMoved bounds the hand-overs that are remembered.
	maxMoved = 4096
)

// Resolver claims keys for the requests of one instance. It is safe for
// concurrent use.
type Resolver struct {
	service  *Service
	self     string
	attempts atomic.Uint64
	// moved maps the incarnation of a home to that of the receiver of its
	// claims.
	mu    sync.Mutex
	moved map[string]string
	// releases counts the releases that are still being sent.
	releases sync.WaitGroup
}

// NewResolver returns a resolver beside the home of the same instance.
func NewResolver(service *Service) *Resolver {
	return &Resolver{service: service, self: service.home.config.Incarnation, moved: map[string]string{}}
}

// Request is a claim of one request.
type Request struct {
	Key         Key
	Customer    string
	Fingerprint []byte
}

// Decision is the result of a claim. Exactly one field is set.
type Decision struct {
	// Grant is the right to dispatch the request once.
	Grant *Grant
	// Recorded is the answer of the run that there was already. Its body is
	// missing if BodyOmitted is set; it is then not the whole answer.
	Recorded *entrypb.RecordedAnswer
}

// Claim claims the key until the deadline of ctx. Every error is an
// *errkind.Error, and this request has then not been dispatched and must not
// be. The receiver of a Grant must call one of its methods.
func (r *Resolver) Claim(ctx context.Context, req Request) (Decision, error) {
	claim := r.claimRequest(ctx, req)
	claimCtx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	answer := r.ask(claimCtx, req.Key, claim)
	if answer == nil {
		r.release(ctx, req, claim.GetClaimant())
		if ctx.Err() != nil {
			return Decision{}, errkind.Wrap(ctx.Err(), errkind.IdempotencyHomeGone, "the deadline passed before the key was claimed")
		}
		return Decision{}, errkind.New(errkind.IdempotencyHomeGone, "")
	}
	switch answer.GetState() {
	case entrypb.ClaimState_CLAIMED:
		return Decision{Grant: &Grant{resolver: r, request: req, claimant: claim.GetClaimant()}}, nil
	case entrypb.ClaimState_DONE:
		return Decision{Recorded: answer.GetAnswer()}, nil
	default:
		return Decision{}, refusal(answer.GetState())
	}
}

func (r *Resolver) claimRequest(ctx context.Context, req Request) *entrypb.ClaimRequest {
	left := defaultDeadline
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return &entrypb.ClaimRequest{
		Key:         req.Key.String(),
		Customer:    req.Customer,
		Fingerprint: req.Fingerprint,
		Claimant:    r.self + ":" + strconv.FormatUint(r.attempts.Add(1), 10),
		DeadlineMs:  uint64(max(left.Milliseconds(), 0)),
	}
}

// refusal returns the error of a state that neither grants nor answers.
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

// ask asks the sites at which the home may be until one decides. It returns
// nil if none does.
func (r *Resolver) ask(ctx context.Context, key Key, claim *entrypb.ClaimRequest) *entrypb.ClaimResponse {
	for hops := 0; hops <= maxReceivers; hops++ {
		learnt := false
		for _, s := range r.sites(key.Incarnation) {
			answer := r.askSite(ctx, s, claim)
			if answer == nil {
				continue
			}
			if answer.GetState() != entrypb.ClaimState_NOT_HOME {
				return answer
			}
			if r.learnMoved(key.Incarnation, answer.GetMovedTo()) {
				learnt = true
				break
			}
		}
		if !learnt {
			return nil
		}
	}
	return nil
}

// askSite asks one site, with the same claimant at each try. A site that is
// expected to hold the claims is asked again while it says that it does not,
// because a hand-over may be under way.
func (r *Resolver) askSite(ctx context.Context, s site, claim *entrypb.ClaimRequest) *entrypb.ClaimResponse {
	var last *entrypb.ClaimResponse
	for range s.tries() {
		if ctx.Err() != nil {
			return last
		}
		answer, err := s.claim(ctx, claim)
		if err == nil {
			last = answer
			undecided := answer.GetState() == entrypb.ClaimState_NOT_HOME && answer.GetMovedTo() == ""
			if !undecided || !s.expected {
				return answer
			}
		}
		pause(ctx, retryDelay)
	}
	return last
}

// learnMoved notes where the claims of a home have gone. It returns false if
// this was known.
func (r *Resolver) learnMoved(home, receiver string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if receiver == "" || r.moved[home] == receiver {
		return false
	}
	if len(r.moved) >= maxMoved {
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

// release tells the home, without waiting, that a claimant that got no answer
// will not dispatch.
func (r *Resolver) release(ctx context.Context, req Request, claimant string) {
	grant := &Grant{resolver: r, request: req, claimant: claimant}
	r.releases.Add(1)
	go func() {
		defer r.releases.Done()
		_ = grant.NotRun(context.WithoutCancel(ctx))
	}()
}

// Wait waits until all outcomes that are sent in the background are delivered
// or given up, which takes CompleteTimeout at most.
func (r *Resolver) Wait() { r.releases.Wait() }

// site is one place at which a home may be.
type site struct {
	service *Service
	// peer is nil for this instance.
	peer *membership.Peer
	// expected says that the claims are known to be there, or on their way.
	expected bool
}

// sites returns where the claims of a home may be, in the order to ask.
func (r *Resolver) sites(incarnation string) []site {
	if r.service.Holds(incarnation) && r.movedTo(incarnation) == "" {
		return []site{{service: r.service, expected: true}}
	}
	peers := r.service.peers()
	home := peers.ByIncarnation(incarnation)
	var sites []site
	if receiver := r.movedTo(incarnation); receiver != "" {
		sites = r.addSite(sites, peers, receiver)
	} else {
		sites = r.addSite(sites, peers, incarnation)
	}
	domain, region := peers.Self.FailureDomain, peers.Self.Region
	if home != nil {
		domain, region = home.FailureDomain, home.Region
	}
	for i, p := range receivers(peers, incarnation, domain, region) {
		if i == maxReceivers {
			break
		}
		sites = append(sites, site{service: r.service, peer: p})
	}
	return sites
}

// addSite adds the instance with the incarnation, if it is known.
func (r *Resolver) addSite(sites []site, peers *membership.Peers, incarnation string) []site {
	if incarnation == r.self {
		return append(sites, site{service: r.service, expected: true})
	}
	if p := peers.ByIncarnation(incarnation); p != nil {
		return append(sites, site{service: r.service, peer: p, expected: true})
	}
	return sites
}

// tries returns how often the site is asked; one that is silent is asked once.
func (s site) tries() int {
	if s.peer != nil && s.peer.Health == membership.Silent {
		return 1
	}
	return callsPerSite
}

func (s site) claim(ctx context.Context, req *entrypb.ClaimRequest) (*entrypb.ClaimResponse, error) {
	if s.peer == nil {
		return s.service.Claim(ctx, req)
	}
	client, err := s.service.clients.Client(s.peer.RPCAddress)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.Claim(callCtx, req)
}

func (s site) complete(ctx context.Context, req *entrypb.CompleteRequest) error {
	if s.peer == nil {
		_, err := s.service.Complete(ctx, req)
		return err
	}
	client, err := s.service.clients.Client(s.peer.RPCAddress)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.Complete(callCtx, req)
	return err
}

// notHere says whether the site has answered that it lacks the claims.
func notHere(err error) bool { return status.Code(err) == codes.FailedPrecondition }
