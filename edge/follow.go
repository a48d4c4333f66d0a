package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
)

const (
	// watchPerInstance is the wait of a watch for each entry instance. A watch
	// that has lost its history does not say so before its wait is over; with this
	// wait one instance of the fleet finds out within about a second, and tells the
	// others.
	watchPerInstance = 400 * time.Millisecond
	// watchSpread is the part of the wait by which watches differ at random.
	watchSpread = 0.75
	// watchBatch is the pause after a watch that brought changes, so that changes
	// in a row cost one call. It is small beside the bound on drains.
	watchBatch = 250 * time.Millisecond
	// retryPause is the pause after a failed call on the store.
	retryPause = 200 * time.Millisecond
)

// follower reads the records of the store from a goroutine of its own.
type follower struct {
	store platform.Store
	log   *zap.Logger
	// instances returns the number of entry instances.
	instances func() int
	post      func(event)
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
	entries, revision, err := f.store.Watch(ctx, "", after, f.wait())
	f.log.Debug("watch returned",
		zap.Int64("after", int64(after)),
		zap.Int64("revision", int64(revision)),
		zap.Int("changes", len(entries)),
		zap.Error(err),
	)
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

// wait returns how long the next watch waits.
func (f *follower) wait() time.Duration {
	base := float64(f.instances()) * float64(watchPerInstance)
	wait := time.Duration(base * (1 + watchSpread*(2*rand.Float64()-1)))
	return min(wait, platform.MaxWatchWait)
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
