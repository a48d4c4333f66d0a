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
	// version and record are the newest seen, which must never fall.
	version uint64
	record  platform.Revision
}

// fleet is several instances on a lossy network and one store.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	store   *standin.Platform
	checker *invariant.Checker
	nodes   []*node
	// cut says that the domain reaches neither the store nor other domains.
	cut sync.Map
	// loss is the part of the messages that are lost.
	loss  float64
	seeds uint64
}

func newFleet(t *testing.T, seed uint64, domains, perDomain int) *fleet {
	f := &fleet{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, seed)),
		store:   standin.New(standin.Options{Seed: seed}),
		checker: &invariant.Checker{},
		seeds:   seed << 32,
	}
	f.checker.OnViolation = func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) }
	for i := range domains * perDomain {
		n := &node{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("domain-%d", i%domains)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start gives the node a new incarnation that knows nothing.
func (f *fleet) start(n *node) {
	f.seeds++
	n.version, n.record = 0, 0
	n.updates = make(chan Update, 100)
	n.state = NewState(Options{Self: n.name, FailureDomain: n.domain, Checker: f.checker, Started: time.Now()})
	updates := n.updates
	n.watcher = NewWatcher(cutStore{f.store, f, n.domain}, WatcherOptions{Seed: f.seeds}, func(u Update) { updates <- u })
	n.watcher.Start()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.watcher.Stop()
	}
}

// run lets the control loops run for the time.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tick)
		synctest.Wait()
		for _, n := range f.nodes {
			f.control(n)
		}
	}
}

// control is one round of the control loop of a node.
func (f *fleet) control(n *node) {
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
	f.checkForward(n)
}

// heartbeat exchanges states; each direction may be lost.
func (f *fleet) heartbeat(from, to *node) {
	if !f.delivered(from, to) {
		return
	}
	to.state.ObservePeer(f.stateOf(from), time.Time{}, time.Now())
	if f.delivered(to, from) {
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
		if !f.delivered(n, other) || !f.delivered(other, n) {
			n.state.ApplyPull(pull, nil, errors.New("lost"), time.Now())
			return
		}
		response := other.state.Snapshot().Respond(pull.Request(), time.Now())
		n.state.ApplyPull(pull, response, nil, time.Now())
	}
}

func (f *fleet) delivered(from, to *node) bool {
	reachable := from.domain == to.domain || (!f.isCut(from.domain) && !f.isCut(to.domain))
	return reachable && f.random.Float64() >= f.loss
}

func (f *fleet) isCut(domain string) bool {
	cut, _ := f.cut.Load(domain)
	return cut == true
}

// checkForward fails when a node went back, or serves without configuration.
func (f *fleet) checkForward(n *node) {
	version := uint64(0)
	if config := n.state.Config(); config != nil {
		version = config.Version
	}
	entry, _ := n.state.Records().Get(platform.KeyShares)
	assert.Assert(f.t, version >= n.version, "%s went back from version %d to %d", n.name, n.version, version)
	assert.Assert(f.t, entry.Revision >= n.record, "%s went back to revision %d", n.name, entry.Revision)
	assert.Assert(f.t, version > 0 || !n.state.Ready(time.Now()))
	n.version, n.record = version, entry.Revision
}

// write publishes the next configuration and share table, as far as the store
// lets it.
func (f *fleet) write(version uint64) {
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

// cutStore is the store as one failure domain reaches it.
type cutStore struct {
	platform.Store
	fleet  *fleet
	domain string
}

func (s cutStore) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if s.fleet.isCut(s.domain) {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s cutStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if s.fleet.isCut(s.domain) {
		return nil, 0, platform.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}
