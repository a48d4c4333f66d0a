package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rollouts"
	"samphireferry.example/ferry/upstream"
)

// localTarget sends requests to the upstreams that this instance owns.
type localTarget struct {
	views  *views
	client *upstream.Client
}

// Send implements dispatch.Target.
func (t *localTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Answer, error) {
	v := t.views.load()
	service := request.Route.Service
	owned := v.pools.Get(balancing.VersionKey{Service: service.Name, Version: version})
	if owned == nil {
		return nil, errkind.New(errkind.NoUpstream, "this entry instance owns no upstream of the version")
	}
	lease, err := owned.Pool.Acquire(ctx, balancing.Ticket{
		Customer:   request.Customer.Name,
		Weight:     request.Customer.Weight,
		Deferrable: service.Deferrable,
	})
	if err != nil {
		return nil, err
	}
	recorder := v.recorders.Service(service.Name)
	u := &use{lease: lease, attempt: recorder.Begin(request.Route.Name, version, time.Now())}
	answer, err := t.client.Send(ctx, lease.Upstream, service, request)
	if err != nil {
		u.failed(err)
		return nil, err
	}
	u.attempt.Head(time.Now())
	u.status = answer.Status
	answer.Version = version
	answer.Body = &leasedBody{body: answer.Body, use: u}
	return answer, nil
}

// use is one use of a slot. It ends once, with what the request showed.
type use struct {
	lease   balancing.Lease
	attempt *rollouts.Attempt
	status  int
	once    sync.Once
}

func (u *use) failed(err error) {
	u.once.Do(func() {
		u.lease.Release(upstream.ResultOf(0, err))
		u.attempt.End(time.Now(), rollouts.Classify(0, err))
	})
}

func (u *use) answered() {
	u.once.Do(func() {
		u.lease.Release(upstream.ResultOf(u.status, nil))
		u.attempt.End(time.Now(), rollouts.Classify(u.status, nil))
	})
}

// abandoned ends the use of an answer that was not read to its end.
func (u *use) abandoned() {
	u.once.Do(func() {
		u.lease.Release(balancing.ResultCanceled)
		u.attempt.End(time.Now(), rollouts.Ignored)
	})
}

// leasedBody ends the use of a slot when the answer has been read or closed.
type leasedBody struct {
	body io.ReadCloser
	use  *use
}

// Read implements io.Reader.
func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.use.answered()
	} else if err != nil {
		b.use.failed(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *leasedBody) Close() error {
	err := b.body.Close()
	b.use.abandoned()
	return err
}
