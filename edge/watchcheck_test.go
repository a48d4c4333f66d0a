package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/telemetry"
)

// silentStore is a store whose connections have gone silent: the watch that waits and, until the idle
// connections are closed, reads. Only the control goroutine of a test uses it at a time.
type silentStore struct {
	platform.Store
	revision platform.Revision
	// silent is set while reads find a silent connection.
	silent  bool
	watches int
}

func (s *silentStore) CloseIdleConnections() { s.silent = false }

func (s *silentStore) List(ctx context.Context, _ string) ([]platform.Entry, platform.Revision, error) {
	if s.silent {
		<-ctx.Done()
		return nil, 0, platform.ErrUnavailable
	}
	return nil, s.revision, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after platform.Revision, _ time.Duration) ([]platform.Entry, platform.Revision, error) {
	s.watches++
	if s.watches > 1 && after < s.revision {
		return nil, s.revision, nil
	}
	<-ctx.Done()
	return nil, 0, platform.ErrUnavailable
}

// Guards against upstreams that are used for seconds after they have reported that they drain, since
// the connection of the leader's watch went silent just before (DRAIN). The bound on drains is 2 s;
// it binds instances again from 3 s after the connections went silent.
func TestASilentWatchIsRestartedInTime(t *testing.T) {
	for name, silentReads := range map[string]bool{"new connections": false, "idle connections are silent too": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				store := &silentStore{revision: 12, silent: silentReads}
				role := newWatchRoleState()
				role.set(watchRole{reads: true, checks: true, revision: 10, leaderCount: 6})
				var delivered time.Duration
				start := time.Now()
				w := &storeWatcher{store: store, log: zap.NewNop(), role: role, post: func(e event) {
					if read, ok := e.(recordsRead); ok && delivered == 0 {
						assert.Equal(t, read.revision, platform.Revision(12))
						delivered = time.Since(start)
						cancel()
					}
				}}
				check := &watchCheck{store: store, log: zap.NewNop(), metrics: telemetry.New(), role: role, key: "ferry/instances/e1", restart: w.restartWatch}
				go check.run(ctx)
				w.run(ctx)
				assert.Assert(t, delivered > 0 && delivered <= 2500*time.Millisecond, "%s", delivered)
			})
		})
	}
}

// Guards against watches that are restarted, each for a call of the store, while they are only quiet
// or bring a change within the grace.
func TestAWatchThatIsNotBehindIsNotRestarted(t *testing.T) {
	for name, catchUp := range map[string]platform.Revision{"quiet": 12, "late": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				role := newWatchRoleState()
				role.set(watchRole{reads: true, checks: true, revision: catchUp})
				restarts := 0
				check := &watchCheck{store: &silentStore{revision: 12}, log: zap.NewNop(), metrics: telemetry.New(), role: role, restart: func() { restarts++ }}
				time.AfterFunc(watchCheckInterval+watchCheckGrace/2, func() {
					role.set(watchRole{reads: true, checks: true, revision: 12})
				})
				check.run(ctx)
				assert.Equal(t, restarts, 0)
			})
		})
	}
}

// Guards against a restart of the watch that counts as an outage of the store, in which removals of
// upstreams are not confirmed.
func TestARestartedWatchIsNoOutage(t *testing.T) {
	posted := 0
	w := &storeWatcher{store: &silentStore{revision: 12}, log: zap.NewNop(), post: func(event) { posted++ }}
	time.AfterFunc(20*time.Millisecond, func() {
		for w.restart.Load() == nil {
			time.Sleep(time.Millisecond)
		}
		w.restartWatch()
	})
	after, listed := w.watch(t.Context(), 10, 1)
	assert.Assert(t, listed && after == 10)
	assert.Equal(t, posted, 0)
}
