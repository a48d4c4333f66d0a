package controllease

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/telemetry"
)

// Runner performs the actions of a Lease without blocking the control goroutine.
type Runner struct {
	lease   *Lease
	store   platform.Store
	name    string
	post    func(Result)
	metrics *telemetry.Metrics
}

// NewRunner returns a runner for the instance with the given name, which must
// differ between incarnations. The runner calls post from other goroutines with
// the result of each action; the control goroutine must then call Handle.
// Metrics may be nil.
func NewRunner(lease *Lease, store platform.Store, name string, post func(Result), metrics *telemetry.Metrics) *Runner {
	return &Runner{lease: lease, store: store, name: name, post: post, metrics: metrics}
}

// Tick starts the next action, if one is due.
func (r *Runner) Tick(ctx context.Context, now time.Time) {
	action := r.lease.Tick(now)
	if action == None {
		return
	}
	lease := r.lease.lease
	go func() {
		ctx, cancel := context.WithTimeout(ctx, r.lease.ttl/renewalsPerTTL)
		defer cancel()
		r.post(r.run(ctx, action, lease, now))
	}()
}

// Handle applies a posted result.
func (r *Runner) Handle(now time.Time, result Result) { r.lease.Handle(now, result) }

// Held reports whether this instance holds the lease and may do control-plane
// work at the given time.
func (r *Runner) Held(now time.Time) bool { return r.lease.Held(now) }

func (r *Runner) run(ctx context.Context, action Action, lease platform.LeaseID, startedAt time.Time) Result {
	result := Result{Action: action, StartedAt: startedAt, Lease: lease}
	switch action {
	case Read:
		r.countCall("get")
		_, result.Err = r.store.Get(ctx, platform.KeyControlLease)
	case Acquire:
		result.Lease, result.Err = r.acquire(ctx, lease)
	case Renew:
		r.countCall("keep_alive")
		result.Err = r.store.KeepAlive(ctx, lease)
	case Release:
		r.countCall("revoke_lease")
		result.Err = r.store.RevokeLease(ctx, lease)
	}
	return result
}

// acquire creates the key with a platform lease and returns that lease. A lease
// that is not 0 is left over from an attempt whose response was lost and which
// may have created the key. It returns platform.ErrConflict if another instance
// is the holder.
func (r *Runner) acquire(ctx context.Context, lease platform.LeaseID) (platform.LeaseID, error) {
	lease, err := r.renewOrGrantLease(ctx, lease)
	if err != nil {
		return lease, err
	}
	value := fmt.Sprintf("%s/%d", r.name, lease)
	r.countCall("compare_and_swap")
	_, err = r.store.CompareAndSwap(ctx, platform.KeyControlLease, []byte(value), 0, lease)
	if !errors.Is(err, platform.ErrConflict) {
		return lease, err
	}
	r.countCall("get")
	entry, err := r.store.Get(ctx, platform.KeyControlLease)
	if err != nil {
		return lease, errors.Wrap(platform.ErrUnavailable, "holder of the control lease is unknown")
	}
	if string(entry.Value) == value {
		return lease, nil
	}
	r.countCall("revoke_lease")
	if err := r.store.RevokeLease(ctx, lease); err != nil {
		return 0, errors.WithSecondaryError(platform.ErrConflict, err)
	}
	return 0, platform.ErrConflict
}

func (r *Runner) renewOrGrantLease(ctx context.Context, lease platform.LeaseID) (platform.LeaseID, error) {
	if lease != 0 {
		r.countCall("keep_alive")
		err := r.store.KeepAlive(ctx, lease)
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return lease, err
		}
	}
	r.countCall("grant_lease")
	return r.store.GrantLease(ctx, r.lease.ttl)
}

func (r *Runner) countCall(call string) {
	if r.metrics != nil {
		r.metrics.Counter("ferry_control_lease_calls_total", "call", call).Inc()
	}
}
