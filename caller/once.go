package caller

import (
	"context"

	"samphireferry.example/ferry/requestkeys"
)

// serveAtMostOnce claims the idempotency key and then dispatches the request, or
// replays the recorded response.
func (x *exchange) serveAtMostOnce(ctx context.Context) error {
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
	// A caller that disconnects must not make the outcome unknown.
	detached, cancel := withoutCancel(ctx)
	defer cancel()
	return x.dispatch(detached)
}

// withoutCancel returns a context with the deadline of ctx but not its
// cancellation. ctx must have a deadline.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// fingerprint returns the fingerprint of the request, which does not cover the
// content of its body.
func (x *exchange) fingerprint() []byte {
	request := x.request
	return requestkeys.Fingerprint(request.Route.Name, request.Method, request.Path, request.RawQuery, x.r.Header, request.ContentLength)
}
