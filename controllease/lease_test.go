package controllease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/controllease"
	"samphireferry.example/ferry/internal/controltest"
	standin "samphireferry.example/ferry/standin/platform"
)

const (
	tick    = 100 * time.Millisecond
	members = 10
	// takeover bounds the time without a holder while the store answers.
	takeover = 3 * controllease.DefaultTTL
	// maxCallsPerSecond bounds the calls of the fleet for the control lease, a
	// small part of the 40 that the fleet may make for everything.
	maxCallsPerSecond = 5
)

type fleet struct {
	t     *testing.T
	store *standin.Platform
	nodes []*controltest.Node
}

func newFleet(ctx context.Context, t *testing.T) *fleet {
	f := &fleet{t: t, store: standin.New(standin.Options{Seed: 1})}
	for i := range members {
		f.nodes = append(f.nodes, controltest.NewNode(ctx, f.store, fmt.Sprintf("n%d", i), uint64(i)))
	}
	return f
}

// step runs one tick and checks that there is at most one holder.
func (f *fleet) step() *controltest.Node {
	var holder *controltest.Node
	for _, node := range f.nodes {
		node.Tick(members, func(time.Time) {})
		if !node.Alive() || !node.Lease.Held(node.Now()) {
			continue
		}
		assert.Assert(f.t, holder == nil, "%s and %s hold the lease", holder, node)
		holder = node
	}
	time.Sleep(tick)
	synctest.Wait()
	return holder
}

// runFor steps for the time and returns the last holder.
func (f *fleet) runFor(d time.Duration) *controltest.Node {
	var holder *controltest.Node
	for end := time.Now().Add(d); time.Now().Before(end); {
		holder = f.step()
	}
	return holder
}

func inBubble(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // Calls that hang and leases end.
		}()
		run(newFleet(ctx, t))
	})
}

func TestLeasePassesOn(t *testing.T) {
	inBubble(t, func(f *fleet) {
		first := f.runFor(takeover)
		assert.Assert(t, first != nil)
		first.Kill()
		second := f.runFor(takeover)
		assert.Assert(t, second != nil && second != first)

		second.PausedUntil = time.Now().Add(takeover)
		third := f.runFor(takeover)
		assert.Assert(t, third != nil && third != second, "a paused holder is replaced, and does not hold when it wakes")

		third.Resign()
		fourth := f.runFor(takeover)
		assert.Assert(t, fourth != nil && fourth != third)
	})
}

func TestCallsAreBoundedAlsoWhenTheStoreReturns(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.runFor(takeover)
		before := f.store.TotalCalls()
		f.runFor(100 * time.Second)
		steady := float64(f.store.TotalCalls()-before) / 100
		assert.Assert(t, steady <= maxCallsPerSecond, "%v calls a second", steady)

		f.store.SetFaults(standin.Faults{Outage: standin.OutageHang})
		f.runFor(5 * time.Minute)
		f.store.SetFaults(standin.Faults{})
		for range 30 {
			before = f.store.TotalCalls()
			f.runFor(time.Second)
			calls := f.store.TotalCalls() - before
			assert.Assert(t, calls <= 2*maxCallsPerSecond, "%d calls in one second", calls)
		}
		assert.Assert(t, f.runFor(2*time.Minute) != nil, "somebody holds the lease again")
		t.Logf("%.2f calls a second in steady state", steady)
	})
}

func TestOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		inBubble(t, func(f *fleet) {
			random := rand.New(rand.NewPCG(seed, 5))
			held := 0
			for range 1500 {
				if f.step() != nil {
					held++
				}
				disturb(f, random)
			}
			f.store.SetFaults(standin.Faults{})
			assert.Assert(t, f.runFor(2*time.Minute) != nil, "seed %d", seed)
			assert.Assert(t, held > 0, "seed %d", seed)
		})
	}
}

func disturb(f *fleet, random *rand.Rand) {
	switch random.IntN(60) {
	case 0:
		node := f.nodes[random.IntN(len(f.nodes))]
		node.PausedUntil = time.Now().Add(time.Duration(random.IntN(20)) * time.Second)
	case 1:
		f.store.SetFaults(standin.Faults{
			Outage:      []standin.Outage{standin.OutageNone, standin.OutageNone, standin.OutageHang}[random.IntN(3)],
			LoseAnswers: 0.3 * random.Float64(),
			StaleReads:  0.5 * random.Float64(),
			StaleAge:    standin.Duration(3 * time.Second),
			Delay:       standin.Duration(random.IntN(500)) * standin.Duration(time.Millisecond),
		})
	}
}
