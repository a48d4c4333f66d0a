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

// poolModel drives a Pool on a fake clock and counts leases on its own.
type poolModel struct {
	pool    *Pool
	now     time.Time
	listed  []*routing.Upstream
	leaving map[string]bool
	probed  map[string]bool
	leases  []Lease
	waiters []*waiter
	running map[string]int
}

// TestPoolKeepsItsInvariants runs random sequences of requests, results,
// probes, drains and changes of the upstreams.
func TestPoolKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &poolModel{now: time.Unix(1000, 0), leaving: map[string]bool{}, probed: map[string]bool{}, running: map[string]int{}}
		m.pool = NewPool(PoolOptions{Now: func() time.Time { return m.now }, Checker: failOnViolation(rt)})
		m.listed = upstreams(3, 5, 9)
		m.pool.Update(m.listed)
		rt.Repeat(map[string]func(*rapid.T){
			"acquire":  m.acquire,
			"acquire2": m.acquire,
			"release":  m.release,
			"probe":    m.probe,
			"update":   m.update,
			"leaving":  m.setLeaving,
			"abandon":  m.abandon,
			"cold":     func(rt *rapid.T) { m.pool.MarkCold(m.anyName(rt)) },
			"advance": func(rt *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

func (m *poolModel) anyName(rt *rapid.T) string {
	return rapid.SampledFrom([]string{"u0", "u1", "u2"}).Draw(rt, "upstream")
}

func (m *poolModel) acquire(rt *rapid.T) {
	t := Ticket{
		Customer:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer"),
		Weight:     rapid.IntRange(0, 3).Draw(rt, "weight"),
		Deferrable: rapid.Bool().Draw(rt, "deferrable"),
	}
	lease, w, err := m.pool.start(context.Background(), t)
	switch {
	case w != nil:
		m.waiters = append(m.waiters, w)
	case err == nil:
		m.hold(rt, lease)
	}
}

func (m *poolModel) hold(rt *rapid.T, l Lease) {
	m.leases = append(m.leases, l)
	m.running[l.Upstream.Name]++
	assert.Assert(rt, m.running[l.Upstream.Name] <= l.Upstream.Slots)
	assert.Assert(rt, !m.leaving[l.Upstream.Name] && !m.probed[l.Upstream.Name])
	assert.Assert(rt, !l.Upstream.Drained)
}

func (m *poolModel) release(rt *rapid.T) {
	if len(m.leases) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.leases)-1).Draw(rt, "lease")
	l := m.leases[i]
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
	m.running[l.Upstream.Name]--
	l.Release(Result(rapid.IntRange(0, int(ResultCanceled)).Draw(rt, "result")))
	if rapid.Bool().Draw(rt, "twice") {
		l.Release(ResultOK)
	}
}

func (m *poolModel) probe(rt *rapid.T) {
	r := ProbeResult{
		Upstream: m.anyName(rt),
		Healthy:  rapid.Bool().Draw(rt, "healthy"),
		Draining: rapid.Bool().Draw(rt, "draining"),
		Cold:     rapid.Bool().Draw(rt, "cold"),
		Load:     rapid.Float64Range(-1, 3).Draw(rt, "load"),
		At:       m.now,
	}
	if m.isListed(r.Upstream) {
		m.probed[r.Upstream] = r.Draining
	}
	m.pool.Observe(r)
}

func (m *poolModel) isListed(name string) bool {
	for _, u := range m.listed {
		if u.Name == name {
			return true
		}
	}
	return false
}

func (m *poolModel) update(rt *rapid.T) {
	var next []*routing.Upstream
	for _, u := range upstreams(3, 5, 9) {
		if !rapid.Bool().Draw(rt, "listed") {
			continue
		}
		u.Drained = rapid.IntRange(0, 3).Draw(rt, "drained") == 0
		next = append(next, u)
		if !m.isListed(u.Name) && m.running[u.Name] == 0 {
			m.probed[u.Name] = false
			m.leaving[u.Name] = false
		}
	}
	m.listed = next
	m.pool.Update(next)
}

func (m *poolModel) setLeaving(rt *rapid.T) {
	names := map[string]bool{m.anyName(rt): rapid.Bool().Draw(rt, "leaving")}
	for _, u := range m.listed {
		m.leaving[u.Name] = names[u.Name]
	}
	m.pool.SetLeaving(names)
}

// abandon ends the wait of the oldest waiter.
func (m *poolModel) abandon(rt *rapid.T) {
	m.collect(rt)
	if len(m.waiters) == 0 {
		return
	}
	m.pool.mu.Lock()
	assert.Assert(rt, m.pool.queue.remove(m.waiters[0]))
	m.pool.mu.Unlock()
	m.waiters = m.waiters[1:]
}

// collect takes the leases that waiters have got.
func (m *poolModel) collect(rt *rapid.T) {
	var still []*waiter
	for _, w := range m.waiters {
		select {
		case l := <-w.ready:
			if l.grant != nil {
				m.hold(rt, l)
			}
		default:
			still = append(still, w)
		}
	}
	m.waiters = still
}

func (m *poolModel) check(rt *rapid.T) {
	m.collect(rt)
	load := m.pool.Load()
	assert.Equal(rt, load.InUse, len(m.leases))
	assert.Equal(rt, load.Queued, len(m.waiters))
	for _, u := range m.listed {
		assert.Equal(rt, m.pool.byName[u.Name].inUse, m.running[u.Name], u.Name)
	}
}

// bubble is a pool under synthetic time.
func bubble(t *testing.T, options PoolOptions, list []*routing.Upstream, run func(t *testing.T, p *Pool)) {
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

// TestEvidenceFromRequestsOutweighsProbes covers ejection, trial and return.
func TestEvidenceFromRequestsOutweighsProbes(t *testing.T) {
	bubble(t, PoolOptions{}, upstreams(4), func(t *testing.T, p *Pool) {
		healthy := ProbeResult{Upstream: "u0", Healthy: true, Load: -1}
		unhealthy := ProbeResult{Upstream: "u0", Load: -1}

		acquire(t, p).Release(ResultOK)
		p.Observe(unhealthy)
		assert.Equal(t, p.Load().Slots, 4, "requests succeed while the probe fails")
		time.Sleep(evidenceAge + time.Millisecond)
		assert.Equal(t, p.Load().Slots, 0, "nothing but the failed probe is known")
		l := acquire(t, p)
		l.Release(ResultOK)
		assert.Equal(t, p.Load().Slots, 4, "a single request as a last resort has succeeded")

		for range maxFailures {
			acquire(t, p).Release(ResultFailed)
		}
		p.Observe(healthy)
		_, err := p.Acquire(t.Context(), Ticket{})
		assert.Equal(t, errkind.Of(err), errkind.NoUpstream, "a healthy probe does not end an ejection")
		time.Sleep(firstEjection)
		for range trialSuccesses {
			l := acquire(t, p)
			assert.Equal(t, p.Load().Slots, 1, "one request at a time")
			l.Release(ResultOK)
		}
		assert.Equal(t, p.Load().Slots, 1, "the ramp has begun")
		time.Sleep(defaultRamp)
		assert.Assert(t, p.Load().Slots >= 3)
	})
}

// TestErrorStatusesNeverEjectMostUpstreams has a request that fails everywhere.
func TestErrorStatusesNeverEjectMostUpstreams(t *testing.T) {
	bubble(t, PoolOptions{}, upstreams(4, 4, 4, 4), func(t *testing.T, p *Pool) {
		for range 40 * maxErrors {
			acquire(t, p).Release(ResultError)
		}
		assert.Assert(t, p.Load().Slots >= 8)
	})
}

func TestShedsLowerTheLimitAndBackOff(t *testing.T) {
	bubble(t, PoolOptions{}, upstreams(8), func(t *testing.T, p *Pool) {
		acquire(t, p).Release(ResultShed)
		before := time.Now()
		l := acquire(t, p)
		assert.Equal(t, time.Since(before), firstShedBackoff)
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

// TestDrainStopsNewWorkAtOnce shows each sign of a drain while requests wait.
func TestDrainStopsNewWorkAtOnce(t *testing.T) {
	drained := upstreams(1)
	drained[0].Drained = true
	signs := map[string]func(p *Pool){
		"operator": func(p *Pool) { p.Update(drained) },
		"probe":    func(p *Pool) { p.Observe(ProbeResult{Upstream: "u0", Healthy: true, Draining: true, Load: -1}) },
		"platform": func(p *Pool) { p.SetLeaving(map[string]bool{"u0": true}) },
	}
	for name, sign := range signs {
		bubble(t, PoolOptions{}, upstreams(1), func(t *testing.T, p *Pool) {
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

// TestQueueIsFairByWeight keeps two customers waiting, one of which sends five
// times as much, and a deferrable one.
func TestQueueIsFairByWeight(t *testing.T) {
	bubble(t, PoolOptions{QueueTimeout: time.Second}, upstreams(4), func(t *testing.T, p *Pool) {
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

// TestAcquireRefusesInTime covers the error kinds of a wait.
func TestAcquireRefusesInTime(t *testing.T) {
	bubble(t, PoolOptions{QueueLength: 2}, upstreams(1), func(t *testing.T, p *Pool) {
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
