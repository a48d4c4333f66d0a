package moves

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/internal/controltest"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/splitting"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/units"
)

const (
	testTick  = 100 * time.Millisecond
	fleetSize = 4
	// maxClockSkew is the largest difference of a node's clock from the true time.
	maxClockSkew = shift.ClockTolerance / 2
)

// seedCount is the number of random runs; their seeds start at 0.
var seedCount = flag.Uint64("moves.seeds", 30, "number of random runs")

// fleetNode is one entry instance with its driver and splits.
type fleetNode struct {
	*controltest.Node
	driver       *Driver
	registry     *splitting.Registry
	splits       *splitting.Snapshot
	objects      []dynamic.Move
	requestCount int
	movedCount   int
}

type fleet struct {
	t            *testing.T
	ctx          context.Context
	random       *rand.Rand
	store        *standin.Platform
	checker      *invariant.Checker
	nodes        []*fleetNode
	createdNodes int
	version      uint64
	objects      []dynamic.Move
	load         shift.Load
}

func newFleet(ctx context.Context, t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t:       t,
		ctx:     ctx,
		random:  rand.New(rand.NewPCG(seed, 7)),
		store:   standin.New(standin.Options{Seed: seed}),
		version: 1,
		load:    shift.Load{Slots: 100, InUse: 20, Healthy: 5},
	}
	f.checker = &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		t.Errorf("seed %d: invariant %s: %s", seed, name, detail)
	}}
	return f
}

func (f *fleet) addNode() *fleetNode {
	f.createdNodes++
	node := &fleetNode{
		Node:     controltest.NewNode(f.ctx, f.store, fmt.Sprintf("n%d", f.createdNodes), f.random.Uint64()),
		driver:   NewDriver(f.checker),
		registry: splitting.NewRegistry(f.checker),
	}
	node.Skew = time.Duration((2*f.random.Float64() - 1) * float64(maxClockSkew))
	node.Unfenced = f.random.IntN(3) == 0
	node.Executor.Add(platform.PrefixMoves, node.driver)
	node.Watch(platform.PrefixMoves, node.driver.Observe)
	f.nodes = append(f.nodes, node)
	f.configure(node)
	return node
}

func (f *fleet) configure(node *fleetNode) {
	node.objects = f.objects
	node.driver.Configure(f.version, f.objects)
}

// publish configures the objects on each node after a random delay of up to 3 s.
func (f *fleet) publish(objects ...dynamic.Move) {
	f.version++
	f.objects = objects
	version := f.version
	for _, node := range f.nodes {
		time.AfterFunc(time.Duration(f.random.IntN(3000))*time.Millisecond, func() {
			node.Post(func(time.Time) {
				if version == f.version {
					f.configure(node)
				}
			})
		})
	}
}

// step runs one tick on all nodes, with some requests.
func (f *fleet) step() {
	applied := f.applied()
	for _, node := range f.nodes {
		node.Tick(len(f.nodes), func(now time.Time) {
			node.driver.Tick(now)
			node.driver.SetInputs(Inputs{
				Loads:   map[Target]shift.Load{{"s", "b"}: f.load},
				Applied: applied,
			})
			node.splits = node.registry.Build(nil, node.driver.Shares(now, node.objects))
		})
		if node.Alive() {
			f.sendRequests(node)
		}
	}
	time.Sleep(testTick)
	synctest.Wait()
}

func (f *fleet) sendRequests(node *fleetNode) {
	maxShare := float64(testMove().Cap)
	for range f.random.IntN(5) {
		node.requestCount++
		if _, moved := node.splits.Domain("s", "a"); moved {
			node.movedCount++
		}
		if float64(node.movedCount) > maxShare*float64(node.requestCount) {
			f.t.Fatalf("%s moved %d of %d", node.Name, node.movedCount, node.requestCount)
		}
	}
}

func (f *fleet) applied() shift.AppliedSteps {
	lowest := shift.AppliedSteps{}
	for i, node := range f.nodes {
		steps := node.driver.Steps()
		for _, m := range f.objects {
			key := platform.PrefixMoves + m.Name
			if i == 0 || steps[key] < lowest[key] {
				lowest[key] = steps[key]
			}
		}
	}
	return lowest
}

// gossip sends the newer records of one random node to another.
func (f *fleet) gossip() {
	from := f.nodes[f.random.IntN(len(f.nodes))]
	to := f.nodes[f.random.IntN(len(f.nodes))]
	records := from.driver.NewerThan(to.driver.Steps())
	to.Post(func(now time.Time) {
		for _, value := range records {
			_, err := to.driver.Adopt(now, value)
			assert.NilError(f.t, err)
		}
	})
}

