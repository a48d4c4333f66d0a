package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

const slots = 4

func upstreamIn(id, domain string) *registry.Upstream {
	return &registry.Upstream{Entry: registry.Entry{
		ID: id, Address: "10.0.0.1:80", Service: "lookup", Version: "v1", FailureDomain: domain, Slots: slots,
	}}
}

// newPool returns a pool in the region east with n upstreams there.
func newPool(n int, settings Settings) *Pool {
	p := NewPool(Location{FailureDomain: "east-1", Region: "east"})
	var all []*registry.Upstream
	for i := range n {
		all = append(all, upstreamIn(fmt.Sprintf("u%02d", i), "east-1"))
	}
	settings.Regions = map[string]string{"east-1": "east", "west-1": "west"}
	p.Configure(settings)
	p.Update(all, nil)
	p.StepShares(at(0), nil, nil)
	return p
}

func query(object uint64) Query { return Query{Service: "lookup", Object: mix(object)} }

// acquire returns a lease and the name of its upstream, which is empty when refused.
func acquire(p *Pool, seconds float64, object uint64) (*Lease, string) {
	lease, refusal := p.Acquire(at(seconds), query(object))
	if refusal != Chosen {
		return nil, ""
	}
	return lease, lease.Upstream.Name
}

func TestAnObjectKeepsItsUpstream(t *testing.T) {
	p := newPool(6, Settings{})
	before := map[uint64]string{}
	for object := range uint64(200) {
		lease, name := acquire(p, 1, object)
		lease.Release(at(1), Answered, Load{})
		before[object] = name
		lease, again := acquire(p, 1, object)
		lease.Release(at(1), Answered, Load{})
		assert.Equal(t, again, name)
	}
	larger := newPool(7, Settings{})
	moved := 0
	for object, name := range before {
		lease, now := acquire(larger, 1, object)
		lease.Release(at(1), Answered, Load{})
		if now != name {
			moved++
			assert.Equal(t, now, "u06", "an object moves only to the new upstream")
		}
	}
	assert.Assert(t, moved > 0 && moved < 60, "%d of 200 objects moved", moved)
}

// TestObjectUsesTwoUpstreams guards against an overload in which every upstream gets
// requests for every object, so that no cache hits and each response takes three times
// as long.
func TestObjectUsesTwoUpstreams(t *testing.T) {
	p := newPool(6, Settings{})
	used := map[string]int{}
	refused := 0
	for range 100 {
		_, name := acquire(p, 1, 7)
		if name == "" {
			refused++
			continue
		}
		used[name]++
	}
	assert.Equal(t, len(used), upstreamsPerObject)
	assert.Assert(t, refused > 0)
	for name, n := range used {
		assert.Assert(t, n <= slots*(1+maxQueuePerSlot), "%s has %d", name, n)
	}
}

// TestFullUpstreamIsNotSkipped guards against a sudden shift of traffic (SHIFT): a region
// with two upstreams sent its excess requests to other regions in a burst.
func TestFullUpstreamIsNotSkipped(t *testing.T) {
	p := newPool(2, Settings{})
	p.Update([]*registry.Upstream{upstreamIn("u00", "east-1"), upstreamIn("u01", "east-1"), upstreamIn("far", "west-1")}, nil)
	p.services["lookup"].shares.byRegion = map[string]float64{"east": 1}
	for range 2 {
		lease, name := acquire(p, 1, 7)
		assert.Assert(t, name != "far")
		lease.Release(at(1), Shed, Load{})
	}
	_, name := acquire(p, 1, 7)
	assert.Equal(t, name, "")
}

func TestFailuresEjectAndSuccessesDoNot(t *testing.T) {
	p := newPool(4, Settings{})
	_, preferred := acquire(p, 0, 7)
	for range failuresToEject {
		lease, name := acquire(p, 1, 7)
		assert.Equal(t, name, preferred)
		lease.Release(at(1), Failed, Load{})
	}
	_, name := acquire(p, 1, 7)
	assert.Assert(t, name != preferred)
	_, name = acquire(p, 1+minEjection.Seconds(), 7)
	assert.Equal(t, name, preferred)
}

// TestBusyUpstreamIsNotEjected guards against ejecting a busy upstream for late responses:
// a region's two upstreams had cold caches, both were ejected, and all requests went to
// other regions (SHIFT at 2.0 s, recallhub-south, mix, seed 1029170054293).
func TestBusyUpstreamIsNotEjected(t *testing.T) {
	p := newPool(4, Settings{})
	_, preferred := acquire(p, 0, 7)
	var late []*Lease
	for range failuresToEject {
		lease, name := acquire(p, 1, 7)
		assert.Equal(t, name, preferred)
		late = append(late, lease)
	}
	answered, _ := acquire(p, 1, 7)
	answered.Release(at(1.5), Answered, Load{})
	for _, lease := range late {
		lease.Release(at(2), Late, Load{})
	}
	_, name := acquire(p, 2, 7)
	assert.Equal(t, name, preferred)
}

func TestUnresponsiveUpstreamIsEjected(t *testing.T) {
	p := newPool(4, Settings{})
	_, preferred := acquire(p, 0, 7)
	for range failuresToEject {
		lease, name := acquire(p, 1, 7)
		assert.Equal(t, name, preferred)
		lease.Release(at(2), Late, Load{})
	}
	_, name := acquire(p, 2, 7)
	assert.Assert(t, name != preferred)
}

func TestHalfOfTheUpstreamsStayInUse(t *testing.T) {
	p := newPool(2, Settings{})
	for range 10 * failuresToEject {
		lease, name := acquire(p, 1, 7)
		assert.Assert(t, name != "")
		lease.Release(at(1), Failed, Load{})
	}
}

