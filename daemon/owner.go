package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/relay"
)

// ownerTarget runs relayed requests on the upstreams that this instance owns,
// within the grant of the instance that relays them.
type ownerTarget struct {
	views  *views
	local  *localTarget
	stalls *stallDetector
}

// Send implements relay.Handler.
func (t *ownerTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Response, error) {
	if !t.stalls.steady(time.Now()) {
		return nil, errkind.New(errkind.Overloaded, "the owner of the upstreams was paused")
	}
	v := t.views.load()
	owned := v.pools.Get(balancing.VersionKey{Service: request.Route.Service.Name, Version: version})
	if owned == nil {
		return nil, errkind.New(errkind.NoUpstream, "this entry instance owns no upstream of the version")
	}
	sender, _ := relay.Sender(ctx)
	if !owned.Grants.Begin(sender, owned.Pool.Load()) {
		return nil, errkind.New(errkind.Overloaded, "the grant of the entry instance that relays is used up")
	}
	response, err := t.local.Send(ctx, request, version)
	if err != nil {
		owned.Grants.End(sender)
		return nil, err
	}
	response.Body = &grantedBody{ReadCloser: response.Body, grants: owned.Grants, sender: sender}
	return response, nil
}

// grantedBody ends the use of a grant when the response body is closed.
type grantedBody struct {
	io.ReadCloser
	grants *balancing.Grants
	sender string
	once   sync.Once
}

// Close implements io.Closer.
func (b *grantedBody) Close() error {
	b.once.Do(func() { b.grants.End(b.sender) })
	return b.ReadCloser.Close()
}
