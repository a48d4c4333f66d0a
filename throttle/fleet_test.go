package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
)

// The times of the simulated fleet.
const (
	simStep = 10 * time.Millisecond
	// detection is the time after which others notice that an instance does not respond,
	// or responds again.
	detection  = 3 * time.Second
	delisting  = 12 * time.Second
	simWindow  = 4 * time.Second
	limitStart = 5.0
)

// simNode is one instance of a simulated fleet.
type simNode struct {
	throttle *Throttle
	instance Instance
	started  time.Time
	// down is set while the instance is not running or is frozen, cut while no other
	// instance reaches it; changedAt is when either last changed.
	down, cut bool
	changedAt time.Time
	// leaving is set while the instance finishes the requests of its callers; the others
	// know it.
	leaving bool
	// toldAt is when a response with a limit first arrived at this process.
	toldAt time.Time
}

// simEvent is a message on its way.
type simEvent struct {
	at time.Time
	do func(now time.Time)
}

// fleet simulates instances that send requests to one upstream.
type fleet struct {
	random *rand.Rand
	nodes  []*simNode
	events []simEvent
	// limit returns what the upstream states at a number of seconds after the start.
	limit func(seconds float64) (rate float64, limited bool)
	// arrived holds all arrivals, counted those from instances that were told of the
	// limit and were not disturbed.
	arrived, counted []time.Time
	asked, denied    int
	// serviceTime is how long the upstream takes for a response.
	serviceTime time.Duration
	// quiet reports whether callers send nothing at a number of seconds after the start;
	// nil means never.
	quiet func(seconds float64) bool
}

func newFleet(seed uint64, instances int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), serviceTime: 50 * time.Millisecond}
	for n := range instances {
		f.nodes = append(f.nodes, f.newNode(n, at(-10)))
	}
	return f
}

func (f *fleet) newNode(n int, started time.Time) *simNode {
	const domains = 6
	return &simNode{throttle: New(), started: started, changedAt: at(-100), instance: Instance{
		Name: fmt.Sprint("e", n), Address: fmt.Sprint(n), FailureDomain: fmt.Sprint("d", n%domains), Region: fmt.Sprint("r", n%3),
	}}
}

func (f *fleet) after(now time.Time, delay time.Duration, do func(now time.Time)) {
	f.events = append(f.events, simEvent{now.Add(delay), do})
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(14*time.Millisecond)))
}

func reachable(a, b *simNode) bool { return !b.down && !a.cut && !b.cut }

// maxCompleteView is the size of a fleet up to which views hold all instances. In larger
// ones, those of the upstream's failure domain are so many that one is always usable.
const maxCompleteView = 30

// instances implements Others.
type instances []Instance

// InDomain implements Others.
func (all instances) InDomain(failureDomain string) []Instance {
	return lo.Filter(all, func(i Instance, _ int) bool { return i.FailureDomain == failureDomain })
}

// All implements Others.
func (all instances) All() []Instance { return all }

// view returns how the node sees the others: changes show after the detection time.
func (f *fleet) view(now time.Time, self *simNode) instances {
	var others instances
	for _, n := range f.nodes {
		if n == self || len(f.nodes) > maxCompleteView && n.instance.FailureDomain != "d0" {
			continue
		}
		i := n.instance
		noticed := now.Sub(later(n.changedAt, self.changedAt)) > detection
		i.Usable = reachable(self, n) == noticed && !n.leaving
		i.MayRun = (!n.down || now.Sub(n.changedAt) < delisting) && !n.leaving
		others = append(others, i)
	}
	return others
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *fleet) assign(now time.Time, n *simNode) {
	settled := now.Sub(n.started) > 5*time.Second
	self := n.instance
	self.Usable = !n.leaving
	n.throttle.Assign(now, func(upstream string) Allocator {
		return ChooseAllocator(upstream, "d0", "r0", self, settled, f.view(now, n))
	})
}

// request is one request of a caller at the node.
func (f *fleet) request(now time.Time, n *simNode) {
	f.asked++
	verdict, address := n.throttle.Take(now, "u")
	switch verdict {
	case Allowed:
		f.send(now, n)
	case Denied:
		f.denied++
	case Ask:
		f.ask(now, n, address)
	}
}

