package overload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always(utilization float64) func() Room {
	return func() Room {
		return Room{Known: true, Utilization: utilization, ServiceTime: 300 * time.Millisecond}
	}
}

func request(priority int, customer string) Request {
	return Request{Service: "s", Priority: priority, Customer: customer, Object: 7, HasObject: true, Timeout: 6 * time.Second, Left: 6 * time.Second}
}

// limitedGate returns a gate after seconds of requests of both priorities at the utilization.
func limitedGate(utilization float64, seconds int) (*Gate, time.Time) {
	g := NewGate(func() float64 { return 0.5 })
	g.Configure(map[string]Priorities{"s": {0: 2 * time.Second, 3: 6 * time.Second}})
	now := start
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		g.Decide(now, request(0, "a"), always(utilization))
		g.Decide(now, request(3, "b"), always(utilization))
	}
	return g, now
}

// TestOnePriorityIsNeverLimited pins that a service whose routes and customers all have one priority
// is served as before, whatever its load: no request is refused or counted, and the room is not read.
func TestOnePriorityIsNeverLimited(t *testing.T) {
	for _, services := range []map[string]Priorities{nil, {"s": {}}, {"s": {2: time.Second}}} {
		g := NewGate(func() float64 { return 1 })
		g.Configure(services)
		assert.Assert(t, !g.Limits("s"))
		for n := range 1000 {
			r := request(2, fmt.Sprint(n%7))
			r.Left -= time.Duration(n) * time.Millisecond
			d := g.Decide(start.Add(time.Duration(n)*time.Millisecond), r, func() Room { t.Fatal("the room is read"); return Room{} })
			assert.DeepEqual(t, d, Decision{Admitted: true})
			assert.Equal(t, g.RetryAfter(r), time.Duration(0))
		}
	}
}

func TestLessUrgentPriorityIsLimitedFirstAndKeepsItsMinimum(t *testing.T) {
	for _, c := range []struct {
		utilization   float64
		urgent, least float64
	}{{0.5, 1, 1}, {1.29, 1, 1}, {1.7, 1, MinFraction}, {4, MinFraction, MinFraction}} {
		g, _ := limitedGate(c.utilization, 30)
		fractions := g.Fractions("s")
		assert.Equal(t, fractions[0], c.urgent, "at %g", c.utilization)
		assert.Equal(t, fractions[3], c.least, "at %g", c.utilization)
	}
}

func TestLimitEndsWithTheLoadAndWithoutReports(t *testing.T) {
	for name, room := range map[string]func() Room{"little load": always(0.5), "no reports": func() Room { return Room{} }} {
		g, now := limitedGate(1.7, 30)
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			g.Decide(now, request(3, "b"), room)
		}
		assert.Equal(t, g.Fractions("s")[3], 1.0, name)
	}
}

func TestReturnsGoAheadAndEarlyOnesAreRefused(t *testing.T) {
	g, now := limitedGate(1.7, 30)
	first := g.Decide(now, request(3, "b"), always(1.7))
	assert.Assert(t, !first.Admitted)
	assert.Assert(t, first.RetryAfter >= MinRetryAfter && first.RetryAfter <= 2*time.Second, "%v", first.RetryAfter)

	r := request(3, "b")
	r.Left -= first.RetryAfter / 4
	early := g.Decide(now, r, always(1.7))
	assert.Equal(t, early.Reason, EarlyReturn)
	assert.Assert(t, early.RetryAfter >= MinRetryAfter, "%v", early.RetryAfter)

	r.Left = r.Timeout - first.RetryAfter
	assert.DeepEqual(t, g.Decide(now, r, always(1.7)), Decision{Admitted: true, Reason: WithinShare})
}

// TestCustomersWithFewRequestsPassFirst guards against a customer with a multiple of the requests of
// another one taking its room.
func TestCustomersWithFewRequestsPassFirst(t *testing.T) {
	g, now := limitedGate(1.7, 30)
	passed := map[string]int{}
	for n := range 3000 {
		now = now.Add(10 * time.Millisecond)
		customer := "many"
		if n%20 == 0 {
			customer = "few"
		}
		if g.Decide(now, request(3, customer), always(1.7)).Admitted {
			passed[customer]++
		}
	}
	assert.Assert(t, passed["few"] >= 140, "%v", passed)
	assert.Assert(t, passed["many"] <= 10, "%v", passed)
}

// TestWaitsAreBounded guards against a refused caller being told a time after which it has given up,
// or none, whatever it states.
func TestWaitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := limitedGate(rapid.Float64Range(0, 5).Draw(t, "utilization"), 10)
		r := request(rapid.IntRange(0, 5).Draw(t, "priority"), "c")
		r.Object, r.HasObject = rapid.Uint64().Draw(t, "object"), rapid.Bool().Draw(t, "has object")
		r.Left = time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "left"))
		d := g.Decide(now, r, always(2))
		if d.Admitted {
			return
		}
		assert.Assert(t, d.RetryAfter >= MinRetryAfter && d.RetryAfter <= max(r.Timeout/maxTimePart, MinRetryAfter), "%v", d.RetryAfter)
	})
}
