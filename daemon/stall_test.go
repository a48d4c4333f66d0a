package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallDetectorIsNotSteadyDuringAndAfterPause(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	detector := newStallDetector(start)
	detector.tick(at(50 * time.Millisecond))
	assert.Assert(t, detector.steady(at(100*time.Millisecond)))
	assert.Assert(t, !detector.steady(at(3*time.Second)), "paused")
	detector.tick(at(3 * time.Second))
	assert.Assert(t, !detector.steady(at(3*time.Second+stallRecoveryTime-1)), "just woken")
	detector.tick(at(3*time.Second + stallRecoveryTime))
	assert.Assert(t, detector.steady(at(3*time.Second+stallRecoveryTime)))
}
