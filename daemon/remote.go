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

// requestHeadBytes is the size that is charged to a link for the head of a request.
const requestHeadBytes = 512

// remoteTarget relays requests to a peer, within the grant of that peer and the
// budget of the link to its region.
type remoteTarget struct {
	relay   *relay.Client
	chooser *balancing.Chooser
	name    string
	address string
}

// Send implements dispatch.Target.
func (t *remoteTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Response, error) {
	if !t.chooser.Begin(t.name, time.Now(), request.Route.Service.Deferrable) {
		return nil, errkind.New(errkind.Overloaded, "the owner of the upstreams has granted no more requests")
	}
	sentBytes := requestHeadBytes + max(request.ContentLength, 0)
	response, err := t.relay.Send(ctx, t.address, request, version)
	if err != nil {
		t.chooser.End(t.name, time.Now(), sentBytes, 0)
		return nil, err
	}
	response.Version = version
	response.Body = &relayedBody{body: response.Body, target: t, sentBytes: sentBytes}
	return response, nil
}

// relayedBody counts the bytes of a response body and ends the use of the grant
// when it is closed.
type relayedBody struct {
	body          io.ReadCloser
	target        *remoteTarget
	sentBytes     int64
	receivedBytes int64
	once          sync.Once
}

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.receivedBytes += int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	b.once.Do(func() { b.target.chooser.End(b.target.name, time.Now(), b.sentBytes, b.receivedBytes) })
	return b.body.Close()
}
