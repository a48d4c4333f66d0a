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
	deps *dependencies
	loop *loop
	// ctx is cancelled when the instance stops; background calls use it.
	ctx context.Context

	registry  *membership.Registry
	member    *sharetable.Member
	moves     *moves.Driver
	rollouts  *rollouts.Controller
	splits    *splitting.Registry
	ownership *ownership

	shareDriver *sharetable.Driver
	executor    *reconcile.Executor
	lease       *controllease.Lease
	leaseRunner *controllease.Runner

	// peersUpdatedAt is when the peers were last copied from the registry.
	peersUpdatedAt time.Time
	// grantsDividedAt is when the grants were last divided among the peers.
	grantsDividedAt time.Time
	dist            *distribution.State
	watcher         *distribution.Watcher
	// needsFreshList reports whether this instance watches the store or holds the
	// control lease, and therefore needs a fresh list of instances.
	needsFreshList atomic.Bool
	table          *routing.Table
	// blocks is the table of client blocks in use; blockList is the newest list,
	// from which it was built or is being built.
	blocks    *steering.Blocks
	blockList []dynamic.ClientBlock
	// directory was built at directoryAt, for the ownership division numbered
	// directoryDivision.
	directory         *steering.Directory
	directoryAt       time.Time
	directoryDivision uint64
	// listedAddresses holds the caller addresses in the platform's list, which was
	// read at listReadAt.
	listedAddresses map[string]bool
	listReadAt      time.Time
	// operatorAddresses holds the operator addresses in the platform's list by
	// instance name. The map is replaced, never modified.
	operatorAddresses map[string]string
	leaving           bool
	// departed is set once deps.departed has been closed.
	departed bool
	// dirty reports whether the view must be published again.
	dirty bool
}

func newControl(ctx context.Context, deps *dependencies, l *loop) *control {
	now := time.Now()
	c := &control{
		deps: deps,
		loop: l,
		ctx:  ctx,
		registry: membership.NewRegistry(membership.Config{
			Self:     deps.identity,
			Seeds:    deps.settings.Seeds,
			Interval: deps.settings.HeartbeatInterval,
		}, now),
		member: sharetable.NewMember(sharetable.MemberSettings{
			Name:        deps.identity.GetAddress(),
			Incarnation: deps.identity.GetIncarnation(),
			Checker:     deps.invariants,
		}, now),
		moves:     moves.NewDriver(deps.invariants),
		rollouts:  rollouts.NewController(deps.invariants),
		splits:    splitting.NewRegistry(deps.invariants),
		ownership: newOwnership(deps),
		blocks:    &steering.Blocks{},
		dist:      deps.dist,
		shareDriver: sharetable.NewDriver(sharetable.DriverSettings{
			Checker: deps.invariants,
			Log:     deps.log,
		}),
	}
	c.rollouts.SetDomain(deps.identity.GetFailureDomain())
	c.ownership.setPeers(c.registry.Snapshot(now))
	c.watcher = distribution.NewWatcher(deps.store, distribution.WatcherOptions{Seed: rand.Uint64()},
		func(u distribution.Update) { l.post(storeUpdated{u}) })
	c.prepareControlPlane()
	return c
}

// prepareControlPlane creates the control lease and the executor of control-plane
// work, which this instance runs while it holds the lease.
func (c *control) prepareControlPlane() {
	deps := c.deps
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.lease = controllease.New(controllease.Options{Rand: random})
	c.leaseRunner = controllease.NewRunner(c.lease, deps.store, deps.identity.GetIncarnation(),
		func(r controllease.Result) { c.loop.post(leaseResult{r}) }, deps.metrics)
	c.executor = reconcile.NewExecutor(reconcile.Options{
		Store:     deps.store,
		LeaseHeld: c.leaseRunner.Held,
		Post:      func(r reconcile.Result) { c.loop.post(writeResult{r}) },
		Rand:      random,
		Metrics:   deps.metrics,
	})
	c.executor.Add(platform.KeyShares, c.shareDriver)
	c.executor.Add(platform.PrefixMoves, c.moves)
	c.executor.Add(platform.PrefixRollouts, c.rollouts.Driver())
}

// leaseResult is the event with the result of a store call for the control lease.
type leaseResult struct{ result controllease.Result }

func (e leaseResult) apply(c *control, now time.Time) { c.leaseRunner.Handle(now, e.result) }

// writeResult is the event with the result of a store call of the executor.
type writeResult struct{ result reconcile.Result }

