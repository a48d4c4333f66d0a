package caller

import (
	"context"

	"samphireferry.example/ferry/requestkeys"
)

// serveOnce claims the idempotency key before it dispatches.
func (x *exchange) serveOnce(ctx context.Context) error {
	key, err := requestkeys.FromHeader(x.r.Header)
	if err != nil {
		return err
	}
	claim, recorded, err := x.server.services.Claims.Claim(ctx, x.request.Customer, key, x.fingerprint())
	if err != nil {
		return err
	}
	if recorded != nil {
		return x.replay(recorded)
	}
	x.claim = claim
	// A caller that goes away must not leave the outcome unknown.
	detached, cancel := withoutCancel(ctx)
	defer cancel()
	return x.dispatch(detached)
}

// withoutCancel keeps the deadline of the context but not its cancellation.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// fingerprint identifies the request as far as it is known before its body.
func (x *exchange) fingerprint() []byte {
	q := x.request
	return requestkeys.Fingerprint(q.Route.Name, q.Method, q.Path, q.RawQuery, x.r.Header, q.ContentLength)
}
