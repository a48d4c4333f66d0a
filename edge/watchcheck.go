package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/telemetry"
)

// Connections may go silent without a close while new ones work. A watch on such a connection ends
// only after its wait, up to 4 s later, and requests went to upstreams for 2.9 to 3.5 s after they
// had reported that they drain, where 2 s are allowed. The steps of the check together take at
// most 2.5 s: an interval, two reads and the time for the response of the watch.
const (
	watchCheckInterval = time.Second
	// watchCheckTimeout bounds a read of the check. A slow store responds within 0.2 s.
	watchCheckTimeout = 500 * time.Millisecond
	// watchCheckGrace is the time for which a watch may be behind a read: watchBatchPause and the
	// response of a slow store.
	watchCheckGrace = 500 * time.Millisecond
)

// watchCheck finds out whether the watches of this instance have gone silent, by a read on another
// connection. One instance of the fleet checks: what its watch then brings is announced to the others,
// which pull it. So the check costs one call of the store a second, however many instances there are.
type watchCheck struct {
	store   platform.Store
	log     *zap.Logger
	metrics *telemetry.Metrics
	role    *watchRoleState
	// key is a key of which the read returns little: that of this instance's registration.
	key string
	// restart ends the watches that wait.
	restart func()
}

// run checks the watches until the context ends.
func (w *watchCheck) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, watchCheckInterval)
		if w.role.get().checks {
			w.check(ctx)
		}
	}
}

// check reads the revision of the store and restarts the watches if they have not reached it within
// watchCheckGrace.
func (w *watchCheck) check(ctx context.Context) {
	revision, err := w.readRevision(ctx)
	if err != nil {
		// The connection of the read may be silent itself.
		w.store.CloseIdleConnections()
		revision, err = w.readRevision(ctx)
	}
	if err != nil {
		// The watch decides whether the store is available.
		w.log.Debug("check of the watches failed", zap.Error(err))
		return
	}
	if w.role.get().revision >= revision {
		return
	}
	sleep(ctx, watchCheckGrace)
	current := w.role.get()
	if ctx.Err() != nil || !current.checks || current.revision >= revision {
		return
	}
	w.metrics.Counter("ferry_silent_watches_total").Inc()
	w.log.Warn("watch of the store is silent and is restarted",
		zap.Stringer("revision", current.revision), zap.Stringer("store_revision", revision))
	w.store.CloseIdleConnections()
	w.restart()
}

// readRevision returns the revision of the store.
func (w *watchCheck) readRevision(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, watchCheckTimeout)
	defer cancel()
	_, revision, err := w.store.List(ctx, w.key)
	return revision, err
}
