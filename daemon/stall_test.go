package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallDetectorIsNotSteadyDuringAndAfterAPause(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	p := newStallDetector(start)
	p.tick(at(50 * time.Millisecond))
	assert.Assert(t, p.steady(at(100*time.Millisecond)))
	assert.Assert(t, !p.steady(at(3*time.Second)), "paused")
	p.tick(at(3 * time.Second))
	assert.Assert(t, !p.steady(at(3*time.Second+settleTime-1)), "just woken")
	p.tick(at(3*time.Second + settleTime))
	assert.Assert(t, p.steady(at(3*time.Second+settleTime)))
}