func (f *fleet) ask(now time.Time, n *simNode, address string) {
	index := slices.IndexFunc(f.nodes, func(other *simNode) bool { return other.instance.Address == address })
	allocator := f.nodes[index]
	if !reachable(n, allocator) {
		f.after(now, 100*time.Millisecond, func(now time.Time) {
			f.denied++
			n.throttle.Deny(now, "u", 0)
		})
		return
	}
	limit := n.throttle.Limits()["u"]
	f.after(now, f.delay(), func(now time.Time) {
		allocator.throttle.Merge("u", limit)
		granted, retryAfter := allocator.throttle.Grant(now, "u")
		answer, known := allocator.throttle.Limits()["u"]
		f.after(now, f.delay(), func(now time.Time) {
			if known {
				n.throttle.Merge("u", answer)
			}
			if granted {
				f.send(now, n)
				return
			}
			f.denied++
			n.throttle.Deny(now, "u", retryAfter)
		})
	})
}

// send delivers a request to the upstream and its response to the node.
func (f *fleet) send(sent time.Time, n *simNode) {
	if n.down {
		return
	}
	process := n.throttle
	f.after(sent, f.delay(), func(now time.Time) {
		rate, limited := f.limit(now.Sub(start).Seconds())
		f.arrived = append(f.arrived, now)
		told := !n.toldAt.IsZero() && sent.Sub(n.toldAt) >= 500*time.Millisecond
		if told && !n.cut && now.Sub(n.changedAt) > detection {
			f.counted = append(f.counted, now)
		}
		f.after(now, f.serviceTime, func(now time.Time) {
			if n.throttle != process {
				return
			}
			if limited && n.toldAt.IsZero() {
				n.toldAt = now
			}
			n.throttle.Observe(now, sent, "u", limited, rate)
		})
	})
}

// gossip exchanges the limits of the node with some others, as heartbeats do.
func (f *fleet) gossip(n *simNode) {
	limits := n.throttle.Limits()
	for range min(len(f.nodes)-1, 5) {
		other := f.nodes[f.random.IntN(len(f.nodes))]
		if n.down || !reachable(n, other) {
			continue
		}
		for upstream, limit := range limits {
			other.throttle.Merge(upstream, limit)
		}
	}
}

// run simulates the seconds with the demand in requests per second; at each step, disturb
// may change the fleet.
func (f *fleet) run(seconds, demand float64, disturb func(now time.Time)) {
	for now := at(0); now.Before(at(seconds)); now = now.Add(simStep) {
		pending := f.events
		f.events = nil
		for _, e := range pending {
			if e.at.After(now) {
				f.events = append(f.events, e)
				continue
			}
			e.do(e.at)
		}
		if disturb != nil {
			disturb(now)
		}
		tick := now.Sub(start) % (500 * time.Millisecond)
		for _, n := range f.nodes {
			if n.down {
				continue
			}
			if tick == 0 || !n.throttle.assignedOnce() {
				n.throttle.Tick(now, func(string) bool { return true })
				f.assign(now, n)
			}
			if now.Sub(start)%time.Second == 0 {
				f.gossip(n)
			}
		}
		if f.quiet != nil && f.quiet(now.Sub(start).Seconds()) {
			continue
		}
		if f.random.Float64() < demand*simStep.Seconds() {
			if n := f.nodes[f.random.IntN(len(f.nodes))]; !n.down {
				f.request(now, n)
			}
		}
	}
}

// assignedOnce reports whether every limited upstream has an allocator.
func (t *Throttle) assignedOnce() bool {
	for _, s := range t.upstreams {
		if s.limit.Limited && !s.assigned {
			return false
		}
	}
	return true
}

