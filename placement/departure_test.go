package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// entryOf returns a new entry of an upstream in the failure domain east-1.
func entryOf(id string, started int64, address string) *registry.Upstream {
	u := upstreamIn(id, "east-1")
	u.Started, u.Address = started, address
	return u
}

// Guards against requests to an upstream that has stated that it leaves while its entry
// still says ready.
func TestAnUpstreamThatStatesThatItLeavesGetsNoRequests(t *testing.T) {
	const address = "10.0.0.1:80"
	for _, c := range []struct {
		name string
		// update is what the store says after the statement of the start 5.
		update func(p *Pool)
		back   bool
	}{
		{"nothing", func(*Pool) {}, false},
		{"the same entry again", func(p *Pool) { p.Update([]*registry.Upstream{entryOf("u00", 5, address)}, nil) }, false},
		{"other slots", func(p *Pool) {
			u := entryOf("u00", 5, address)
			u.Slots++
			p.Update([]*registry.Upstream{u}, nil)
		}, false},
		{"an earlier start, from a copy", func(p *Pool) { p.Update([]*registry.Upstream{entryOf("u00", 4, "10.0.0.9:80")}, nil) }, false},
		{"lapsed and back", func(p *Pool) {
			p.Update(nil, []string{"u00"})
			p.Update([]*registry.Upstream{entryOf("u00", 5, address)}, nil)
		}, false},
		{"settings", func(p *Pool) { p.Configure(Settings{Regions: map[string]string{"east-1": "east"}}) }, false},
		{"a later start", func(p *Pool) { p.Update([]*registry.Upstream{entryOf("u00", 6, address)}, nil) }, true},
		{"another address", func(p *Pool) { p.Update([]*registry.Upstream{entryOf("u00", 5, "10.0.0.2:80")}, nil) }, true},
		{"removed and started again", func(p *Pool) {
			p.Update(nil, []string{"u00"})
			p.Update([]*registry.Upstream{entryOf("u00", 6, address)}, nil)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(0, Settings{})
			p.Update([]*registry.Upstream{entryOf("u00", 5, address), entryOf("u01", 5, address)}, nil)
			statesLeaving(t, p, "u00")
			c.update(p)
			back := false
			for object := range uint64(50) {
				lease, name := acquire(p, 2, object)
				assert.Assert(t, lease != nil, "the other upstream takes the request")
				lease.Release(at(2), Answered, Load{})
				back = back || name == "u00"
			}
			assert.Equal(t, back, c.back)
		})
	}
}

// statesLeaving makes a response of the upstream state that it leaves.
func statesLeaving(t *testing.T, p *Pool, id string) {
	t.Helper()
	for object := range uint64(200) {
		lease, name := acquire(p, 1, object)
		if name == id {
			assert.Assert(t, lease.MaySend(at(1)))
			assert.Assert(t, lease.RecordLeaving(at(1)), "it was not known")
			assert.Assert(t, !lease.RecordLeaving(at(1)), "it is known")
			assert.Assert(t, !lease.MaySend(at(1)))
		}
		lease.Release(at(1), Answered, Load{})
		if name == id {
			return
		}
	}
	t.Fatalf("no request went to %s", id)
}

func TestNoRequestsWhileAllUpstreamsLeave(t *testing.T) {
	p := newPool(2, Settings{})
	statesLeaving(t, p, "u00")
	statesLeaving(t, p, "u01")
	_, refusal := p.Acquire(at(2), query(1))
	assert.Equal(t, refusal, NoCandidates)
}

// The slots of an upstream that leaves are no capacity of its region.
func TestAnUpstreamThatLeavesIsNoCapacity(t *testing.T) {
	p := NewPool(Location{FailureDomain: "east-1", Region: "east"})
	p.Configure(Settings{Regions: map[string]string{"east-1": "east", "west-1": "west"}})
	p.Update([]*registry.Upstream{upstreamIn("u00", "east-1"), upstreamIn("u01", "east-1"), upstreamIn("w00", "west-1")}, nil)
	slotsIn := func() map[string]float64 {
		return p.slotsAtRate(p.services["lookup"], func(t *target) bool { return t.usable(at(2)) }, 0)
	}
	assert.DeepEqual(t, slotsIn(), map[string]float64{"east": 2 * slots, "west": slots})
	statesLeaving(t, p, "u00")
	assert.DeepEqual(t, slotsIn(), map[string]float64{"east": slots, "west": slots})
}

// A response may arrive when the upstream has started again under its id.
func TestAStatementOfAnEarlierStartSaysNothingOfTheLaterOne(t *testing.T) {
	p := newPool(0, Settings{})
	p.Update([]*registry.Upstream{entryOf("u00", 5, "10.0.0.1:80")}, nil)
	lease, _ := acquire(p, 1, 1)
	p.Update([]*registry.Upstream{entryOf("u00", 6, "10.0.0.1:80")}, nil)
	assert.Assert(t, lease.RecordLeaving(at(1)))
	lease.Release(at(1), Answered, Load{})
	_, name := acquire(p, 2, 1)
	assert.Equal(t, name, "u00")
}

func TestStatementsOfGoneUpstreamsAreForgotten(t *testing.T) {
	p := newPool(2, Settings{})
	statesLeaving(t, p, "u00")
	p.Update(nil, []string{"u00"})
	p.forgetDepartures(at(1).Add(departureMemory))
	assert.Equal(t, len(p.departures), 1)
	p.forgetDepartures(at(1).Add(departureMemory + time.Second))
	assert.Equal(t, len(p.departures), 0)
}
