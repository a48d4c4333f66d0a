package balancing

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/routing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

func failOnViolation(t rapid.TB) *invariant.Checker {
	return &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		t.Fatalf("invariant %s: %s", name, detail)
	}}
}

func upstreams(slots ...int) []*routing.Upstream {
	list := make([]*routing.Upstream, len(slots))
	for i, n := range slots {
		list[i] = &routing.Upstream{Name: fmt.Sprintf("u%d", i), Version: "v1", Slots: n}
	}
	return list
}

// runInBubble runs a test of a pool in a synctest bubble, that is in synthetic time.
func runInBubble(t *testing.T, options PoolOptions, list []*routing.Upstream, run func(t *testing.T, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		options.Checker = failOnViolation(t)
		p := NewPool(options)
		p.Update(list)
		run(t, p)
	})
}

func acquire(t *testing.T, p *Pool) Lease {
	t.Helper()
	l, err := p.Acquire(t.Context(), Ticket{Customer: "a"})
	assert.NilError(t, err)
	return l
}

// TestEvidenceFromRequestsOutweighsProbes covers the ejection, the half-open phase and
// the return to use.
func TestEvidenceFromRequestsOutweighsProbes(t *testing.T) {
	runInBubble(t, PoolOptions{}, upstreams(4), func(t *testing.T, p *Pool) {
		healthy := ProbeResult{Upstream: "u0", Healthy: true, Load: -1}
		unhealthy := ProbeResult{Upstream: "u0", Load: -1}

		acquire(t, p).Release(ResultOK)
		p.Observe(unhealthy)
		assert.Equal(t, p.Load().Slots, 4, "requests succeed while the probe fails")
		time.Sleep(maxEvidenceAge + time.Millisecond)
		assert.Equal(t, p.Load().Slots, 0, "the failed probe is the only evidence")
		l := acquire(t, p)
		l.Release(ResultOK)
		assert.Equal(t, p.Load().Slots, 4, "a single request as a last resort has succeeded")

		for range failuresToEject {
			acquire(t, p).Release(ResultFailed)
		}
		p.Observe(healthy)
		_, err := p.Acquire(t.Context(), Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.NoUpstream, "a healthy probe does not end an ejection")
		time.Sleep(minEjection)
		for range halfOpenSuccesses {
			l := acquire(t, p)
			assert.Equal(t, p.Load().Slots, 1, "one request at a time")
			l.Release(ResultOK)
		}
		assert.Equal(t, p.Load().Slots, 1, "the ramp has begun")
		time.Sleep(defaultRamp)
		assert.Assert(t, p.Load().Slots >= 3)
	})
}

// TestErrorStatusesNeverEjectMostUpstreams guards against a request that fails on every
// upstream ejecting most of them.
func TestErrorStatusesNeverEjectMostUpstreams(t *testing.T) {
	runInBubble(t, PoolOptions{}, upstreams(4, 4, 4, 4), func(t *testing.T, p *Pool) {
		for range 40 * errorsToEject {
			acquire(t, p).Release(ResultError)
		}
		assert.Assert(t, p.Load().Slots >= 8)
	})
}

func TestShedsLowerTheLimitAndBackOff(t *testing.T) {
	runInBubble(t, PoolOptions{}, upstreams(8), func(t *testing.T, p *Pool) {
		acquire(t, p).Release(ResultShed)
		before := time.Now()
		l := acquire(t, p)
		assert.Equal(t, time.Since(before), minShedBackoff)
		l.Release(ResultOK)
		assert.Equal(t, p.Load().Slots, 6)
		for range 20 {
			var leases []Lease
			for range p.Load().Slots {
				leases = append(leases, acquire(t, p))
			}
			for _, l := range leases {
				l.Release(ResultOK)
			}
		}
		assert.Equal(t, p.Load().Slots, 8, "the limit rises again")
	})
}

