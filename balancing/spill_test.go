package balancing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/units"
)

// Parameters of the spill experiment: 10 instances and 12 upstreams in 3 regions of 2
// failure domains each.
const (
	spillHeartbeat = 200 * time.Millisecond
	spillTime      = 3 * time.Second
	spillDomains   = 6
	spillInstances = 10
	spillBytes     = 2000
	// spillPause is the delay before a request that all owners have refused is retried.
	spillPause = 5 * time.Millisecond
)

var spillKey = VersionKey{"lookup", "v1"}

// node is one entry instance of the experiment.
type node struct {
	self    Instance
	pools   *Pools
	chooser *Chooser
	links   map[string]Link
	down    atomic.Bool
}

// fleet is a set of nodes that exchange heartbeats in synthetic time.
type fleet struct {
	nodes   []*node
	table   *routing.Table
	workers map[string]*worker

	mu      sync.Mutex
	random  *rand.Rand
	sent    int
	refused int
	far     int
	latency []time.Duration
}

func newFleet(t *testing.T, checker *invariant.Checker) *fleet {
	f := &fleet{workers: map[string]*worker{}, random: rand.New(rand.NewPCG(3, 3))}
	var set dynamic.Set
	set.Services = []dynamic.Service{{Name: "lookup"}}
	set.Versions = []dynamic.Version{{Name: "v1", Service: "lookup"}}
	for d := range spillDomains {
		name := fmt.Sprintf("r%d-%d", d/2, d%2)
		set.FailureDomains = append(set.FailureDomains, dynamic.FailureDomain{Name: name, Region: name[:2]})
	}
	for i := range 12 {
		domain := set.FailureDomains[i%spillDomains].Name
		u := dynamic.Upstream{Name: fmt.Sprintf("u%d", i), Service: "lookup", Version: "v1", FailureDomain: domain, Slots: 3 + i%7}
		set.Upstreams = append(set.Upstreams, u)
		f.workers[u.Name] = &worker{slots: make(chan struct{}, u.Slots), factor: 1}
	}
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: set})
	assert.NilError(t, err)
	f.table = table
	for i := range spillInstances {
		domain := set.FailureDomains[i%spillDomains]
		f.nodes = append(f.nodes, newNode(Instance{fmt.Sprintf("e%d", i), domain.Name, domain.Region}, checker))
	}
	f.assignUpstreams()
	return f
}

func newNode(self Instance, checker *invariant.Checker) *node {
	n := &node{self: self, pools: NewPools(PoolOptions{Checker: checker}), links: map[string]Link{}}
	budget := func() *LinkBudget { return NewLinkBudget(units.Bandwidth(4e9), 0.5, 4, time.Now()) }
	for _, region := range []string{"r0", "r1", "r2"} {
		n.links[region] = Link{budget(), budget()}
	}
	n.chooser = NewChooser(ChooserOptions{Self: self, Links: func(region string) Link { return n.links[region] }})
	return n
}

// assignUpstreams assigns the upstreams to the nodes that are up.
func (f *fleet) assignUpstreams() {
	var live []Instance
	for _, n := range f.nodes {
		if !n.down.Load() {
			live = append(live, n.self)
		}
	}
	for _, n := range f.nodes {
		n.pools.Update(f.table, Owned(n.self.Name, f.table.Services[0].Upstreams, live))
	}
}

// heartbeat sends the load of each node to its peers.
func (f *fleet) heartbeat() {
	for _, n := range f.nodes {
		n.pools.Divide()
	}
	for _, to := range f.nodes {
		var loads []OwnerLoad
		for _, from := range f.nodes {
			vp := from.pools.Get(spillKey)
			if from == to || from.down.Load() || vp == nil {
				continue
			}
			load := vp.Pool.Load()
			loads = append(loads, OwnerLoad{from.self, load.Slots, load.InUse, vp.Grants.Granted(to.self.Name), time.Now()})
		}
		to.chooser.Update(loads)
	}
}

func (f *fleet) find(name string) *node {
	for _, n := range f.nodes {
		if n.self.Name == name {
			return n
		}
	}
	return nil
}

