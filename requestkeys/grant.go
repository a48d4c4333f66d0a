package requestkeys

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// ErrOutcomeUndelivered reports that no home confirmed the outcome in time. The
// home then treats the outcome as unknown after the claimant's deadline, unless
// the message was received.
var ErrOutcomeUndelivered = errors.New("the home of the idempotency key did not confirm the outcome")

// InvariantOneOutcome is the invariant that a grant is completed once.
const InvariantOneOutcome invariant.Name = "request_key_one_outcome"

// Grant is the right to dispatch one request once. Exactly one of its methods
// must be called; each waits until the home has confirmed the outcome, for at
// most CompleteTimeout, even if ctx is cancelled, and then returns
// ErrOutcomeUndelivered.
type Grant struct {
	resolver  *Resolver
	request   Request
	claimant  string
	completed atomic.Bool
}

// NotRun releases the key. It may be called only when no upstream has received
// any byte of the request and none will.
func (g *Grant) NotRun(ctx context.Context) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_NOT_RUN})
}

// Ran records the response, which repeats of the request get.
func (g *Grant) Ran(ctx context.Context, response *entrypb.RecordedAnswer) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_RAN, Answer: response})
}

// Unknown records that the request may have run.
func (g *Grant) Unknown(ctx context.Context) error {
	return g.complete(ctx, &entrypb.CompleteRequest{Result: entrypb.CompleteRequest_OUTCOME_UNKNOWN})
}

func (g *Grant) complete(ctx context.Context, req *entrypb.CompleteRequest) error {
	r := g.resolver
	first := !g.completed.Swap(true)
	if !r.service.home.config.Invariants.Check(first, InvariantOneOutcome, g.claimant) {
		return nil
	}
	req.Key = scopedKey(g.request.Customer, g.request.Key.String())
	req.Claimant = g.claimant
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CompleteTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, c := range r.candidates(g.request.Key.Incarnation) {
			if deliverOutcome(ctx, c, req) {
				return nil
			}
		}
		pause(ctx, retryDelay)
	}
	return ErrOutcomeUndelivered
}

// deliverOutcome sends the outcome to one candidate until it responds or all
// calls have failed. It reports whether the candidate accepted the outcome. A
// candidate that lacks the claims is not called again.
func deliverOutcome(ctx context.Context, c candidate, req *entrypb.CompleteRequest) bool {
	for range c.maxCalls() {
		if ctx.Err() != nil {
			return false
		}
		err := c.complete(ctx, req)
		if err == nil {
			return true
		}
		if lacksClaims(err) {
			return false
		}
		pause(ctx, retryDelay)
	}
	return false
}
