package soak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestDeparturesAreJudgedAtTheBound(t *testing.T) {
	for _, c := range []struct {
		name string
		// arrives is when the request reaches an upstream, ends when its work is ended, both after the
		// caller has left; a negative arrival is before that.
		arrives, ends          time.Duration
		arrived, working, late int
	}{
		{"ended at once", -time.Second, time.Millisecond, 1, 0, 0},
		{"ended at the bound", -time.Second, departureBound, 1, 0, 0},
		{"ended after the bound", -time.Second, departureBound + time.Millisecond, 1, 1, 0},
		{"never ended", -time.Second, time.Minute, 1, 1, 0},
		{"sent after the caller left", departureBound, departureBound, 1, 0, 0},
		{"sent after the bound", departureBound + time.Millisecond, departureBound + time.Millisecond, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDepartures()
				assert.Assert(t, !d.work(t.Context(), "a"), "its caller does not leave")
				d.add("a")
				leave := time.Now().Add(2 * time.Second)
				ctx, cancel := context.WithDeadline(t.Context(), leave.Add(c.ends))
				defer cancel()
				go func() {
					time.Sleep(time.Until(leave))
					d.left("a")
				}()
				time.Sleep(time.Until(leave.Add(c.arrives)))
				synctest.Wait()
				assert.Assert(t, d.work(ctx, "a"))
				time.Sleep(time.Minute)
				arrived, working, late := d.judge()
				assert.Equal(t, arrived, c.arrived)
				assert.Equal(t, working, c.working)
				assert.Equal(t, late, c.late)
			})
		})
	}
}
