package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/controllease"
	"samphireferry.example/ferry/distribution"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/moves"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/reconcile"
	"samphireferry.example/ferry/rollouts"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/sharetable"
	"samphireferry.example/ferry/splitting"
	"samphireferry.example/ferry/steering"
)

// control is the control state of one instance. Only the control goroutine
// touches it.
type control struct {
	parts *parts
	loop  *loop
	// ctx ends when the instance stops; background calls use it.
	ctx context.Context

	registry *membership.Registry
	member   *sharetable.Member
	moves    *moves.Driver
	rollouts *rollouts.Controller
	splits   *splitting.Registry
	owners   *ownership

	shareDriver *sharetable.Driver
	executor    *reconcile.Executor
	lease       *controllease.Lease
	leaseRunner *controllease.Runner

	// peersAt is when the peers were last taken over from the registry.
	peersAt time.Time
	// divided is when the grants were last divided.
	divided time.Time
	dist    *distribution.State
	watcher *distribution.Watcher
	// watching says whether this instance watches the store or does control
	// work, and so needs a fresh list of instances.
	watching atomic.Bool
	table    *routing.Table
	// blocks were built from blockList.
	blocks    *steering.Blocks
	blockList []dynamic.ClientBlock
	// directory was made at directoryAt, for the division directoryOf.
	directory   *steering.Directory
	directoryAt time.Time
	directoryOf uint64
	// listed are the caller addresses in the platform's list, read at listRead.
	listed   map[string]bool
	listRead time.Time
	// operatorAddresses are those of the platform's list, by name. The map is
	// replaced, never changed.
	operatorAddresses map[string]string
	leaving           bool
	// departed is set when parts.departed has been closed.
	departed bool
	// dirty says that the view must be published anew.
	dirty bool
}

func newControl(ctx context.Context, p *parts, l *loop) *control {
	now := time.Now()
	c := &control{
		parts: p,
		loop:  l,
		ctx:   ctx,
		registry: membership.NewRegistry(membership.Config{
			Self:     p.identity,
			Seeds:    p.settings.Seeds,
			Interval: p.settings.HeartbeatInterval,
		}, now),
		member: sharetable.NewMember(sharetable.MemberSettings{
			Name:        p.identity.GetAddress(),
			Incarnation: p.identity.GetIncarnation(),
			Checker:     p.invariants,
		}, now),
		moves:    moves.NewDriver(p.invariants),
		rollouts: rollouts.NewController(p.invariants),
		splits:   splitting.NewRegistry(p.invariants),
		owners:   newOwnership(p),
		blocks:   &steering.Blocks{},
		dist:     p.dist,
		shareDriver: sharetable.NewDriver(sharetable.DriverSettings{
			Checker: p.invariants,
			Log:     p.log,
		}),
	}
	c.rollouts.SetDomain(p.identity.GetFailureDomain())
	c.owners.setPeers(c.registry.Snapshot(now))
	c.watcher = distribution.NewWatcher(p.store, distribution.WatcherOptions{Seed: rand.Uint64()},
		func(u distribution.Update) { l.post(storeRead{u}) })
	c.addControlWork()
	return c
}

// addControlWork prepares what this instance does while it holds the control
// lease.
func (c *control) addControlWork() {
	p := c.parts
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.lease = controllease.New(controllease.Options{Rand: random})
	c.leaseRunner = controllease.NewRunner(c.lease, p.store, p.identity.GetIncarnation(),
		func(r controllease.Result) { c.loop.post(leaseResult{r}) }, p.metrics)
	c.executor = reconcile.NewExecutor(reconcile.Options{
		Store:   p.store,
		Held:    c.leaseRunner.Held,
		Post:    func(r reconcile.Result) { c.loop.post(writeResult{r}) },
		Rand:    random,
		Metrics: p.metrics,
	})
	c.executor.Add(platform.KeyShares, c.shareDriver)
	c.executor.Add(platform.PrefixMoves, c.moves)
	c.executor.Add(platform.PrefixRollouts, c.rollouts.Driver())
}

// leaseResult is the outcome of a call for the control lease.
type leaseResult struct{ result controllease.Result }

func (e leaseResult) apply(c *control, now time.Time) { c.leaseRunner.Handle(now, e.result) }

// writeResult is the outcome of a call of the executor.
type writeResult struct{ result reconcile.Result }

func (e writeResult) apply(c *control, now time.Time) { c.executor.HandleResult(now, e.result) }

// background runs a call outside the control goroutine; the event that it
// returns, if any, is applied to the control state.
func (c *control) background(timeout time.Duration, call func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if e := call(ctx); e != nil {
			c.loop.post(e)
		}
	}()
}

