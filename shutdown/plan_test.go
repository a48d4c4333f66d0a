package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPartsOfTheGracePeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, c := range []struct {
		grace, closeListener, endRequests, closeConnections time.Duration
	}{
		{6 * time.Second, 1500 * time.Millisecond, 5400 * time.Millisecond, 5700 * time.Millisecond},
		{3 * time.Second, 750 * time.Millisecond, 2700 * time.Millisecond, 2850 * time.Millisecond},
		{time.Minute, MaxAnnounce, 54 * time.Second, 57 * time.Second},
		{time.Second, 250 * time.Millisecond, 900 * time.Millisecond, 950 * time.Millisecond},
	} {
		p := NewPlan(began, c.grace)
		assert.Equal(t, p.CloseListener().Sub(began), c.closeListener)
		assert.Equal(t, p.EndRequests().Sub(began), c.endRequests)
		assert.Equal(t, p.CloseConnections().Sub(began), c.closeConnections)
	}
}

// Guards against requests that are taken late in the grace period and cut at its end (LOST). The last
// sixth of the grace period is for their responses, which an instance without processor time writes late.
func TestOnlyRequestsThatCanEndAreAllowed(t *testing.T) {
	began := time.Unix(1000, 0)
	p := NewPlan(began, 6*time.Second)
	for _, timeout := range []time.Duration{time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second, 10 * time.Second} {
		for at := time.Duration(0); at < 7*time.Second; at += 50 * time.Millisecond {
			canEnd := at+timeout <= 5*time.Second
			assert.Equal(t, p.Allows(began.Add(at+timeout)), canEnd, "%v for %v", at, timeout)
		}
	}
}
