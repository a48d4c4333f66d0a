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
	// awayFor is how long a failed call on the store is held against it by an
	// instance that does not read it: three calls that end by storeTimeout.
	awayFor = 5 * time.Second
	// newsAge is the age that a change may have when a peer tells of it: a change
	// that is heard of later was made after the store was lost here.
	newsAge = 1500 * time.Millisecond
	// eventQueue is the number of events that may wait.
	eventQueue = 1024
)

// event is a message to the control goroutine.
type event interface {
	// apply changes the control state. It must not block.
	apply(c *control, now time.Time)
}

// control is the control state. Only the control goroutine touches it.
type control struct {
	parts  *parts
	ctx    context.Context
	events chan event

	// records holds the newest entries of the store by key.
	records   map[string]platform.Entry
	revision  platform.Revision
	storeAway bool
	// storeLostAt is when a call on the store first failed, storeFailedAt when one
	// last did.
	storeLostAt   time.Time
	storeFailedAt time.Time
	// completeSince is the revision from which on no change is missing.
	completeSince platform.Revision
	// behindSince is when a peer was first seen to have newer records.
	behindSince time.Time
	// follows says that this instance reads the store for its failure domain.
	follows bool

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

func newControl(ctx context.Context, p *parts, now time.Time) *control {
	c := &control{
		parts:     p,
		ctx:       ctx,
		events:    make(chan event, eventQueue),
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
		case <-c.parts.limiter.Wanted():
			c.sendLoans(time.Now())
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
	c.forgetStore(now)
	c.rollouts.tick(now)
	c.divideRates(now)
	c.balance(now)
	c.poolDirty = c.poolDirty || c.cold
	c.sendLoans(now)
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
	c.members.SetSelf(c.sender())
	peers := c.members.Snapshot(now)
	c.follow(peers)
	c.parts.retries.setInstances(len(peers.All) + 1)
	c.parts.views.store(&view{
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
	c.parts.log.Info("leaving")
}

// storeFailed is a failed call on the store.
type storeFailed struct{ err error }

func (e storeFailed) apply(c *control, now time.Time) {
	if !c.storeAway {
		c.parts.log.Warn("store lost", zap.Error(e.err), zap.Int64("revision", int64(c.revision)))
		c.storeLostAt = now
		c.upstreams.StoreAway()
	}
	c.storeAway = true
	c.storeFailedAt = now
	c.viewDirty = true
}

// follow lets the follower read the store while this instance leads its failure
// domain.
func (c *control) follow(peers *membership.Peers) {
	if leads := peers.Leads(); leads != c.follows {
		c.follows = leads
		c.parts.log.Info("reading the store for the failure domain", zap.Bool("reads", leads), zap.Int64("revision", int64(c.revision)))
	}
	c.parts.following.set(role{reads: c.follows, revision: c.revision, leads: peers.LeadCount()})
}

// forgetStore ends the belief that the store is away when this instance does not
// read it and has not tried for some time, so that it can lead again.
func (c *control) forgetStore(now time.Time) {
	if !c.storeAway || c.follows || now.Sub(c.storeFailedAt) <= awayFor {
		return
	}
	c.storeAway = false
	c.upstreams.StoreBack(now)
	c.parts.log.Info("store not tried any more", zap.Int64("revision", int64(c.revision)))
}
