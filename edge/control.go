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
	records    map[string]platform.Entry
	revision   platform.Revision
	storeHeard time.Time
	storeAway  bool

	table     *routing.Table
	upstreams *registry.Registry
	evacuated map[string]bool
	members   *membership.Registry
	rollouts  *rolloutControl
	rates     *quota.Divider
	demand    *serviceDemand
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
	peers := c.members.Snapshot(now)
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
	}
	c.storeAway = true
	c.upstreams.StoreAway()
}