// injectFault pauses a node, replaces one, or changes the faults of the store or
// the load of the target in 5 of 60 calls on average.
func (f *fleet) injectFault() {
	switch f.random.IntN(60) {
	case 0:
		node := f.nodes[f.random.IntN(len(f.nodes))]
		node.PausedUntil = time.Now().Add(time.Duration(f.random.IntN(20)) * time.Second)
	case 1:
		i := f.random.IntN(len(f.nodes))
		f.nodes[i].Kill()
		f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
		f.addNode()
	case 2:
		outages := []standin.Outage{standin.OutageNone, standin.OutageNone, standin.OutageRefuse, standin.OutageHang}
		f.store.SetFaults(standin.Faults{
			Outage:      outages[f.random.IntN(len(outages))],
			LoseAnswers: 0.3 * f.random.Float64(),
			StaleReads:  0.5 * f.random.Float64(),
			StaleAge:    standin.Duration(2 * time.Second),
		})
	case 3:
		f.load.InUse = f.random.IntN(100)
	case 4:
		f.load.Healthy = f.random.IntN(3)
	}
}

func testMove() dynamic.Move {
	return dynamic.Move{
		Name: "m", Service: "s", From: "a", To: "b",
		Cap: 0.6, Step: 0.2,
		StepInterval: units.Duration(5 * time.Second),
		Deadline:     units.Duration(90 * time.Second),
	}
}

// storedMove reads the stored record with fault injection disabled. It returns
// nil if there is none.
func (f *fleet) storedMove(name string) *Move {
	faults := f.store.Faults()
	f.store.SetFaults(standin.Faults{})
	defer f.store.SetFaults(faults)
	entry, err := f.store.Get(f.ctx, platform.PrefixMoves+name)
	if err != nil {
		return nil
	}
	r, err := shift.Decode[dynamic.Move](entry.Value)
	assert.NilError(f.t, err)
	return r
}

// TestMovesEndUnderFaults guards against moves that stay open, exceed their cap or
// are applied past their deadline when nodes pause or restart and the store fails.
func TestMovesEndUnderFaults(t *testing.T) {
	endCounts := map[shift.State]int{}
	for seed := range *seedCount {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(time.Minute) // Goroutines of the nodes end.
			}()
			r := runMove(ctx, t, seed)
			endCounts[r.State]++
		})
	}
	t.Logf("ends: %v", endCounts)
	assert.Assert(t, endCounts[shift.Done] > 0 && endCounts[shift.TakenBack] > 0)
}

// runMove runs one move with fault injection until its deadline, lets the store
// recover, and returns its record.
func runMove(ctx context.Context, t *testing.T, seed uint64) *Move {
	f := newFleet(ctx, t, seed)
	for range fleetSize {
		f.addNode()
	}
	f.publish(testMove())
	started := f.awaitStart()
	deadline := started.Add(testMove().Deadline.Std())
	for time.Now().Before(deadline) {
		f.step()
		f.gossip()
		f.injectFault()
	}
	f.checkNoTrafficIsMoved()
	f.store.SetFaults(standin.Faults{})
	f.load = shift.Load{Slots: 100, InUse: 20, Healthy: 5}
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) {
		f.step()
	}
	r := f.storedMove("m")
	assert.Assert(t, r != nil && r.Ended(), "seed %d: not ended: %+v", seed, r)
	f.checkAllNodesApply(r)
	f.publish()
	for end = time.Now().Add(shift.TombstoneAge + 2*time.Minute); time.Now().Before(end); {
		f.step()
	}
	assert.Assert(t, f.storedMove("m") == nil, "seed %d: the record of a removed move is kept", seed)
	return r
}

func (f *fleet) awaitStart() time.Time {
	for {
		f.step()
		if f.storedMove("m") != nil {
			return time.Now()
		}
	}
}

// checkNoTrafficIsMoved checks that no running instance moves traffic for a move
// that it does not know to be done.
func (f *fleet) checkNoTrafficIsMoved() {
	for _, node := range f.nodes {
		if time.Now().Before(node.PausedUntil) {
			continue
		}
		r := node.driver.Record("m")
		share := node.driver.Share(node.Now(), testMove())
		assert.Assert(f.t, r == nil || r.State == shift.Done || share == 0, "%s still moves %v: %+v", node.Name, share, r)
	}
}

func (f *fleet) checkAllNodesApply(r *Move) {
	want := 0.0
	if r.State == shift.Done {
		want = float64(r.Object.Cap)
	}
	for _, node := range f.nodes {
		if time.Now().After(node.PausedUntil) {
			assert.Equal(f.t, node.driver.Share(node.Now(), testMove()), want, node.Name)
		}
	}
}
