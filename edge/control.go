package edge

import (
	"context"
	"fmt"
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
	// maxControlWait is the wait of an event from which it is logged.
	maxControlWait = 250 * time.Millisecond
	// watchSettleTime is the time after the start of the instance in which it does not watch the
	// store, which it has read once.
	watchSettleTime = time.Second
	// minOperatorReaders is the number of instances that follow the operator's records in the
	// store, where there are fewer failure domains.
	minOperatorReaders = 3
	// eventQueueSize is the number of events that can be queued.
	eventQueueSize = 1024
)

// event is a message to the control goroutine.
type event interface {
	// apply changes the control state. It must not block.
	apply(c *control, now time.Time)
}

// urgentEvent is an event that may go before all others: one that brings what the operator
// has ordered, or that the instance leaves, and whose work depends on that change only.
type urgentEvent interface {
	event
	urgent() bool
}

// queuedEvent is an event with the time at which it was queued.
type queuedEvent struct {
	event
	queuedAt time.Time
}

// control is the control state. Only the control goroutine accesses it.
type control struct {
	deps      *dependencies
	ctx       context.Context
	startedAt time.Time
	// urgent holds the events that are applied before all others.
	urgent chan queuedEvent
	events chan queuedEvent

	records *recordSet
	// unreadable holds the revisions of the entries that were reported as unreadable, by key.
	unreadable map[string]platform.Revision
	// coverage is that of all records; operator holds that of the operator's records, which
	// is at least as new.
	coverage
	operator         *operatorState
	storeUnavailable bool
	// storeLostAt is when the store became unavailable here, storeFailedAt is the time
	// of the last failed call.
	storeLostAt   time.Time
	storeFailedAt time.Time
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
	// states holds the heartbeats that were built in the current tick.
	states stateCache
	// instances holds the entry instances that are registered in the store, by key.
	instances map[string]platform.Instance
	// fleetReadAt is when the registrations that were read after that of this instance arrived.
	fleetReadAt time.Time
	// dividedAt is when the customers' rates were last divided.
	dividedAt time.Time
	// evacuationEnded is when the last evacuation of a failure domain ended, by domain.
	evacuationEnded map[string]time.Time
	cold            coldUpstreams
	goneUpstreams   goneUpstreams
	leaving         bool
	// permitsSince is when this instance began to run without a pause, permitTickAt when
	// it last assigned the allocators of upstreams.
	permitsSince time.Time
	permitTickAt time.Time
	// poolDirty and viewDirty request an update of the pool or the view.
	poolDirty bool
	viewDirty bool
	// poolPeers is what the settings of the pool were last made from.
	poolPeers poolPeers
	splits    map[string]*split
	// limited holds the services of which a priority is limited, as last logged.
	limited map[string]bool
	pulls   *pulls
	// usage is nil where the deployment does not ask for usage reports.
	usage *usageControl
	// lateReportedAt is when a long wait of an event was last logged.
	lateReportedAt time.Time
}

func newControl(ctx context.Context, deps *dependencies, now time.Time) *control {
	c := &control{
		deps:       deps,
		ctx:        ctx,
		startedAt:  now,
		urgent:     make(chan queuedEvent, eventQueueSize),
		events:     make(chan queuedEvent, eventQueueSize),
		operator:   newOperatorState(deps.settings.ConfigBound),
		records:    newRecordSet(),
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
		instances:       map[string]platform.Instance{},
		evacuationEnded: map[string]time.Time{},
		cold:            coldUpstreams{until: map[string]time.Time{}},
		viewDirty:       true,
		limited:         map[string]bool{},
		pulls:           newPulls(),
	}
	c.rollouts = newRolloutControl(c)
	c.usage = newUsageControl(c)
	deps.metrics.Gauge("ferry_config_behind_seconds", func() float64 { return c.operator.behind(time.Now()).Seconds() })
	deps.metrics.Gauge("ferry_config_lag_budget_seconds", func() float64 { return c.budget().Total().Seconds() })
	c.members.SetRegions(deps.settings.Domains)
	deps.permits = &permits{
		throttle: deps.throttle,
		peers:    deps.peers,
		metrics:  deps.metrics,
		maxWait:  maxPermitWait,
		changed:  func() { c.post(limitChanged{}) },
		failed:   func(e permitFailed) { c.post(e) },
	}
	return c
}

