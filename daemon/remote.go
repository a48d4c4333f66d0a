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

// headBytes is the size that is charged to a link for the head of a request.
const headBytes = 512

// remoteTarget sends requests to another entry instance, within its grant and
// the budget of the link.
type remoteTarget struct {
	relay   *relay.Client
	chooser *balancing.Chooser
	name    string
	address string
}

// Send implements dispatch.Target.
func (t *remoteTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Answer, error) {
	if !t.chooser.Begin(t.name, time.Now(), request.Route.Service.Deferrable) {
		return nil, errkind.New(errkind.Overloaded, "the owner of the upstreams has granted no more requests")
	}
	sent := headBytes + max(request.ContentLength, 0)
	answer, err := t.relay.Send(ctx, t.address, request, version)
	if err != nil {
		t.chooser.End(t.name, time.Now(), sent, 0)
		return nil, err
	}
	answer.Version = version
	answer.Body = &relayedBody{body: answer.Body, target: t, sent: sent}
	return answer, nil
}

// relayedBody counts the bytes of an answer and ends the use of the grant.
type relayedBody struct {
	body     io.ReadCloser
	target   *remoteTarget
	sent     int64
	received int64
	once     sync.Once
}

// Read implements io.Reader.
func (b *relayedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.received += int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *relayedBody) Close() error {
	b.once.Do(func() { b.target.chooser.End(b.target.name, time.Now(), b.sent, b.received) })
	return b.body.Close()
}
