package linger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow peer that is cut off, and against one that keeps a descriptor without end.
func TestProgress(t *testing.T) {
	const tick = 100 * time.Millisecond
	for name, c := range map[string]struct {
		// unsent returns how many bytes are left after so many ticks.
		unsent func(ticks int) int
		want   time.Duration
	}{
		"has all":              {func(int) int { return 0 }, idleTimeout},
		"gets all at once":     {func(n int) int { return max(0, 1000-1000*n) }, tick + idleTimeout},
		"reads slowly":         {func(n int) int { return max(0, 1000-10*n) }, 100*tick + idleTimeout},
		"pauses, then reads":   {func(n int) int { return max(0, 1000-100*max(0, n-19)) }, 29*tick + idleTimeout},
		"does not read":        {func(int) int { return 1000 }, stallTimeout},
		"stops reading":        {func(n int) int { return max(500, 1000-100*n) }, 5*tick + stallTimeout},
		"one byte at a time":   {func(n int) int { return 100_000 - n }, maxTime},
		"the system tells not": {func(int) int { return unknown }, stallTimeout},
	} {
		began := time.Unix(1000, 0)
		p := newProgress(began, c.unsent(0))
		ticks := 1
		for !p.ended(began.Add(time.Duration(ticks)*tick), c.unsent(ticks)) {
			ticks++
		}
		assert.Equal(t, time.Duration(ticks)*tick, c.want, name)
	}
}