func TestReportedLoadOfOtherInstancesCounts(t *testing.T) {
	p := newPool(3, Settings{})
	lease, preferred := acquire(p, 1, 7)
	lease.Release(at(1), Answered, Load{Known: true, Requests: 3 * slots})
	_, name := acquire(p, 1, 7)
	assert.Assert(t, name != preferred)
	_, name = acquire(p, 1+maxReportAge.Seconds()+0.1, 7)
	assert.Equal(t, name, preferred)
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	p := newPool(1, Settings{})
	lease, _ := acquire(p, 0, 7)
	lease.Release(at(1), Answered, Load{})
	q := query(7)
	q.TimeLeft = 500 * time.Millisecond
	_, refusal := p.Acquire(at(2), q)
	assert.Equal(t, refusal, Chosen, "an idle upstream is tried")
	for range slots - 1 {
		p.Acquire(at(2), q)
	}
	_, refusal = p.Acquire(at(2), q)
	assert.Equal(t, refusal, AllBusy)
}

func TestEvacuatedAndDrainingUpstreamsGetNoRequests(t *testing.T) {
	p := newPool(1, Settings{Evacuated: map[string]bool{"east-1": true}})
	_, refusal := p.Acquire(at(0), query(7))
	assert.Equal(t, refusal, NoCandidates)
	p = newPool(0, Settings{})
	leaving := upstreamIn("u00", "east-1")
	leaving.State = registry.Draining
	p.Update([]*registry.Upstream{leaving}, nil)
	_, refusal = p.Acquire(at(0), query(7))
	assert.Equal(t, refusal, NoCandidates)
}

func TestColdUpstreamIsRateLimited(t *testing.T) {
	p := newPool(1, Settings{})
	p.SetCold("u00", ColdLimit{Until: at(10), Rate: 2})
	got := 0
	for i := range 500 {
		lease, name := acquire(p, float64(i)/100, 7)
		if name != "" {
			got++
			lease.Release(at(float64(i)/100), Answered, Load{})
		}
	}
	assert.Assert(t, got >= 8 && got <= 10, "%d requests in 5 s", got)
	lease, _ := acquire(p, 10, 7)
	assert.Assert(t, lease != nil, "the upstream is warm")
}

// TestSpillGrowsInSmallSteps guards against a sudden shift from a region with one
// upstream left: when the demand of its callers grew, a third of their requests moved to
// another region within 2 s (SHIFT, cut-scale-in, seed 1).
func TestSpillGrowsInSmallSteps(t *testing.T) {
	p := newPool(1, Settings{})
	p.Update([]*registry.Upstream{upstreamIn("u00", "east-1"), upstreamIn("far", "west-1")}, nil)
	p.services["lookup"].shares.byRegion = map[string]float64{"east": 1}
	for range 2 * slots {
		acquire(p, 0, 7)
	}
	spilled := func(from, to float64) int {
		n := 0
		for s := from; s < to; s += 0.01 {
			lease, name := acquire(p, s, 7)
			if name == "far" {
				n++
				lease.Release(at(s), Answered, Load{})
			}
		}
		return n
	}
	first, later := spilled(1, 3), spilled(3, 10)
	assert.Assert(t, first <= 15, "%d of 200 in the first 2 s", first)
	assert.Assert(t, later > first, "%d of 700 later", later)
}

// TestLoadCountsWhileTheRequestRuns guards against a load report that takes effect only
// when a long response has ended.
func TestLoadCountsWhileTheRequestRuns(t *testing.T) {
	p := newPool(1, Settings{})
	running, _ := acquire(p, 1, 7)
	running.RecordLoad(at(1), Load{Known: true, Requests: 3})
	next, _ := acquire(p, 1, 7)
	assert.Equal(t, next.Utilization, 4.0/slots)
	running.Release(at(1), Answered, Load{})
	next.Release(at(1), Answered, Load{})
	last, _ := acquire(p, 1, 7)
	assert.Equal(t, last.Utilization, 3.0/slots, "the running request was one of the three")
}

// TestInstancesThatStartDoNotFloodAnUpstream guards against a sudden shift of traffic (SHIFT at
// 2.0 s, recallhub-south, cold-twice, seed 949160012704): when the traffic begins, each instance
// of a region filled the queue of the same upstreams, which then took nothing for seconds.
func TestInstancesThatStartDoNotFloodAnUpstream(t *testing.T) {
	const instances = 4
	admitted := 0
	var pools []*Pool
	for range instances {
		p := newPool(1, Settings{Senders: instances})
		pools = append(pools, p)
		for lease, _ := acquire(p, 1, 7); lease != nil; lease, _ = acquire(p, 1, 7) {
			admitted++
			assert.Assert(t, admitted < 100)
		}
	}
	assert.Assert(t, admitted <= (1+maxQueuePerSlot)*slots, "%d requests at %d slots", admitted, slots)
	assert.Assert(t, admitted >= slots, "%d requests at %d slots", admitted, slots)

	p := pools[0]
	answered := &Lease{pool: p, service: p.services["lookup"], target: p.targets["u00"], acquiredAt: at(1)}
	answered.Release(at(1.2), Answered, Load{})
	_, name := acquire(p, 1.2, 7)
	assert.Equal(t, name, "u00", "only the own requests count once the upstream has responded")
}

// Guards against objects that leave their upstream in a large region until it has responded to
// this instance: one request on its way says little of what the other instances send there.
func TestOneRequestDoesNotFillAnUpstreamOfALargeRegion(t *testing.T) {
	p := newPool(47, Settings{Senders: 28})
	_, first := acquire(p, 1, 7)
	_, second := acquire(p, 1, 7)
	assert.Equal(t, second, first)
}