func (e writeResult) apply(c *control, now time.Time) { c.executor.HandleResult(now, e.result) }

// background runs call outside the control goroutine and posts the event that it
// returns, unless it is nil.
func (c *control) background(timeout time.Duration, call func(ctx context.Context) event) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if e := call(ctx); e != nil {
			c.loop.post(e)
		}
	}()
}

// tick runs the time-driven work of the control goroutine.
func (c *control) tick(now time.Time) {
	c.deps.stalls.tick(now)
	paused := c.member.Tick(now)
	if c.deps.limiter.Tick(now) || paused {
		c.deps.log.Warn("control goroutine was paused; rate shares must be confirmed again")
		c.applyShares(now)
	}
	c.sendHeartbeats(now)
	c.requestLoans(now)
	c.moves.Tick(now)
	if c.rollouts.Tick(now) || c.hasShifts() {
		c.dirty = true
	}
	c.updatePeers(now)
	c.syncRecords(now)
	c.runControlPlane(now)
	c.detectDeparture()
	if now.Sub(c.grantsDividedAt) >= c.deps.settings.HeartbeatInterval {
		c.grantsDividedAt = now
		c.ownership.pools.Divide()
	}
	state := c.state(now)
	c.registry.SetSelf(state)
	c.deps.state.Store(state)
	c.publishStatus(now)
}

// detectDeparture closes deps.departed when this instance is leaving and the share
// table no longer lists it.
func (c *control) detectDeparture() {
	if !c.leaving || c.departed {
		return
	}
	table := c.member.Table()
	if table != nil {
		_, listed := table.Members[c.deps.identity.GetAddress()]
		if listed {
			return
		}
	}
	c.departed = true
	close(c.deps.departed)
}

// hasShifts reports whether there are moves or roll-outs, whose splits change
// with time.
func (c *control) hasShifts() bool {
	return c.table != nil && len(c.table.Set.Moves)+len(c.table.Set.Rollouts) > 0
}

// runControlPlane updates the inputs of the control-plane drivers, and reconciles
// the records in the store if this instance holds the control lease.
func (c *control) runControlPlane(now time.Time) {
	c.lease.SetMembers(len(c.ownership.peers.All) + 1)
	c.leaseRunner.Tick(c.ctx, now)
	c.setShareView(now)
	c.setShiftInputs()
	c.executor.Step(c.ctx, now)
}

// peersInterval is the minimum time between two copies of the peers from the
// registry. The cost of a copy grows with the number of peers.
const peersInterval = 200 * time.Millisecond

// updatePeers copies the peers from the registry and passes them on if they changed.
func (c *control) updatePeers(now time.Time) {
	if now.Sub(c.peersUpdatedAt) < peersInterval {
		return
	}
	c.peersUpdatedAt = now
	peers := c.registry.Snapshot(now)
	if peers == c.ownership.peers {
		return
	}
	c.ownership.setPeers(peers)
	c.deps.limiter.SetPeers(lenders(peers))
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
		peers:     c.ownership.peers,
		pools:     c.ownership.pools,
		choosers:  c.ownership.choosers,
		recorders: c.rollouts.Recorders(),
		directory: c.currentDirectory(now),
		leaving:   c.leaving,
	}
	if !c.dist.Ready(now) {
		// A new instance does not serve until it has the newest configuration.
		next.table = nil
		c.dirty = true
	}
	if c.table != nil {
		next.splits = c.splits.Build(c.rollouts.Shares(now), c.moves.Shares(now, c.table.Set.Moves))
	}
	c.deps.views.store(next)
}

// setTable puts a configuration in force.
func (c *control) setTable(now time.Time, table *routing.Table) {
	c.table = table
	c.registry.SetRegions(table.Regions)
	c.moves.Configure(table.Version, table.Set.Moves)
	c.rollouts.Configure(table.Version, table.Set.Rollouts, routeNames(table))
	c.ownership.setTable(table)
	c.buildBlocks(table.Set.ClientBlocks)
	c.applyShares(now)
	c.dirty = true
	c.deps.log.Info("configuration in force", zap.Uint64("version", table.Version))
}

// applyShares puts the rate shares in force and acknowledges them. A member that
// is not confirmed has an empty share: it admits requests only with tokens lent
// by peers, which take them from their shares.
func (c *control) applyShares(now time.Time) {
	if c.table == nil {
		return
	}
	shares := c.member.Divide(customersOf(c.table))
	c.deps.limiter.Configure(now, shares, true)
	c.deps.sharesConfirmed.Store(c.member.Confirmed())
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