// post sends an event to the control goroutine, or drops it when the instance stops.
func (c *control) post(e event) {
	queue := c.events
	if first, ok := e.(urgentEvent); ok && first.urgent() {
		queue = c.urgent
	}
	select {
	case queue <- queuedEvent{e, time.Now()}:
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
		c.applyUrgent()
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.urgent:
			c.applyQueued(e)
		case e := <-c.events:
			c.applyQueued(e)
		case <-c.deps.limiter.Wanted():
			c.requestLoans(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.publish(time.Now())
	}
}

// maxUrgentEvents is the number of urgent events that are applied in a row.
const maxUrgentEvents = 64

// applyUrgent applies the urgent events that are queued, up to maxUrgentEvents.
func (c *control) applyUrgent() {
	for range maxUrgentEvents {
		select {
		case e := <-c.urgent:
			c.applyQueued(e)
			c.publish(time.Now())
		default:
			return
		}
	}
}

// applyQueued applies an event of the queue and measures how long it waited there.
func (c *control) applyQueued(e queuedEvent) {
	now := time.Now()
	wait := now.Sub(e.queuedAt)
	c.deps.metrics.Histogram("ferry_control_wait_seconds").Update(wait.Seconds())
	if wait > maxControlWait && now.Sub(c.lateReportedAt) >= time.Second {
		c.lateReportedAt = now
		c.deps.log.Warn("control events wait",
			zap.Duration("wait", wait),
			zap.Int("queued", len(c.events)),
			zap.String("event", fmt.Sprintf("%T", e.event)),
		)
	}
	e.apply(c, now)
}

// tick does the periodic work of the control goroutine.
func (c *control) tick(now time.Time) {
	if c.upstreams.Tick(now) {
		c.poolDirty = true
	}
	c.endRestore(now)
	c.sendHeartbeats(now)
	c.readOperatorRecords(now)
	c.pullIfBehind(now)
	c.expireStoreFailure(now)
	c.rollouts.tick(now)
	c.divideRates(now)
	c.balance(now)
	c.refreshLimits(now)
	c.requestLoans(now)
	c.assignAllocators(now)
	c.operator.publishBehind(now)
	if c.usage != nil {
		c.usage.tick(now)
	}
	c.viewDirty = true
}

// publish makes the new state visible to traffic goroutines.
func (c *control) publish(now time.Time) {
	if c.poolDirty {
		c.updatePool(now)
		c.poolDirty = false
	}
	if !c.viewDirty {
		return
	}
	c.viewDirty = false
	c.members.SetSelf(c.selfState())
	peers := c.members.Snapshot(now)
	c.updateWatchRole(now, peers)
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

// urgent implements urgentEvent.
func (leave) urgent() bool { return true }

func (leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.viewDirty = true
	c.members.AnnounceLeaving(now)
	c.sendHeartbeats(now)
	if c.usage != nil {
		c.usage.leave()
	}
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

// settled reports whether watchSettleTime has passed since the start. Instances that start at the
// same time do not know each other before they have registered: each considers itself the leader,
// and each of their watches would return with each registration.
func (c *control) settled(now time.Time) bool { return now.Sub(c.startedAt) >= watchSettleTime }

// updateWatchRole makes the store watcher read the store while this instance leads its
// failure domain.
func (c *control) updateWatchRole(now time.Time, peers *membership.Peers) {
	if leads := peers.IsLeader(); leads != c.readsStore {
		c.readsStore = leads
		c.deps.log.Info("reading the store for the failure domain", zap.Bool("reads", leads), zap.Stringer("revision", c.revision))
	}
	role := watchRole{reads: c.readsStore && c.settled(now), revision: c.revision, leaderCount: peers.LeaderCount()}
	role.checks = role.reads && !c.storeUnavailable && peers.IsFirstLeader()
	c.deps.watchRole.set(role)
	// Until the first read of all records there is no revision to watch from.
	role.checks = false
	role.reads = peers.IsReader(minOperatorReaders) && c.operator.revision != 0 && c.settled(now)
	role.revision = c.operator.revision
	role.leaderCount = max(role.leaderCount, minOperatorReaders)
	c.deps.operatorWatchRole.set(role)
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
