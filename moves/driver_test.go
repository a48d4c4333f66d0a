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

// script drives one move with a driver whose writes all succeed.
type script struct {
	driver   *Driver
	now      time.Time
	revision platform.Revision
	load     shift.Load
}

func newScript(objects ...dynamic.Move) *script {
	s := &script{driver: NewDriver(nil), now: time.Unix(1000, 0), load: shift.Load{Slots: 10, Healthy: 2}}
	s.driver.Configure(1, objects)
	return s
}

// run lets the time pass and returns the record.
func (s *script) run(d time.Duration) *Move {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(500 * time.Millisecond) {
		s.driver.Tick(s.now)
		s.driver.SetInputs(Inputs{
			Loads:   map[Target]shift.Load{{"s", "b"}: s.load},
			Applied: s.driver.Steps(),
		})
		if write, ok := s.driver.Plan(s.now); ok {
			s.revision++
			s.driver.Done(write, s.revision, nil)
		}
	}
	return s.driver.Record("m")
}

func TestMoveFollowsItsTarget(t *testing.T) {
	cases := map[string]struct {
		load   shift.Load
		state  shift.State
		reason shift.Reason
		share  float64
	}{
		"free":          {shift.Load{Slots: 10, InUse: 2, Healthy: 2}, shift.Done, shift.ReasonCompleted, 0.6},
		"loaded":        {shift.Load{Slots: 10, InUse: 9, Healthy: 2}, shift.Holding, shift.ReasonLoaded, 0.2},
		"unhealthy":     {shift.Load{}, shift.Holding, shift.ReasonUnhealthy, 0},
		"not heard of":  {shift.Load{Slots: 10, Healthy: 2, Age: time.Minute}, shift.Holding, shift.ReasonLoadUnknown, 0.2},
		"no free slots": {shift.Load{Healthy: 1}, shift.Holding, shift.ReasonUnhealthy, 0},
	}
	for name, c := range cases {
		s := newScript(testMove())
		assert.Equal(t, s.run(7*time.Second).Share, 0.2, name)
		s.load = c.load
		r := s.run(40 * time.Second)
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
		s := newScript(m)
		assert.Equal(t, s.run(m.Deadline.Std()).State, shift.Done, "%+v", m)
	}
}

func TestChangedMoveGoesOnFromItsShare(t *testing.T) {
	s := newScript(testMove())
	r := s.run(40 * time.Second)
	assert.Equal(t, r.State, shift.Done)
	changed := testMove()
	changed.Cap = 0.9
	s.driver.Configure(2, []dynamic.Move{changed})
	assert.Equal(t, s.driver.Share(s.now, changed), 0.0, "no record of the changed object yet")
	next := s.run(time.Second)
	assert.Equal(t, next.Step, r.Step+1)
	assert.Equal(t, next.ConfigVersion, uint64(2))
	assert.Equal(t, next.Share, 0.6)
	assert.Equal(t, s.run(30*time.Second).Share, 0.9)
}

func TestRecordSeenBeforeTheFirstTickIsNotLate(t *testing.T) {
	first := newScript(testMove())
	first.run(time.Second)
	value := first.driver.NewerThan(nil)[platform.PrefixMoves+"m"]
	second := newScript(testMove())
	second.now = first.now
	second.driver.Observe(platform.Entry{Key: platform.PrefixMoves + "m", Value: value, Revision: 100})
	second.revision = 100
	r := second.run(40 * time.Second)
	assert.Equal(t, r.State, shift.Done, "%s", r.Reason)
}
