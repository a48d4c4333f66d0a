package moves

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/units"
)

// moveHarness runs one move with a driver whose writes all succeed.
type moveHarness struct {
	driver   *Driver
	now      time.Time
	revision platform.Revision
	load     shift.Load
}

func newMoveHarness(objects ...dynamic.Move) *moveHarness {
	h := &moveHarness{driver: NewDriver(nil), now: time.Unix(1000, 0), load: shift.Load{Slots: 10, Healthy: 2}}
	h.driver.Configure(1, objects)
	return h
}

// advance advances the time by d in ticks of 500 ms and returns the record.
func (h *moveHarness) advance(d time.Duration) *Move {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(500 * time.Millisecond) {
		h.driver.Tick(h.now)
		h.driver.SetInputs(Inputs{
			Loads:   map[Target]shift.Load{{"s", "b"}: h.load},
			Applied: h.driver.Steps(),
		})
		if write, ok := h.driver.Plan(h.now); ok {
			h.revision++
			h.driver.Done(write, h.revision, nil)
		}
	}
	return h.driver.Record("m")
}

func TestMoveReactsToTargetLoad(t *testing.T) {
	cases := map[string]struct {
		load   shift.Load
		state  shift.State
		reason shift.Reason
		share  float64
	}{
		"free":          {shift.Load{Slots: 10, InUse: 2, Healthy: 2}, shift.Done, shift.ReasonCompleted, 0.6},
		"loaded":        {shift.Load{Slots: 10, InUse: 9, Healthy: 2}, shift.Holding, shift.ReasonLoaded, 0.2},
		"unhealthy":     {shift.Load{}, shift.Holding, shift.ReasonUnhealthy, 0},
		"load unknown":  {shift.Load{Slots: 10, Healthy: 2, Age: time.Minute}, shift.Holding, shift.ReasonLoadUnknown, 0.2},
		"no free slots": {shift.Load{Healthy: 1}, shift.Holding, shift.ReasonUnhealthy, 0},
	}
	for name, c := range cases {
		h := newMoveHarness(testMove())
		assert.Equal(t, h.advance(7*time.Second).Share, 0.2, name)
		h.load = c.load
		r := h.advance(40 * time.Second)
		assert.Equal(t, r.State, c.state, name)
		assert.Equal(t, r.Reason, c.reason, name)
		assert.Equal(t, r.Share, c.share, name)
	}
}

func TestMinDurationIsEnough(t *testing.T) {
	for _, m := range []dynamic.Move{
		{Name: "m", Service: "s", From: "a", To: "b", Cap: 1},
		{Name: "m", Service: "s", From: "a", To: "b", Cap: 0.55, Step: 0.2},
		testMove(),
	} {
		m.Deadline = units.Duration(MinDuration(m))
		h := newMoveHarness(m)
		assert.Equal(t, h.advance(m.Deadline.Std()).State, shift.Done, "%+v", m)
	}
}

func TestChangedMoveContinuesFromItsShare(t *testing.T) {
	h := newMoveHarness(testMove())
	r := h.advance(40 * time.Second)
	assert.Equal(t, r.State, shift.Done)
	changed := testMove()
	changed.Cap = 0.9
	h.driver.Configure(2, []dynamic.Move{changed})
	assert.Equal(t, h.driver.Share(h.now, changed), 0.0, "no record of the changed object yet")
	next := h.advance(time.Second)
	assert.Equal(t, next.Step, r.Step+1)
	assert.Equal(t, next.ConfigVersion, uint64(2))
	assert.Equal(t, next.Share, 0.6)
	assert.Equal(t, h.advance(30*time.Second).Share, 0.9)
}

func TestRecordObservedBeforeFirstTickMeetsDeadline(t *testing.T) {
	first := newMoveHarness(testMove())
	first.advance(time.Second)
	value := first.driver.NewerThan(nil)[platform.PrefixMoves+"m"]
	second := newMoveHarness(testMove())
	second.now = first.now
	second.driver.Observe(platform.Entry{Key: platform.PrefixMoves + "m", Value: value, Revision: 100})
	second.revision = 100
	r := second.advance(40 * time.Second)
	assert.Equal(t, r.State, shift.Done, "%s", r.Reason)
}
