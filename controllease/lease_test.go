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
	// takeoverTimeout is the longest time without a holder while the store is
	// available.
	takeoverTimeout = 3 * controllease.DefaultTTL
	// maxCallsPerSecond is the limit of the fleet's calls for the control lease, a
	// small fraction of the 40 calls per second that the fleet may make in all.
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

// step runs one tick on all nodes, checks that at most one of them holds the
// lease, and returns the holder, or nil.
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

// runFor steps the fleet for d and returns the holder at the last step, or nil.
func (f *fleet) runFor(d time.Duration) *controltest.Node {
	var holder *controltest.Node
	for end := time.Now().Add(d); time.Now().Before(end); {
		holder = f.step()
	}
	return holder
}

func runInBubble(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // Hanging calls and platform leases expire.
		}()
		run(newFleet(ctx, t))
	})
}

func TestLeaseIsTakenOver(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		first := f.runFor(takeoverTimeout)
		assert.Assert(t, first != nil)
		first.Kill()
		second := f.runFor(takeoverTimeout)
		assert.Assert(t, second != nil && second != first)

		second.PausedUntil = time.Now().Add(takeoverTimeout)
		third := f.runFor(takeoverTimeout)
		assert.Assert(t, third != nil && third != second, "a paused holder is replaced and does not hold the lease when it resumes")

		third.Resign()
		fourth := f.runFor(takeoverTimeout)
		assert.Assert(t, fourth != nil && fourth != third)
	})
}

func TestCallsAreBoundedAlsoAfterAnOutage(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.runFor(takeoverTimeout)
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
		assert.Assert(t, f.runFor(2*time.Minute) != nil, "no instance holds the lease after the outage")
		t.Logf("%.2f calls a second in steady state", steady)
	})
}

func TestOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		runInBubble(t, func(f *fleet) {
			random := rand.New(rand.NewPCG(seed, 5))
			held := 0
			for range 1500 {
				if f.step() != nil {
					held++
				}
				injectFaults(f, random)
			}
			f.store.SetFaults(standin.Faults{})
			assert.Assert(t, f.runFor(2*time.Minute) != nil, "seed %d", seed)
			assert.Assert(t, held > 0, "seed %d", seed)
		})
	}
}

func injectFaults(f *fleet, random *rand.Rand) {
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
