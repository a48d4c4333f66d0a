package requestkeys

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// ErrUndelivered says that the home did not take the outcome. It then treats
// the claim as one whose outcome is not known.
var ErrUndelivered = errors.New("the home of the idempotency key did not take the outcome")

// OneOutcome is the invariant that a grant is completed once.
const OneOutcome invariant.Name = "request_key_one_outcome"

// Grant is the right to dispatch one request once. Exactly one of its methods
// must be called; each waits until the home has the outcome, CompleteTimeout at
// most, also when ctx is cancelled.
type Grant struct {
	resolver  *Resolver
	request   Request
	claimant  string
	completed atomic.Bool
}

// NotRun releases the key. It may be called only when no upstream has received
// any byte of the request, and none will.
func (g *Grant) NotRun(ctx context.Context) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_NOT_RUN})
}

// Ran records the answer for repeats of the request.
func (g *Grant) Ran(ctx context.Context, answer *entrypb.RecordedAnswer) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_RAN, Answer: answer})
}

// Unknown records that the request may have run.
func (g *Grant) Unknown(ctx context.Context) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_OUTCOME_UNKNOWN})
}

func (g *Grant) complete(ctx context.Context, req *entrypb.CompleteRequest) error {
	r := g.resolver
	first := !g.completed.Swap(true)
	if !r.service.home.config.Invariants.Check(first, OneOutcome, g.claimant) {
		return nil
	}
	req.Key = scopedKey(g.request.Customer, g.request.Key.String())
	req.Claimant = g.claimant
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CompleteTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, s := range r.sites(g.request.Key.Incarnation) {
			if deliver(ctx, s, req) {
				return nil
			}
		}
		pause(ctx, retryDelay)
	}
	return ErrUndelivered
}

// deliver sends the outcome to one site until it is answered. A site that
// lacks the claims is not asked again.
func deliver(ctx context.Context, s site, req *entrypb.CompleteRequest) bool {
	for range s.tries() {
		if ctx.Err() != nil {
			return false
		}
		err := s.complete(ctx, req)
		if err == nil {
			return true
		}
		if notHere(err) {
			return false
		}
		pause(ctx, retryDelay)
	}
	return false
}
