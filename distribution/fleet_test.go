package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	standin "samphireferry.example/ferry/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// tick is the period of the control loops in the tests.
const tick = 200 * time.Millisecond

// node is one entry instance: its state and its watcher.
type node struct {
	name, domain string
	state        *State
	watcher      *Watcher
	updates      chan Update
	// version and record are the newest seen, which must never decrease.
	version uint64
	record  platform.Revision
}

// fleet is a group of instances with one store and a lossy network.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	store   *standin.Platform
	checker *invariant.Checker
	nodes   []*node
	// partitioned maps a domain to true while it reaches neither the store nor
	// other domains.
	partitioned sync.Map
	// loss is the fraction of messages that are lost.
	loss     float64
	lastSeed uint64
}

func newFleet(t *testing.T, seed uint64, domains, perDomain int) *fleet {
	f := &fleet{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, seed)),
		store:    standin.New(standin.Options{Seed: seed}),
		checker:  &invariant.Checker{},
		lastSeed: seed << 32,
	}
	f.checker.OnViolation = func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) }
	for i := range domains * perDomain {
		n := &node{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("domain-%d", i%domains)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts a new incarnation of the node with an empty state.
func (f *fleet) start(n *node) {
	f.lastSeed++
	n.version, n.record = 0, 0
	n.updates = make(chan Update, 100)
	n.state = NewState(Options{Self: n.name, FailureDomain: n.domain, Checker: f.checker, Started: time.Now()})
	updates := n.updates
	n.watcher = NewWatcher(partitionedStore{f.store, f, n.domain}, WatcherOptions{Seed: f.lastSeed}, func(u Update) { updates <- u })
	n.watcher.Start()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.watcher.Stop()
	}
}

// run lets the control loops run for d of simulated time.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tick)
		synctest.Wait()
		for _, n := range f.nodes {
			f.runControlLoop(n)
		}
	}
}

// runControlLoop runs one iteration of a node's control loop.
func (f *fleet) runControlLoop(n *node) {
	for len(n.updates) > 0 {
		n.state.ApplyUpdate(<-n.updates)
	}
	var members []string
	for _, other := range f.nodes {
		if other.domain == n.domain {
			members = append(members, other.name)
		}
	}
	n.watcher.SetActive(n.state.ShouldWatch(members, time.Now()))
	f.heartbeat(n, f.nodes[f.random.IntN(len(f.nodes))])
	if pull, ok := n.state.PlanPull(time.Now()); ok {
		f.pull(n, pull)
	}
	f.checkMonotonic(n)
}

// heartbeat exchanges the states of two nodes; either message may be lost.
func (f *fleet) heartbeat(from, to *node) {
	if !f.isDelivered(from, to) {
		return
	}
	to.state.ObservePeer(f.stateOf(from), time.Time{}, time.Now())
	if f.isDelivered(to, from) {
		from.state.ObservePeer(f.stateOf(to), time.Now(), time.Now())
	}
}

func (f *fleet) stateOf(n *node) *entrypb.State {
	state := &entrypb.State{Identity: &entrypb.Identity{Name: n.name, FailureDomain: n.domain}}
	n.state.Snapshot().AddTo(state, time.Now())
	return state
}

func (f *fleet) pull(n *node, pull Pull) {
	for _, other := range f.nodes {
		if other.name != pull.Peer {
			continue
		}
		if !f.isDelivered(n, other) || !f.isDelivered(other, n) {
			n.state.ApplyPull(pull, nil, errors.New("lost"), time.Now())
			return
		}
		response := other.state.Snapshot().Respond(pull.Request(), time.Now())
		n.state.ApplyPull(pull, response, nil, time.Now())
	}
}

func (f *fleet) isDelivered(from, to *node) bool {
	reachable := from.domain == to.domain || (!f.isPartitioned(from.domain) && !f.isPartitioned(to.domain))
	return reachable && f.random.Float64() >= f.loss
}

func (f *fleet) isPartitioned(domain string) bool {
	partitioned, _ := f.partitioned.Load(domain)
	return partitioned == true
}

// checkMonotonic fails if a node reverted to an older state, or is ready without
// a configuration.
func (f *fleet) checkMonotonic(n *node) {
	version := uint64(0)
	if config := n.state.Config(); config != nil {
		version = config.Version
	}
	entry, _ := n.state.Records().Get(platform.KeyShares)
	assert.Assert(f.t, version >= n.version, "%s reverted from version %d to %d", n.name, n.version, version)
	assert.Assert(f.t, entry.Revision >= n.record, "%s reverted to revision %d", n.name, entry.Revision)
	assert.Assert(f.t, version > 0 || !n.state.Ready(time.Now()))
	n.version, n.record = version, entry.Revision
}

// publish writes the given version to the configuration and the share table, and
// creates or deletes one move record. Writes that the store refuses are skipped.
func (f *fleet) publish(version uint64) {
	ctx := f.t.Context()
	config := &dynamic.Config{Version: version, PublishID: fmt.Sprint(version)}
	stored, err := config.Encode()
	assert.NilError(f.t, err)
	for _, key := range []string{platform.KeyConfig, platform.KeyShares, platform.PrefixMoves + fmt.Sprint(version%3)} {
		entry, err := f.store.Get(ctx, key)
		if errors.Is(err, platform.ErrUnavailable) {
			continue
		}
		if key != platform.KeyConfig && key != platform.KeyShares && entry.Revision != 0 {
			_ = f.store.Delete(ctx, key, entry.Revision)
			continue
		}
		_, _ = f.store.CompareAndSwap(ctx, key, stored, entry.Revision, 0)
	}
}

// partitionedStore is the store as seen from one failure domain; it is
// unavailable while the domain is partitioned.
type partitionedStore struct {
	platform.Store
	fleet  *fleet
	domain string
}

func (s partitionedStore) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if s.fleet.isPartitioned(s.domain) {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s partitionedStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if s.fleet.isPartitioned(s.domain) {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}
