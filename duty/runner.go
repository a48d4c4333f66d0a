package duty

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

// lateCallFactor is the factor on the longest recent call for which a new holder waits where the
// API does not check tokens: a slow API may be getting slower.
const lateCallFactor = 2

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Store platform.Store
	// Holder describes this instance. Its Incarnation must differ between processes.
	Holder records.DutyHolder
	// HolderKey is the key that names the holder, ReportKey that of the record of what holders
	// did. Prefix is that of both.
	Prefix, HolderKey, ReportKey string
	TTL                          time.Duration
	// LateCalls is how long a new holder waits at least because a call of the last one may be
	// executed late; 0 where the API checks tokens.
	LateCalls time.Duration
	// Clock returns the time by a clock that counts suspension.
	Clock func() time.Duration
	// Post passes a result to the control goroutine, which must then call Duty.Handle.
	Post func(Result)
	// Count counts a call of the store.
	Count func(call string)
}

// Runner makes the calls of a Duty without blocking the control goroutine.
type Runner struct {
	options RunnerOptions
}

// NewRunner returns a runner.
func NewRunner(options RunnerOptions) *Runner { return &Runner{options: options} }

// Start makes the calls of the action in the background. lease is that of the Duty.
func (r *Runner) Start(ctx context.Context, action Action, lease platform.LeaseID) {
	startedAt := r.options.Clock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, r.options.TTL)
		defer cancel()
		result := Result{Action: action, StartedAt: startedAt, Lease: lease}
		switch action {
		case Acquire:
			r.acquire(ctx, &result)
		case Renew:
			r.options.Count("keep_alive")
			result.Err = r.options.Store.KeepAlive(ctx, lease)
		case Release:
			r.options.Count("revoke_lease")
			result.Err = r.options.Store.RevokeLease(ctx, lease)
		}
		r.options.Post(result)
	}()
}

// acquire writes the key under a new lease and confirms its revision by a read.
func (r *Runner) acquire(ctx context.Context, result *Result) {
	holder, _, revision, err := r.read(ctx)
	if err != nil {
		result.Err = err
		return
	}
	if Held(holder) {
		result.Err = platform.ErrConflict
		return
	}
	own := r.options.Holder
	own.Era = revision.Era()
	value, err := own.Encode()
	if err != nil {
		result.Err = err
		return
	}
	result.StartedAt = r.options.Clock()
	r.options.Count("grant_lease")
	result.Lease, result.Err = r.options.Store.GrantLease(ctx, r.options.TTL)
	if result.Err != nil {
		return
	}
	r.options.Count("compare_and_swap")
	written, err := r.options.Store.CompareAndSwap(ctx, r.options.HolderKey, value, holder.Revision, result.Lease)
	if err != nil {
		result.Err = err
		return
	}
	// The write may have been made before a restore that its response states.
	confirmed, report, _, err := r.read(ctx)
	if err != nil {
		result.Err = err
		return
	}
	if confirmed.Revision != written || written.Era() != own.Era || string(confirmed.Value) != string(value) {
		result.Err = errors.Wrap(platform.ErrUnavailable, "the record of the holder was replaced")
		return
	}
	result.Token, result.Report = written, report
	result.Wait = r.wait(written, holder, report)
}

// Held reports whether the entry names a holder that may renew its lease. Leases of an earlier
// era cannot be renewed.
func Held(entry platform.Entry) bool {
	if entry.Revision == 0 || entry.Deleted {
		return false
	}
	holder, err := records.DecodeDutyHolder(entry)
	return err == nil && holder.Era == entry.Revision.Era()
}

// wait returns how long the new holder has to wait before it acts.
func (r *Runner) wait(token platform.Revision, replaced, report platform.Entry) time.Duration {
	last, err := records.DecodeUsageReports(report)
	lateCalls := r.options.LateCalls
	if lateCalls > 0 {
		lateCalls = max(lateCalls, time.Duration(last.CallMillis)*lateCallFactor*time.Millisecond)
	}
	switch {
	case replaced.Revision != 0, err != nil, report.Revision == 0 && token.Era() > 0, report.Revision != 0 && platform.Revision(last.Token).Era() != token.Era():
		// The store was restored: the last holder may act until a TTL after its last renewal.
		return r.options.TTL + lateCalls
	case last.Previous == r.options.Holder.Name && last.Holder != r.options.Holder.Name:
		return max(r.options.TTL, lateCalls)
	case last.Token != 0:
		return lateCalls
	}
	return 0
}

// read returns the entries of the holder and of the record of what holders did, with revision
// 0 where there is none, and the revision of the store.
func (r *Runner) read(ctx context.Context) (holder, report platform.Entry, revision platform.Revision, err error) {
	r.options.Count("list")
	entries, revision, err := r.options.Store.List(ctx, r.options.Prefix)
	if err != nil {
		return holder, report, 0, err
	}
	report.Value = []byte("{}")
	for _, entry := range entries {
		switch entry.Key {
		case r.options.HolderKey:
			holder = entry
		case r.options.ReportKey:
			report = entry
		}
	}
	return holder, report, revision, nil
}
