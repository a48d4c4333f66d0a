package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// stated makes the upstream state its load and pace.
func stated(p *Pool, seconds float64, id string, requests, pace int) {
	p.learn(at(seconds), p.targets[id], Load{Known: true, Requests: requests, Pace: pace})
}

// TestPaceSaysNothingAfterAnAge guards against a figure that outlives the state of a machine.
func TestPaceSaysNothingAfterAnAge(t *testing.T) {
	p := newPool(1, Settings{})
	u := p.targets["u00"]
	assert.Equal(t, u.paceNow(at(1)), 1.0)
	stated(p, 1, "u00", 0, 250)
	for _, c := range []struct {
		age  time.Duration
		pace float64
	}{{-time.Second, 2.5}, {0, 2.5}, {maxPaceAge / 2, 1.75}, {maxPaceAge, 1}, {time.Hour, 1}} {
		assert.Equal(t, u.paceNow(at(1).Add(c.age)), c.pace, "after %v", c.age)
	}
	stated(p, 2, "u00", 0, 0)
	assert.Equal(t, u.paceNow(at(2)), 1.0, "a report without a pace does not renew it")
	assert.Equal(t, stretched(time.Second, 2.5), time.Second+paceHorizon*3/5)
	assert.Equal(t, stretched(100*time.Millisecond, 2.5), 250*time.Millisecond)
	assert.Equal(t, stretched(time.Second, 0.5), time.Second-paceHorizon)
}

// TestABusyAndSlowUpstreamLosesRequests shows that the pace is part of the expected time: the queue
// of the preferred upstream is short enough at the usual pace only.
func TestABusyAndSlowUpstreamLosesRequests(t *testing.T) {
	for _, c := range []struct {
		name           string
		requests       int
		pace, others   int
		order          int
		expectRefusal  bool
		othersRequests int
	}{
		{name: "idle and usual", pace: 100, others: 100, order: 1},
		{name: "idle and slow: caches decide", pace: 120, others: 100, order: 1},
		{name: "idle and usual, others fast", pace: 100, others: 10, order: 1},
		{name: "idle and much slower than the others", pace: 1000, others: 50, order: 2},
		{name: "a short queue", requests: slots + 1, pace: 100, others: 100, order: 1},
		{name: "a short queue, slow", requests: slots + 1, pace: 250, others: 100, order: 2},
		{name: "a long queue", requests: 3 * slots, pace: 100, others: 100, order: 2},
		{name: "all full", requests: 3 * slots, pace: 100, others: 100, othersRequests: 3 * slots, expectRefusal: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(2, Settings{})
			p.services["lookup"].serviceTime = 200 * time.Millisecond
			_, preferred := acquire(p, 0, 7)
			for id := range p.targets {
				if id == preferred {
					stated(p, 1, id, c.requests, c.pace)
				} else {
					stated(p, 1, id, c.othersRequests, c.others)
				}
			}
			lease, refusal := p.Acquire(at(1), query(7))
			assert.Equal(t, refusal != Chosen, c.expectRefusal)
			if refusal == Chosen {
				assert.Equal(t, lease.Choice.Order, c.order)
				assert.Assert(t, lease.Choice.Paced && lease.Choice.First)
			}
		})
	}
}

// TestInstancesSpreadTheExcessOfAnObject guards against one upstream that gets the excess of an
// object from all instances at once.
func TestInstancesSpreadTheExcessOfAnObject(t *testing.T) {
	used := map[string]int{}
	for n := range 40 {
		p := NewPool(Location{FailureDomain: "east-1", Region: "east", Instance: fmt.Sprint("i", n)})
		p.Configure(Settings{Regions: map[string]string{"east-1": "east"}})
		var all []*registry.Upstream
		for i := range 6 {
			all = append(all, upstreamIn(fmt.Sprintf("u%02d", i), "east-1"))
		}
		p.Update(all, nil)
		stated(p, 0, "u00", 0, 100)
		preferred, _ := p.PreferredUpstream(at(0), query(7))
		stated(p, 0, preferred, 3*slots, 100)
		second, _ := p.Acquire(at(0), query(7))
		stated(p, 0, second.Upstream.Name, slots, 100)
		third, refusal := p.Acquire(at(0), query(7))
		if refusal != Chosen {
			used["none"]++
			continue
		}
		used[third.Upstream.Name]++
	}
	assert.Equal(t, len(used), 2, "%v", used)
	assert.Assert(t, used["none"] >= 10 && used["none"] <= 30, "%v", used)
}

// TestNoRequestLeavesItsRegionForThePace guards the bound on shifts between regions: many slow
// machines at once would move many requests.
func TestNoRequestLeavesItsRegionForThePace(t *testing.T) {
	p := newPool(1, Settings{})
	p.Update([]*registry.Upstream{upstreamIn("u00", "east-1"), upstreamIn("far", "west-1")}, nil)
	p.services["lookup"].shares.byRegion = map[string]float64{"east": 1}
	p.services["lookup"].spill.tokens = spillBurst
	stated(p, 1, "far", 0, 50)
	stated(p, 1, "u00", slots, 1000)
	_, name := acquire(p, 1, 7)
	assert.Equal(t, name, "u00")
	stated(p, 1, "u00", 3*slots, 100)
	_, name = acquire(p, 1, 7)
	assert.Equal(t, name, "far")
}
