package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
)

const (
	// watchWaitPerLeader is how long a watch waits for changes, per leader. When the
	// store no longer has the changes after the watch's revision, the watch reports it
	// only at the end of its wait; with this wait one of the leaders detects it within
	// about a second and notifies its peers.
	watchWaitPerLeader = 400 * time.Millisecond
	// watchJitter is the fraction of the wait by which watches vary at random.
	watchJitter = 0.75
	// watchBatchPause is the pause of the watch of all records after changes. It is small
	// compared to the bound on drains. The watch of the operator's records has none.
	watchBatchPause = 250 * time.Millisecond
	// retryPause is the pause after a failed store call.
	retryPause = 200 * time.Millisecond
)

// watchRoleState passes the current role from the control goroutine to the store
// watcher.
type watchRoleState struct {
	mu   sync.Mutex
	role watchRole
	// gained is signalled whenever a role is set in which this instance reads the store.
	gained chan struct{}
}

// watchRole determines whether the store watcher reads the store, and from which
// revision.
type watchRole struct {
	// reads reports whether this instance reads the store.
	reads bool
	// revision is the newest revision up to which all records are known.
	revision platform.Revision
	// leaderCount is the number of instances that read the store, one for each failure
	// domain that has a leader.
	leaderCount int
	// checks reports whether this instance checks that its watches are not silent.
	checks bool
}

func newWatchRoleState() *watchRoleState { return &watchRoleState{gained: make(chan struct{}, 1)} }

func (s *watchRoleState) set(next watchRole) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = next
	if !next.reads {
		return
	}
	select {
	case s.gained <- struct{}{}:
	default:
	}
}

// get returns the current role.
func (s *watchRoleState) get() watchRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// await returns the role once this instance reads the store or the context ends.
func (s *watchRoleState) await(ctx context.Context) watchRole {
	for {
		current := s.get()
		if current.reads {
			return current
		}
		select {
		case <-s.gained:
		case <-ctx.Done():
			return current
		}
	}
}

// storeWatcher follows the records of the store with a key prefix in its own goroutine
// while this instance leads its failure domain.
type storeWatcher struct {
	store platform.Store
	log   *zap.Logger
	role  *watchRoleState
	post  func(event)
	// prefix is that of the keys; empty for all records.
	prefix string
	// listFirst is set when all records are read once at the start, whoever leads; firstRead then
	// receives them.
	listFirst bool
	firstRead chan<- []platform.Entry
	// batchPause is the pause after a watch that returned changes, so that a series of
	// changes costs one call.
	batchPause time.Duration
	// timeout returns how long the response of a watch may take after its wait. nil leaves it to
	// the store's client.
	timeout func() time.Duration
	// restart ends the watch that waits, if any; the next one uses another connection.
	restart atomic.Pointer[context.CancelFunc]
}

// restartWatch ends the watch that waits.
func (w *storeWatcher) restartWatch() {
	if restart := w.restart.Load(); restart != nil {
		(*restart)()
	}
}

// run reads the store until the context ends.
func (w *storeWatcher) run(ctx context.Context) {
	after := platform.Revision(0)
	listed := !w.listFirst
	for ctx.Err() == nil {
		if !listed {
			after, listed = w.list(ctx)
			continue
		}
		current := w.role.await(ctx)
		if ctx.Err() == nil {
			after, listed = w.watch(ctx, max(after, current.revision), current.leaderCount)
		}
	}
}

// list reads all records. It returns their revision, and false when the call failed.
func (w *storeWatcher) list(ctx context.Context) (platform.Revision, bool) {
	entries, revision, err := w.store.List(ctx, w.prefix)
	if err != nil {
		w.reportFailure(ctx, err)
		return 0, false
	}
	w.post(recordsRead{entries: entries, revision: revision, full: true, prefix: w.prefix, readAt: time.Now()})
	if w.firstRead != nil {
		w.firstRead <- entries
		w.firstRead = nil
	}
	return revision, true
}

// watch waits for changes after the revision. It returns the revision from which to
// continue, and false when all records have to be listed again.
func (w *storeWatcher) watch(ctx context.Context, after platform.Revision, leaderCount int) (platform.Revision, bool) {
	wait := watchWait(leaderCount)
	restartContext, restart := context.WithCancel(ctx)
	w.restart.Store(&restart)
	watchContext, cancel := w.withTimeout(restartContext, wait)
	entries, revision, err := w.store.Watch(watchContext, w.prefix, after, wait)
	cancel()
	restarted := restartContext.Err() != nil
	restart()
	w.log.Debug("watch returned",
		zap.Stringer("after", after),
		zap.Stringer("revision", revision),
		zap.Int("changes", len(entries)),
		zap.Error(err),
	)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, false
	}
	if err != nil && restarted {
		return after, true
	}
	if err != nil {
		w.reportFailure(ctx, err)
		return after, true
	}
	w.post(recordsRead{entries: entries, revision: revision, prefix: w.prefix, readAt: time.Now()})
	if len(entries) > 0 {
		sleep(ctx, w.batchPause)
	}
	return revision, true
}

// withTimeout returns the context of a watch with the wait.
func (w *storeWatcher) withTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if w.timeout == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait+w.timeout())
}

// watchWait returns how long the next watch waits for changes, with random jitter.
func watchWait(leaderCount int) time.Duration {
	base := float64(max(leaderCount, 1)) * float64(watchWaitPerLeader)
	wait := time.Duration(base * (1 + watchJitter*(2*rand.Float64()-1)))
	return min(wait, platform.MaxWatchWait)
}

// reportFailure posts the failed store call and pauses, unless the context has ended. A failure
// of the watch of the operator's records, which is quiet most of the time and may be cut for
// that, is no sign that the store is unavailable: the watch of all records decides that.
func (w *storeWatcher) reportFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.prefix == "" {
		w.post(storeFailed{err: err})
	} else {
		w.log.Debug("watch failed", zap.String("prefix", w.prefix), zap.Error(err))
	}
	sleep(ctx, retryPause)
}

// sleep pauses for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