// worst returns the largest number of arrivals in a window of simWindow that lies after
// the time, in seconds.
func worst(arrived []time.Time, from, to float64) int {
	most, first := 0, 0
	for i, t := range arrived {
		for t.Sub(arrived[first]) >= simWindow {
			first++
		}
		if arrived[first].After(at(from)) && t.Before(at(to)) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func between(arrived []time.Time, from, to float64) int {
	n := 0
	for _, t := range arrived {
		if t.After(at(from)) && t.Before(at(to)) {
			n++
		}
	}
	return n
}

// allowed is the bound on the requests in simWindow at the rate.
func allowed(rate float64) int { return int(1.5*rate*simWindow.Seconds()) + 5 }

func constant(rate float64) func(float64) (float64, bool) {
	return func(seconds float64) (float64, bool) {
		if seconds < limitStart {
			return 0, false
		}
		return rate, true
	}
}

func TestASteadyFleetUsesTheRateAndKeepsIt(t *testing.T) {
	const settled = limitStart + 3
	for _, instances := range []int{10, 85, 300} {
		for _, rate := range []float64{0.5, 1.1, 3.4, 20}[min(instances/150, 1):] {
			for seed := range uint64(max(3-instances/40, 1)) {
				t.Run(fmt.Sprintf("instances=%d/rate=%v/seed=%d", instances, rate, seed), func(t *testing.T) {
					f := newFleet(seed, instances)
					f.limit = constant(rate)
					f.run(60, 3*rate+5, nil)
					assert.Assert(t, worst(f.arrived, settled, 60) <= allowed(rate), "%d requests, %d allowed", worst(f.arrived, settled, 60), allowed(rate))
					used := float64(between(f.arrived, settled, 60)) / (60 - settled)
					assert.Assert(t, used >= 0.9*rate, "%.2f requests a second of %.2f are used", used, rate)
				})
			}
		}
	}
}

func TestDemandBelowTheRateIsSeldomDenied(t *testing.T) {
	for _, instances := range []int{10, 300} {
		for _, rate := range []float64{3.4, 20} {
			f := newFleet(1, instances)
			f.limit = constant(rate)
			f.run(120, 0.6*rate, nil)
			share := float64(f.denied) / float64(f.asked)
			t.Logf("%d instances, rate %v: %.3f of the requests denied", instances, rate, share)
			assert.Assert(t, share < 0.15, "%d of %d requests denied", f.denied, f.asked)
		}
	}
}

func TestTheRateIsKeptWhileInstancesFail(t *testing.T) {
	for _, instances := range []int{10, 85, 300} {
		for _, rate := range []float64{1.1, 3.4, 8}[min(instances/150, 1):] {
			for seed := range uint64(max(8-instances/40, 1)) {
				t.Run(fmt.Sprintf("instances=%d/rate=%v/seed=%d", instances, rate, seed), func(t *testing.T) {
					f := newFleet(seed, instances)
					f.limit = constant(rate)
					f.run(90, 4*rate+5, f.disturbances())
					assert.Assert(t, worst(f.counted, limitStart+3, 90) <= allowed(rate), "%d requests, %d allowed", worst(f.counted, limitStart+3, 90), allowed(rate))
				})
			}
		}
	}
}

// disturbances returns a function that now and then restarts, freezes or cuts off one of
// the instances, most often an allocator.
func (f *fleet) disturbances() func(now time.Time) {
	return func(now time.Time) {
		if f.random.Float64() > simStep.Seconds()/6 {
			return
		}
		n := f.nodes[f.random.IntN(len(f.nodes))]
		for _, candidate := range f.nodes {
			s := candidate.throttle.upstreams["u"]
			if f.random.IntN(3) > 0 && !candidate.down && s != nil && s.allocator.Self {
				n = candidate
			}
		}
		if n.down || n.cut {
			return
		}
		duration := time.Duration(f.random.Int64N(int64(10 * time.Second)))
		n.changedAt = now
		switch f.random.IntN(3) {
		case 0:
			n.down = true
			f.after(now, duration, func(now time.Time) {
				n.throttle, n.started, n.toldAt = New(), now, time.Time{}
				n.down, n.changedAt = false, now
			})
		case 1:
			n.down = true
			f.after(now, duration, func(now time.Time) { n.down, n.changedAt = false, now })
		case 2:
			n.cut = true
			f.after(now, duration, func(now time.Time) { n.cut, n.changedAt = false, now })
		}
	}
}

func TestAChangedOrEndedLimitIsNoticed(t *testing.T) {
	for _, instances := range []int{10, 85, 300} {
		f := newFleet(1, instances)
		f.limit = func(seconds float64) (float64, bool) {
			switch {
			case seconds < 20:
				return constant(10)(seconds)
			case seconds < 40:
				return 1, true
			case seconds < 60:
				return 5, true
			}
			return 0, false
		}
		f.run(80, 20, nil)
		assert.Assert(t, worst(f.arrived, 23, 40) <= allowed(1), "a lower rate: %d requests in a window, %d allowed", worst(f.arrived, 23, 40), allowed(1))
		assert.Assert(t, worst(f.arrived, 43, 60) <= allowed(5))
		raised := float64(between(f.arrived, 46, 60)) / 14
		assert.Assert(t, raised >= 0.9*5, "a higher rate: %.2f requests a second", raised)
		ended := float64(between(f.arrived, 70, 80)) / 10
		assert.Assert(t, ended >= 0.9*20, "%d instances, no limit any more: %.2f requests a second", instances, ended)
	}
}

func TestInstancesThatJoinKeepTheRate(t *testing.T) {
	const rate = 3.4
	for seed := range uint64(10) {
		f := newFleet(seed, 10)
		f.limit = constant(rate)
		f.run(90, 20, func(now time.Time) {
			elapsed := now.Sub(at(20))
			if elapsed < 0 || elapsed%(4*time.Second) != 0 || len(f.nodes) >= 24 {
				return
			}
			n := f.newNode(len(f.nodes), now)
			n.instance.FailureDomain, n.instance.Region = "d0", "r0"
			f.nodes = append(f.nodes, n)
		})
		assert.Assert(t, worst(f.arrived, limitStart+3, 90) <= allowed(rate), "seed %d: %d requests, %d allowed", seed, worst(f.arrived, limitStart+3, 90), allowed(rate))
	}
}

func TestALimitOfNothingIsTriedAgain(t *testing.T) {
	f := newFleet(1, 10)
	f.limit = func(seconds float64) (float64, bool) { return 0, seconds < 30 }
	f.run(60, 10, nil)
	assert.Assert(t, worst(f.arrived, 8, 30) <= 5)
	assert.Assert(t, between(f.arrived, 50, 60) >= 80, "the end of the limit is noticed")
}

// Guards against requests beyond the rate of an upstream that nobody sent to for a while: its
// limit was dropped, and came into force again only with the first response.
func TestAnUpstreamThatWasQuietKeepsItsLimit(t *testing.T) {
	const rate = 1.1
	for seed := range uint64(5) {
		f := newFleet(seed, 10)
		f.limit, f.serviceTime = constant(rate), time.Second
		f.quiet = func(seconds float64) bool { return seconds > 20 && seconds < 60 }
		f.run(90, 40, nil)
		assert.Assert(t, worst(f.counted, limitStart+3, 90) <= allowed(rate), "seed %d: %d requests, %d allowed", seed, worst(f.counted, limitStart+3, 90), allowed(rate))
	}
}

// Guards against two allocators at the full rate: one that was leaving went on granting
// permits to its own callers beside the next one.
func TestInstancesThatLeaveKeepTheRate(t *testing.T) {
	for _, rate := range []float64{1.1, 3.4, 20} {
		for seed := range uint64(3) {
			f := newFleet(seed, 10)
			f.limit = constant(rate)
			f.run(60, 20*rate+20, func(now time.Time) {
				elapsed := now.Sub(at(10))
				if elapsed < 0 || elapsed%(6*time.Second) != 0 {
					return
				}
				for _, n := range f.nodes {
					if s := n.throttle.upstreams["u"]; s != nil && s.allocator.Self && !n.leaving {
						n.leaving = true
						f.after(now, 5*time.Second, func(now time.Time) { n.down, n.changedAt = true, now })
					}
				}
			})
			assert.Assert(t, worst(f.arrived, limitStart+3, 60) <= allowed(rate), "rate %v, seed %d: %d requests, %d allowed", rate, seed, worst(f.arrived, limitStart+3, 60), allowed(rate))
		}
	}
}
