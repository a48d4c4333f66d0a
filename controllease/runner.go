package controllease

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/telemetry"
)

// Runner carries out the actions of a Lease without blocking the control
// goroutine.
type Runner struct {
	lease   *Lease
	store   platform.Store
	name    string
	post    func(Result)
	metrics *telemetry.Metrics
}

// NewRunner returns a runner for the instance with the name, which must differ
// between incarnations. Post is called from other goroutines with the result of
// each action; the control loop must then call Handle. Metrics may be nil.
func NewRunner(lease *Lease, store platform.Store, name string, post func(Result), metrics *telemetry.Metrics) *Runner {
	return &Runner{lease: lease, store: store, name: name, post: post, metrics: metrics}
}

// Tick starts the next action, if there is one.
func (r *Runner) Tick(ctx context.Context, now time.Time) {
	action := r.lease.Tick(now)
	if action == None {
		return
	}
	lease := r.lease.lease
	go func() {
		ctx, cancel := context.WithTimeout(ctx, r.lease.ttl/renewals)
		defer cancel()
		r.post(r.run(ctx, action, lease, now))
	}()
}

// Handle takes in a posted result.
func (r *Runner) Handle(now time.Time, result Result) { r.lease.Handle(now, result) }

// Held says whether this instance does control work now.
func (r *Runner) Held(now time.Time) bool { return r.lease.Held(now) }

func (r *Runner) run(ctx context.Context, action Action, lease platform.LeaseID, startedAt time.Time) Result {
	result := Result{Action: action, StartedAt: startedAt, Lease: lease}
	switch action {
	case Read:
		r.count("get")
		_, result.Err = r.store.Get(ctx, platform.KeyControlLease)
	case Acquire:
		result.Lease, result.Err = r.acquire(ctx, lease)
	case Renew:
		r.count("keep_alive")
		result.Err = r.store.KeepAlive(ctx, lease)
	case Release:
		r.count("revoke_lease")
		result.Err = r.store.RevokeLease(ctx, lease)
	}
	return result
}

// acquire takes the key. A lease that is not 0 is left from an attempt whose
// answer was lost, which may have taken the key.
func (r *Runner) acquire(ctx context.Context, lease platform.LeaseID) (platform.LeaseID, error) {
	lease, err := r.liveLease(ctx, lease)
	if err != nil {
		return lease, err
	}
	value := fmt.Sprintf("%s/%d", r.name, lease)
	r.count("compare_and_swap")
	_, err = r.store.CompareAndSwap(ctx, platform.KeyControlLease, []byte(value), 0, lease)
	if !errors.Is(err, platform.ErrConflict) {
		return lease, err
	}
	r.count("get")
	entry, err := r.store.Get(ctx, platform.KeyControlLease)
	if err != nil {
		return lease, errors.Wrap(platform.ErrUnavailable, "holder of the control lease not known")
	}
	if string(entry.Value) == value {
		return lease, nil
	}
	r.count("revoke_lease")
	if err := r.store.RevokeLease(ctx, lease); err != nil {
		return 0, errors.WithSecondaryError(platform.ErrConflict, err)
	}
	return 0, platform.ErrConflict
}

func (r *Runner) liveLease(ctx context.Context, lease platform.LeaseID) (platform.LeaseID, error) {
	if lease != 0 {
		r.count("keep_alive")
		err := r.store.KeepAlive(ctx, lease)
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return lease, err
		}
	}
	r.count("grant_lease")
	return r.store.GrantLease(ctx, r.lease.ttl)
}

func (r *Runner) count(call string) {
	if r.metrics != nil {
		r.metrics.Counter("ferry_control_lease_calls_total", "call", call).Inc()
	}
}
