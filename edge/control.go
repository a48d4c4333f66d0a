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
	// controlTick is the time between two ticks.
	controlTick = 100 * time.Millisecond
	// storeFailureExpiry is how long a failed call on the store is held against it by an
	// instance that does not read it: three calls that end by storeTimeout.
	storeFailureExpiry = 5 * time.Second
	// maxChangeAge is the age that a change may have when a peer tells of it: a change
	// that is heard of later was made after the store was lost here.
	maxChangeAge = 1500 * time.Millisecond
	// eventQueueSize is the number of events that may wait.
	eventQueueSize = 1024
)

// event is a message to the control goroutine.
type event interface {
	// apply changes the control state. It must not block.
	apply(c *control, now time.Time)
}

// control is the control state. Only the control goroutine touches it.
type control struct {
	deps  *dependencies
	ctx    context.Context
	events chan event

	// records holds the newest entries of the store by key.
	records   map[string]platform.Entry
	revision  platform.Revision
	storeUnavailable bool
	// storeLostAt is when a call on the store first failed, storeFailedAt when one
	// last did.
	storeLostAt   time.Time
	storeFailedAt time.Time
	// completeSince is the revision from which on no change is missing.
	completeSince platform.Revision
	// behindSince is when a peer was first seen to have newer records.
	behindSince time.Time
	// readsStore says that this instance reads the store for its failure domain.
	readsStore bool

	table     *routing.Table
	upstreams *registry.Registry
	evacuated map[string]bool
	members   *membership.Registry
	rollouts  *rolloutControl
	rates     *quota.Divider
	demand    *serviceDemand
	sums      *domainSums
	// evacuationEnded is when a failure domain was taken back.
	evacuationEnded map[string]time.Time
	// cold says that the pool holds cold upstreams.
	cold    bool
	leaving bool
	// poolDirty and viewDirty ask for a new pool or view.
	poolDirty bool
	viewDirty bool
	splits    map[string]*split
	pulling   bool
}

func newControl(ctx context.Context, p *dependencies, now time.Time) *control {
	c := &control{
		deps:     p,
		ctx:       ctx,
		events:    make(chan event, eventQueueSize),
		records:   map[string]platform.Entry{},
		upstreams: registry.New(0),
		evacuated: map[string]bool{},
		members: membership.NewRegistry(membership.Config{
			Self:     p.identity,
			Interval: p.settings.HeartbeatInterval,
		}, now),
		rates:           quota.New(),
		demand:          newServiceDemand(),
		sums:            newDomainSums(p.settings.FailureDomain),
		evacuationEnded: map[string]time.Time{},
		viewDirty:       true,
	}
	c.rollouts = newRolloutControl(c)
	c.members.SetRegions(p.settings.Domains)
	return c
}

// post hands an event to the control goroutine, or drops it when the instance ends.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// background runs work in a goroutine of its own; the event that it returns, if
// any, comes back to the control goroutine.
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

func (c *control) tick(now time.Time) {
	if c.upstreams.Tick(now) {
		c.poolDirty = true
	}
	c.sendHeartbeats(now)
	c.pullIfBehind(now)
	c.expireStoreFailure(now)
	c.rollouts.tick(now)
	c.divideRates(now)
	c.balance(now)
	c.poolDirty = c.poolDirty || c.cold
	c.requestLoans(now)
	c.viewDirty = true
}

// publish makes the new state visible to traffic.
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

// leave marks the instance as leaving and tells the others at once.
type leave struct{}

func (leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.viewDirty = true
	c.members.Leaving(now)
	c.sendHeartbeats(now)
	c.deps.log.Info("leaving")
}

// storeFailed is a failed call on the store.
type storeFailed struct{ err error }

func (e storeFailed) apply(c *control, now time.Time) {
	if !c.storeUnavailable {
		c.deps.log.Warn("store lost", zap.Error(e.err), zap.Int64("revision", int64(c.revision)))
		c.storeLostAt = now
		c.upstreams.StoreAway()
	}
	c.storeUnavailable = true
	c.storeFailedAt = now
	c.viewDirty = true
}

// updateWatchRole lets the follower read the store while this instance leads its failure
// domain.
func (c *control) updateWatchRole(peers *membership.Peers) {
	if leads := peers.Leads(); leads != c.readsStore {
		c.readsStore = leads
		c.deps.log.Info("reading the store for the failure domain", zap.Bool("reads", leads), zap.Int64("revision", int64(c.revision)))
	}
	c.deps.watchRole.set(watchRole{reads: c.readsStore, revision: c.revision, leaderCount: peers.LeadCount()})
}

// expireStoreFailure ends the belief that the store is away when this instance does not
// read it and has not tried for some time, so that it can lead again.
func (c *control) expireStoreFailure(now time.Time) {
	if !c.storeUnavailable || c.readsStore || now.Sub(c.storeFailedAt) <= storeFailureExpiry {
		return
	}
	c.storeUnavailable = false
	c.upstreams.StoreBack(now)
	c.deps.log.Info("store not tried any more", zap.Int64("revision", int64(c.revision)))
}
