package daemon

import (
	"context"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

// claims implements caller.Claimer.
type claims struct {
	resolver *requestkeys.Resolver
	log      *zap.Logger
	// deliveries tracks the outcomes that are being delivered to a home.
	deliveries sync.WaitGroup
}

// Claim implements caller.Claimer.
func (c *claims) Claim(ctx context.Context, customer *routing.Customer, key requestkeys.Key, fingerprint []byte) (caller.Claim, *caller.RecordedResponse, error) {
	decision, err := c.resolver.Claim(ctx, requestkeys.Request{
		Key:         key,
		Customer:    customer.Name,
		Fingerprint: fingerprint,
	})
	if err != nil {
		return nil, nil, err
	}
	if decision.Grant == nil {
		return nil, recordedResponse(decision.Recorded), nil
	}
	return &claim{claims: c, grant: decision.Grant}, nil, nil
}

// wait blocks until all outcomes have been delivered or abandoned.
func (c *claims) wait() {
	c.deliveries.Wait()
	c.resolver.Wait()
}

// claim implements caller.Claim. Outcomes are delivered in the background, so
// that the response to the caller does not wait for the home.
type claim struct {
	claims *claims
	grant  *requestkeys.Grant
}

// NotRun implements caller.Claim.
func (c *claim) NotRun() { c.deliverOutcome(c.grant.NotRun) }

// Unknown implements caller.Claim.
func (c *claim) Unknown() { c.deliverOutcome(c.grant.Unknown) }

// Ran implements caller.Claim.
func (c *claim) Ran(recorded *caller.RecordedResponse) {
	answer := &entrypb.RecordedAnswer{
		Status:      uint32(recorded.Status),
		Body:        recorded.Body,
		BodyOmitted: recorded.BodyOmitted,
	}
	for name, values := range recorded.Header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &entrypb.Header{Name: name, Value: value})
		}
	}
	c.deliverOutcome(func(ctx context.Context) error { return c.grant.Ran(ctx, answer) })
}

func (c *claim) deliverOutcome(deliver func(ctx context.Context) error) {
	c.claims.deliveries.Go(func() {
		err := deliver(context.Background())
		if err != nil {
			c.claims.log.Warn("outcome of a request was not recorded", errorField(err))
		}
	})
}

func recordedResponse(answer *entrypb.RecordedAnswer) *caller.RecordedResponse {
	recorded := &caller.RecordedResponse{
		Status:      int(answer.GetStatus()),
		Header:      http.Header{},
		Body:        answer.GetBody(),
		BodyOmitted: answer.GetBodyOmitted(),
	}
	for _, h := range answer.GetHeaders() {
		recorded.Header.Add(h.GetName(), h.GetValue())
	}
	return recorded
}
