package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUpstreamWithoutAPermitIsPassedOver(t *testing.T) {
	p := newPool(3, Settings{})
	lease, preferred := acquire(p, 1, 7)
	lease.Cancel()
	q := query(7)
	q.Admits = func(id string) bool { return id != preferred }
	lease, refusal := p.Acquire(at(1), q)
	assert.Equal(t, refusal, Chosen)
	assert.Assert(t, lease.Upstream.Name != preferred)
	q = query(7)
	q.Denied = []string{"u00", "u01", "u02"}
	before := p.Arrivals()["lookup"]
	_, refusal = p.Acquire(at(1), q)
	assert.Equal(t, refusal, AllBusy)
	assert.Equal(t, p.Arrivals()["lookup"], before, "a denied request has been counted")
}

func TestACancelledLeaseTakesNothing(t *testing.T) {
	p := newPool(1, Settings{})
	p.SetCold("u00", ColdLimit{Until: at(100), Rate: 1})
	acquire(p, 0, 7)
	for range 3 {
		lease, name := acquire(p, 2, 7)
		assert.Equal(t, name, "u00", "the cold upstream has a token")
		lease.Cancel()
	}
}

func TestARateBoundsTheSlotsOfARegion(t *testing.T) {
	p := newPool(2, Settings{})
	p.SetRates(map[string]float64{"u00": 3})
	s := p.services["lookup"]
	assert.Equal(t, p.slotsAtRate(s, nil, 1.5)["east"], float64(slots+2), "3 requests a second at 1.5 for each slot")
	assert.Equal(t, p.slotsAtRate(s, nil, 0.1)["east"], float64(2*slots), "the rate is above what the slots serve")
}
