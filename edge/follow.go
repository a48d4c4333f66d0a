package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

const (
	// watchWait is how long one watch waits. Each return costs a call.
	watchWait = 20 * time.Second
	// watchBatch is the pause after a watch that brought changes, so that changes
	// in a row cost one call. It is small beside the bound on drains.
	watchBatch = 100 * time.Millisecond
	// retryPause is the pause after a failed call on the store.
	retryPause = 200 * time.Millisecond
)

// follower reads the records of the store from a goroutine of its own.
type follower struct {
	store platform.Store
	post  func(event)
}

// run reads all records, then their changes, until the context ends.
func (f *follower) run(ctx context.Context) {
	after := platform.Revision(0)
	listed := false
	for ctx.Err() == nil {
		if !listed {
			after, listed = f.list(ctx)
			continue
		}
		after, listed = f.watch(ctx, after)
	}
}

func (f *follower) list(ctx context.Context) (platform.Revision, bool) {
	entries, revision, err := f.store.List(ctx, "")
	if err != nil {
		f.fail(ctx, err)
		return 0, false
	}
	f.post(recordsRead{entries: entries, revision: revision, full: true})
	return revision, true
}

// watch returns where to go on, and false when all records have to be read again.
func (f *follower) watch(ctx context.Context, after platform.Revision) (platform.Revision, bool) {
	entries, revision, err := f.store.Watch(ctx, "", after, watchWait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, false
	}
	if err != nil {
		f.fail(ctx, err)
		return after, true
	}
	f.post(recordsRead{entries: entries, revision: revision})
	if len(entries) > 0 {
		sleep(ctx, watchBatch)
	}
	return revision, true
}

func (f *follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.post(storeFailed{err: err})
	sleep(ctx, retryPause)
}

// sleep returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