// TestDrainStopsNewWorkAtOnce applies each sign of a drain while requests wait.
func TestDrainStopsNewWorkAtOnce(t *testing.T) {
	drained := upstreams(1)
	drained[0].Drained = true
	signs := map[string]func(p *Pool){
		"operator": func(p *Pool) { p.Update(drained) },
		"probe":    func(p *Pool) { p.Observe(ProbeResult{Upstream: "u0", Healthy: true, Draining: true, Load: -1}) },
		"platform": func(p *Pool) { p.SetLeaving(map[string]bool{"u0": true}) },
	}
	for name, sign := range signs {
		runInBubble(t, PoolOptions{}, upstreams(1), func(t *testing.T, p *Pool) {
			running := acquire(t, p)
			go func() {
				_, err := p.Acquire(t.Context(), Ticket{Customer: "a"})
				assert.Check(t, err != nil, name)
			}()
			synctest.Wait()
			sign(p)
			running.Release(ResultOK)
			_, err := p.Acquire(t.Context(), Ticket{Customer: "a"})
			assert.Equal(t, errkind.Of(err), errkind.NoUpstream, name)
		})
	}
}

// TestQueueIsFairByWeight keeps three customers waiting: one with many clients, one with
// fewer clients but three times the weight, and a deferrable one.
func TestQueueIsFairByWeight(t *testing.T) {
	runInBubble(t, PoolOptions{QueueTimeout: time.Second}, upstreams(4), func(t *testing.T, p *Pool) {
		served := map[string]int{}
		refused := map[errkind.Kind]int{}
		var mu sync.Mutex
		var running sync.WaitGroup
		client := func(ticket Ticket) {
			for range 200 {
				l, err := p.Acquire(t.Context(), ticket)
				if err != nil {
					mu.Lock()
					refused[errkind.Of(err)]++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
					continue
				}
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				served[ticket.Customer]++
				mu.Unlock()
				l.Release(ResultOK)
			}
		}
		for range 20 {
			running.Go(func() { client(Ticket{Customer: "large", Weight: 1}) })
		}
		for range 8 {
			running.Go(func() { client(Ticket{Customer: "weighted", Weight: 3}) })
		}
		for range 4 {
			running.Go(func() { client(Ticket{Customer: "deferred", Deferrable: true}) })
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		large, weighted, deferred := served["large"], served["weighted"], served["deferred"]
		mu.Unlock()
		running.Wait()
		total := large + weighted + deferred
		assert.Assert(t, total >= 700, "%v", total)
		assert.Assert(t, weighted > 2*large && weighted < 4*large, "%d %d", weighted, large)
		assert.Assert(t, deferred < total/50, "%d", deferred)
	})
}

// TestAcquireRefusesInTime covers the error kinds and the duration of a wait.
func TestAcquireRefusesInTime(t *testing.T) {
	runInBubble(t, PoolOptions{QueueLength: 2}, upstreams(1), func(t *testing.T, p *Pool) {
		_, err := NewPool(PoolOptions{}).Acquire(t.Context(), Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.NoUpstream)
		running := acquire(t, p)
		defer running.Release(ResultOK)

		started := time.Now()
		_, err = p.Acquire(t.Context(), Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.QueueTimeout)
		assert.Equal(t, time.Since(started), defaultQueueTimeout)

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = p.Acquire(ctx, Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)

		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err = p.Acquire(ctx, Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.CallerGone)

		var full, evicted error
		for range 2 {
			go func() {
				_, err := p.Acquire(t.Context(), Ticket{Customer: "large"})
				if errkind.Of(err) == errkind.Overloaded {
					evicted = err
				}
			}()
		}
		synctest.Wait()
		_, full = p.Acquire(t.Context(), Ticket{Customer: "large"})
		assert.Equal(t, errkind.Of(full), errkind.Overloaded)
		_, err = p.Acquire(t.Context(), Ticket{Customer: "small"})
		assert.Equal(t, errkind.Of(err), errkind.QueueTimeout)
		synctest.Wait()
		assert.Equal(t, errkind.Of(evicted), errkind.Overloaded)
		assert.Equal(t, p.Load().Queued, 0)
	})
}
