package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refuse makes the upstream of the object refuse a request at the time, and state the
// Retry-After. It returns the name of the upstream.
func refuse(t *testing.T, p *Pool, seconds float64, object uint64, retryAfter time.Duration) string {
	t.Helper()
	lease, name := acquire(p, seconds, object)
	assert.Assert(t, lease != nil)
	lease.PauseFor(at(seconds), retryAfter)
	lease.Release(at(seconds), Shed, Load{})
	return name
}

// Guards against requests to an upstream before the time that it stated with a refusal.
func TestARefusalPausesTheUpstreamForTheTimeThatItStates(t *testing.T) {
	for stated, pause := range map[time.Duration]time.Duration{
		0:                       shedPause,
		20 * time.Millisecond:   shedPause,
		1500 * time.Millisecond: 1500 * time.Millisecond,
		time.Hour:               maxPause,
	} {
		p := newPool(1, Settings{})
		refuse(t, p, 1, 1, stated)
		lease, refusal := p.Acquire(at(1).Add(pause-time.Millisecond), query(1))
		assert.Assert(t, lease == nil, "stated %v", stated)
		assert.Equal(t, refusal, AllBusy)
		lease, _ = p.Acquire(at(1).Add(pause), query(1))
		assert.Assert(t, lease != nil, "stated %v", stated)
	}
}

func TestAShorterPauseDoesNotEndALongerOne(t *testing.T) {
	p := newPool(1, Settings{})
	first, _ := acquire(p, 1, 1)
	second, _ := acquire(p, 1, 1)
	assert.Assert(t, second.MaySend(at(1)))
	first.PauseFor(at(1), 2*time.Second)
	assert.Assert(t, !second.MaySend(at(1)), "it has not been sent yet")
	first.Release(at(1), Shed, Load{})
	second.PauseFor(at(1.5), 100*time.Millisecond)
	second.Release(at(1.5), Shed, Load{})
	_, name := acquire(p, 2.9, 1)
	assert.Equal(t, name, "")
	_, name = acquire(p, 3, 1)
	assert.Equal(t, name, "u00")
}

func TestPauseLeftIsThatOfTheFirstUpstreamThatMayBeAsked(t *testing.T) {
	p := newPool(2, Settings{})
	assert.Equal(t, p.PauseLeft(at(1), query(1)), time.Duration(0))
	first := refuse(t, p, 1, 1, 3*time.Second)
	assert.Equal(t, p.PauseLeft(at(1), query(1)), time.Duration(0), "the other one may be asked")
	second := refuse(t, p, 1, 1, 2*time.Second)
	assert.Assert(t, first != second)
	assert.Equal(t, p.PauseLeft(at(1), query(1)), 2*time.Second)
	assert.Equal(t, p.PauseLeft(at(2.5), query(1)), 500*time.Millisecond)
	assert.Equal(t, p.PauseLeft(at(4), query(1)), time.Duration(0))
	q := query(1)
	q.Service = "unknown"
	assert.Equal(t, p.PauseLeft(at(1), q), time.Duration(0))
}