// tick does what time alone makes due.
func (c *control) tick(now time.Time) {
	c.parts.stalls.tick(now)
	paused := c.member.Tick(now)
	if c.parts.limiter.Tick(now) || paused {
		c.parts.log.Warn("control goroutine was paused; rate shares must be confirmed again")
		c.applyShares(now)
	}
	c.sendHeartbeats(now)
	c.sendLoans(now)
	c.moves.Tick(now)
	if c.rollouts.Tick(now) || c.shifting() {
		c.dirty = true
	}
	c.updatePeers(now)
	c.followRecords(now)
	c.doControlWork(now)
	c.noteDeparture()
	if now.Sub(c.divided) >= c.parts.settings.HeartbeatInterval {
		c.divided = now
		c.owners.pools.Divide()
	}
	state := c.state(now)
	c.registry.SetSelf(state)
	c.parts.state.Store(state)
	c.publishStatus(now)
}

// noteDeparture reports when the share table no longer lists this instance,
// after it has begun to leave.
func (c *control) noteDeparture() {
	if !c.leaving || c.departed {
		return
	}
	table := c.member.Table()
	if table != nil {
		_, listed := table.Members[c.parts.identity.GetAddress()]
		if listed {
			return
		}
	}
	c.departed = true
	close(c.parts.departed)
}

// shifting says whether the splits change with time.
func (c *control) shifting() bool {
	return c.table != nil && len(c.table.Set.Moves)+len(c.table.Set.Rollouts) > 0
}

// doControlWork drives the records in the store, if this instance holds the
// control lease.
func (c *control) doControlWork(now time.Time) {
	c.lease.SetMembers(len(c.owners.peers.All) + 1)
	c.leaseRunner.Tick(c.ctx, now)
	c.setShareView(now)
	c.setShiftInputs()
	c.executor.Step(c.ctx, now)
}

// peersInterval is the least time between two takeovers of what the registry
// knows, which costs time for each peer.
const peersInterval = 200 * time.Millisecond

// updatePeers takes over what the registry knows.
func (c *control) updatePeers(now time.Time) {
	if now.Sub(c.peersAt) < peersInterval {
		return
	}
	c.peersAt = now
	peers := c.registry.Snapshot(now)
	if peers == c.owners.peers {
		return
	}
	c.owners.setPeers(peers)
	c.parts.limiter.SetPeers(lenders(peers))
	c.rollouts.SetInstances(len(peers.All) + 1)
	c.dirty = true
}

// publish makes the control state visible to traffic goroutines.
func (c *control) publish(now time.Time) {
	if !c.dirty {
		return
	}
	c.dirty = false
	next := &view{
		table:     c.table,
		peers:     c.owners.peers,
		pools:     c.owners.pools,
		choosers:  c.owners.choosers,
		recorders: c.rollouts.Recorders(),
		directory: c.currentDirectory(now),
		leaving:   c.leaving,
	}
	if !c.dist.Ready(now) {
		// A new instance serves with the newest configuration or not at all.
		next.table = nil
		c.dirty = true
	}
	if c.table != nil {
		next.splits = c.splits.Build(c.rollouts.Shares(now), c.moves.Shares(now, c.table.Set.Moves))
	}
	c.parts.views.store(next)
}

// setTable puts a configuration in force.
func (c *control) setTable(now time.Time, table *routing.Table) {
	c.table = table
	c.registry.SetRegions(table.Regions)
	c.moves.Configure(table.Version, table.Set.Moves)
	c.rollouts.Configure(table.Version, table.Set.Rollouts, routeNames(table))
	c.owners.setTable(table)
	c.buildBlocks(table.Set.ClientBlocks)
	c.applyShares(now)
	c.dirty = true
	c.parts.log.Info("configuration in force", zap.Uint64("version", table.Version))
}

// applyShares puts the rate shares in force and acknowledges them. A member that
// is not confirmed has an empty share: it admits requests on loans only, which
// its peers take out of their own shares.
func (c *control) applyShares(now time.Time) {
	if c.table == nil {
		return
	}
	shares := c.member.Divide(customersOf(c.table))
	c.parts.limiter.Configure(now, shares, true)
	c.parts.sharesConfirmed.Store(c.member.Confirmed())
	if t := c.member.Table(); t != nil {
		c.member.Applied(t.Version)
	}
}

func customersOf(table *routing.Table) []sharetable.Customer {
	customers := make([]sharetable.Customer, 0, len(table.Customers))
	for _, c := range table.Customers {
		customers = append(customers, sharetable.Customer{Name: c.Name, Rate: c.Rate, Burst: c.Burst})
	}
	return customers
}

func routeNames(table *routing.Table) map[string][]string {
	names := map[string][]string{}
	for _, r := range table.Routes {
		names[r.Service.Name] = append(names[r.Service.Name], r.Name)
	}
	return names
}
