package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

const (
	// controlTick is the interval of the control goroutine's periodic work.
	controlTick = 100 * time.Millisecond
	// storeFailureExpiry is how long an instance that does not read the store considers
	// it unavailable after a failed call: the time of three calls that end by
	// storeTimeout.
	storeFailureExpiry = 5 * time.Second
	// maxChangeAge is the greatest age of a change when a peer reports it: a change
	// that is reported longer than this after the store was lost here was made after
	// the loss.
	maxChangeAge = 1500 * time.Millisecond
	// restoreGrace is the time after a restore of the store within which the operator and
	// the upstreams write again what the copy lacks.
	restoreGrace = registry.DefaultReturnGrace
	// maxCopyAge is the age of a copy from which the store may be restored: an evacuation
	// that ended within it may be in the copy again.
	maxCopyAge = time.Minute
	// eventQueueSize is the number of events that can be queued.
	eventQueueSize = 1024
)

// event is a message to the control goroutine.
type event interface {
	// apply changes the control state. It must not block.
	apply(c *control, now time.Time)
}

// control is the control state. Only the control goroutine accesses it.
type control struct {
	deps   *dependencies
	ctx    context.Context
	events chan event

	// records holds the latest entries of the store by key, deleted ones included.
	records  map[string]platform.Entry
	revision platform.Revision
	// unreadable holds the revisions of the entries that were reported as unreadable, by key.
	unreadable       map[string]platform.Revision
	storeUnavailable bool
	// storeLostAt is when the store became unavailable here, storeFailedAt is the time
	// of the last failed call.
	storeLostAt   time.Time
	storeFailedAt time.Time
	// completeSince is the revision of the newest full read: all changes after it are
	// known.
	completeSince platform.Revision
	// restoredAt is when the first records were read after a restore of the store from a
	// copy; zero once restoreGrace is over.
	restoredAt time.Time
	// behindSince is when a peer was first seen to have newer records; zero while none
	// has.
	behindSince time.Time
	// readsStore reports whether this instance leads its failure domain and so reads
	// the store.
	readsStore bool

	table     *routing.Table
	upstreams *registry.Registry
	evacuated map[string]bool
	members   *membership.Registry
	rollouts  *rolloutControl
	rates     *quota.Divider
	demand    *serviceDemand
	sums      *domainSums
	// evacuationEnded is when the last evacuation of a failure domain ended, by domain.
	evacuationEnded map[string]time.Time
	// cold reports whether the pool has limits for cold upstreams.
	cold    bool
	leaving bool
	// permitsSince is when this instance began to run without a pause, permitTickAt when
	// it last assigned the allocators of upstreams.
	permitsSince time.Time
	permitTickAt time.Time
	// poolDirty and viewDirty request an update of the pool or the view.
	poolDirty bool
	viewDirty bool
	splits    map[string]*split
	pulls     *pulls
}

func newControl(ctx context.Context, deps *dependencies, now time.Time) *control {
	c := &control{
		deps:       deps,
		ctx:        ctx,
		events:     make(chan event, eventQueueSize),
		records:    map[string]platform.Entry{},
		unreadable: map[string]platform.Revision{},
		upstreams:  registry.New(0),
		evacuated:  map[string]bool{},
		members: membership.NewRegistry(membership.Config{
			Self:     deps.identity,
			Interval: deps.settings.HeartbeatInterval,
		}, now),
		rates:           quota.New(),
		demand:          newServiceDemand(),
		sums:            newDomainSums(deps.settings.FailureDomain),
		evacuationEnded: map[string]time.Time{},
		viewDirty:       true,
		pulls:           newPulls(),
	}
	c.rollouts = newRolloutControl(c)
	c.members.SetRegions(deps.settings.Domains)
	deps.permits = &permits{
		throttle: deps.throttle,
		peers:    deps.peers,
		metrics:  deps.metrics,
		changed:  func() { c.post(limitChanged{}) },
		failed:   func(e permitFailed) { c.post(e) },
	}
	return c
}

// post sends an event to the control goroutine, or drops it when the instance stops.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// background runs work in a new goroutine and posts the event that it returns, if any.
func (c *control) background(timeout time.Duration, work func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if e := work(ctx); e != nil {
			c.post(e)
		}
	}()
}

// run applies events and ticks until the context ends.
func (c *control) run() {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.publish(time.Now())
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.events:
			e.apply(c, time.Now())
		case <-c.deps.limiter.Wanted():
			c.requestLoans(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.publish(time.Now())
	}
}

// tick does the periodic work of the control goroutine.
func (c *control) tick(now time.Time) {
	if c.upstreams.Tick(now) {
		c.poolDirty = true
	}
	c.endRestore(now)
	c.sendHeartbeats(now)
	c.pullIfBehind(now)
	c.expireStoreFailure(now)
	c.rollouts.tick(now)
	c.divideRates(now)
	c.balance(now)
	c.poolDirty = c.poolDirty || c.cold || len(c.upstreamRates()) > 0
	c.requestLoans(now)
	c.assignAllocators(now)
	c.viewDirty = true
}

// publish makes the new state visible to traffic goroutines.
func (c *control) publish(now time.Time) {
	if c.poolDirty {
		c.updatePool()
		c.poolDirty = false
	}
	if !c.viewDirty {
		return
	}
	c.viewDirty = false
	c.members.SetSelf(c.selfState())
	peers := c.members.Snapshot(now)
	c.updateWatchRole(peers)
	c.deps.retries.setInstances(len(peers.All) + 1)
	c.deps.views.store(&view{
		table:    c.table,
		peers:    peers,
		leaving:  c.leaving,
		versions: c.rollouts.choices(),
		splits:   c.splits,
	})
}

// leave marks the instance as leaving and notifies peers at once.
type leave struct{}

func (leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.viewDirty = true
	c.members.AnnounceLeaving(now)
	c.sendHeartbeats(now)
	c.deps.log.Info("leaving")
}

// storeFailed reports a failed store call.
type storeFailed struct{ err error }

func (e storeFailed) apply(c *control, now time.Time) {
	if !c.storeUnavailable {
		c.deps.log.Warn("store lost", zap.Error(e.err), zap.Stringer("revision", c.revision))
		c.storeLostAt = now
		c.upstreams.StoreUnavailable()
	}
	c.storeUnavailable = true
	c.storeFailedAt = now
	c.viewDirty = true
}

// updateWatchRole makes the store watcher read the store while this instance leads its
// failure domain.
func (c *control) updateWatchRole(peers *membership.Peers) {
	if leads := peers.IsLeader(); leads != c.readsStore {
		c.readsStore = leads
		c.deps.log.Info("reading the store for the failure domain", zap.Bool("reads", leads), zap.Stringer("revision", c.revision))
	}
	c.deps.watchRole.set(watchRole{reads: c.readsStore, revision: c.revision, leaderCount: peers.LeaderCount()})
}

// expireStoreFailure marks the store as available again when this instance does not
// read it and no call has failed for storeFailureExpiry, so that the instance can
// become leader again.
func (c *control) expireStoreFailure(now time.Time) {
	if !c.storeUnavailable || c.readsStore || now.Sub(c.storeFailedAt) <= storeFailureExpiry {
		return
	}
	c.storeUnavailable = false
	c.upstreams.StoreAvailable(now)
	c.deps.log.Info("store not tried any more", zap.Stringer("revision", c.revision))
}
