package balancing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/routing"
)

// poolModel drives a Pool on a fake clock and counts the leases independently.
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

// TestPoolKeepsItsInvariants runs random sequences of requests, results, probes, drains
// and changes of the upstreams against a model.
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
	lease, w, err := m.pool.acquireOrEnqueue(context.Background(), t)
	switch {
	case w != nil:
		m.waiters = append(m.waiters, w)
	case err == nil:
		m.recordLease(rt, lease)
	}
}

func (m *poolModel) recordLease(rt *rapid.T, l Lease) {
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
		}
	}
	m.listed = next
	m.pool.Update(next)
}

func (m *poolModel) setLeaving(rt *rapid.T) {
	names := map[string]bool{m.anyName(rt): rapid.Bool().Draw(rt, "leaving")}
	m.leaving = names
	m.pool.SetLeaving(names)
}

// abandon removes the oldest waiter from the queue.
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

// collect records the leases that waiters have received and drops evicted waiters.
func (m *poolModel) collect(rt *rapid.T) {
	var still []*waiter
	for _, w := range m.waiters {
		select {
		case l := <-w.ready:
			if l.record != nil {
				m.recordLease(rt, l)
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
