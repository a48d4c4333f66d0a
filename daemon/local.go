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

// localTarget runs requests on the upstreams that this instance owns.
type localTarget struct {
	views  *views
	client *upstream.Client
}

// Send implements dispatch.Target.
func (t *localTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Response, error) {
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
	slot := &slotUse{lease: lease, attempt: recorder.Begin(request.Route.Name, version, time.Now())}
	response, err := t.client.Send(ctx, lease.Upstream, service, request)
	if err != nil {
		slot.failed(err)
		return nil, err
	}
	slot.attempt.ResponseStarted(time.Now())
	slot.status = response.Status
	response.Version = version
	response.Body = &leasedBody{body: response.Body, slot: slot}
	return response, nil
}

// slotUse is the use of an upstream's slot by one request. It ends once: the first
// call of failed, completed or abandoned reports the result.
type slotUse struct {
	lease   balancing.Lease
	attempt *rollouts.Attempt
	status  int
	once    sync.Once
}

func (u *slotUse) failed(err error) {
	u.once.Do(func() {
		u.lease.Release(upstream.ResultOf(0, err))
		u.attempt.End(time.Now(), rollouts.Classify(0, err))
	})
}

func (u *slotUse) completed() {
	u.once.Do(func() {
		u.lease.Release(upstream.ResultOf(u.status, nil))
		u.attempt.End(time.Now(), rollouts.Classify(u.status, nil))
	})
}

// abandoned ends the use after a response that was not read to its end.
func (u *slotUse) abandoned() {
	u.once.Do(func() {
		u.lease.Release(balancing.ResultCanceled)
		u.attempt.End(time.Now(), rollouts.Ignored)
	})
}

// leasedBody ends the use of a slot when the response has been read or closed.
type leasedBody struct {
	body io.ReadCloser
	slot *slotUse
}

// Read implements io.Reader.
func (b *leasedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.slot.completed()
	} else if err != nil {
		b.slot.failed(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *leasedBody) Close() error {
	err := b.body.Close()
	b.slot.abandoned()
	return err
}