// request sends one request from the node. While every owner refuses it, it is retried
// after a pause, for as long as a request may wait in a queue.
func (f *fleet) request(from *node, customer string, service time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	started := time.Now()
	done := f.try(ctx, from, customer, service)
	for !done && time.Since(started) < defaultQueueTimeout {
		time.Sleep(spillPause)
		done = f.try(ctx, from, customer, service)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if !done {
		f.refused++
		return
	}
	f.latency = append(f.latency, time.Since(started))
}

// try sends the request to one owner after another until one accepts it.
func (f *fleet) try(ctx context.Context, from *node, customer string, service time.Duration) bool {
	for _, name := range from.chooser.Order(time.Now(), from.load(), false) {
		to := f.find(name)
		if to == from && f.serve(ctx, to, customer, service) {
			return true
		}
		if to != from && f.relay(ctx, from, to, customer, service) {
			return true
		}
	}
	return false
}

func (n *node) load() PoolLoad {
	if vp := n.pools.Get(spillKey); vp != nil {
		return vp.Pool.Load()
	}
	return PoolLoad{}
}

func (f *fleet) relay(ctx context.Context, from, to *node, customer string, service time.Duration) bool {
	if !from.chooser.Begin(to.self.Name, time.Now(), false) {
		return false
	}
	defer func() { from.chooser.End(to.self.Name, time.Now(), spillBytes, spillBytes) }()
	delay := time.Millisecond
	if to.self.Region != from.self.Region {
		delay = 12 * time.Millisecond
		f.mu.Lock()
		f.far++
		f.mu.Unlock()
	}
	time.Sleep(delay)
	defer time.Sleep(delay)
	grants := to.pools.Get(spillKey).Grants
	if to.down.Load() || !grants.Begin(from.self.Name, to.load()) {
		return false
	}
	defer grants.End(from.self.Name)
	return f.serve(ctx, to, customer, service)
}

func (f *fleet) serve(ctx context.Context, at *node, customer string, service time.Duration) bool {
	vp := at.pools.Get(spillKey)
	if vp == nil || at.down.Load() {
		return false
	}
	l, err := vp.Pool.Acquire(ctx, Ticket{Customer: customer})
	if err != nil {
		return false
	}
	ok := f.workers[l.Upstream.Name].serve(ctx, service)
	l.Release(ResultOK)
	return ok
}

// run offers the load, as a fraction of the capacity, through nodes chosen by pick, and
// then waits for all requests. It calls onHeartbeat with the elapsed time before each
// heartbeat.
func (f *fleet) run(load float64, pick func(r *rand.Rand) *node, onHeartbeat func(age time.Duration)) {
	slots := 0
	for _, u := range f.table.Services[0].Upstreams {
		slots += u.Slots
	}
	rate := load * float64(slots) / experimentService.Seconds()
	time.Sleep(adoptionRamp)
	var running sync.WaitGroup
	started := time.Now()
	nextHeartbeat := started
	for time.Since(started) < spillTime {
		if time.Since(nextHeartbeat) >= 0 {
			nextHeartbeat = nextHeartbeat.Add(spillHeartbeat)
			onHeartbeat(time.Since(started))
			f.heartbeat()
		}
		time.Sleep(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration(f.random.ExpFloat64() * float64(experimentService))
		from := pick(f.random)
		customer := fmt.Sprint(f.random.IntN(8))
		running.Go(func() { f.request(from, customer, service) })
	}
	running.Wait()
}

// TestSpillBetweenOwners sends the requests of a whole fleet through all or one of its
// instances; one case loses a region during the run. It logs the measurements.
func TestSpillBetweenOwners(t *testing.T) {
	anyNode := func(f *fleet) func(*rand.Rand) *node {
		return func(r *rand.Rand) *node {
			for {
				if n := f.nodes[r.IntN(len(f.nodes))]; !n.down.Load() {
					return n
				}
			}
		}
	}
	oneNode := func(f *fleet) func(*rand.Rand) *node {
		return func(*rand.Rand) *node { return f.nodes[0] }
	}
	cases := []struct {
		name    string
		load    float64
		pick    func(f *fleet) func(*rand.Rand) *node
		lost    string
		refused float64
	}{
		{"all instances", 0.7, anyNode, "", 0.001},
		{"all instances", 1.0, anyNode, "", 0.1},
		{"one instance", 0.5, oneNode, "", 0.001},
		{"region lost", 0.5, anyNode, "r2", 0.01},
	}
	t.Logf("%-14s %4s %8s %8s %10s %10s", "case", "load", "refused", "far", "p50", "p99")
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s/%v", tc.name, tc.load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, failOnViolation(t))
				f.run(tc.load, tc.pick(f), func(age time.Duration) {
					if tc.lost != "" && age >= spillTime/2 {
						f.failRegion(tc.lost)
					}
				})
				refused := float64(f.refused) / float64(f.sent)
				p50, p99 := quantiles(f.latency)
				t.Logf("%-14s %4.1f %7.2f%% %7.1f%% %10v %10v", tc.name, tc.load, 100*refused, 100*float64(f.far)/float64(f.sent), p50, p99)
				assert.Check(t, refused <= tc.refused, "%s at %v", tc.name, tc.load)
			})
		})
	}
}

func (f *fleet) failRegion(region string) {
	for _, n := range f.nodes {
		if n.self.Region == region {
			n.down.Store(true)
		}
	}
	f.assignUpstreams()
}
