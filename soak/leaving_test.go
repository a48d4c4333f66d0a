package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
)

func TestStatementCheckFindsLateRequests(t *testing.T) {
	leaving, refusing := statement{leaving: true}, statement{pause: 2 * time.Second}
	start := time.UnixMilli(0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name   string
		stated statement
		// instance sends a second request after the time.
		instance string
		after    time.Duration
		late     int
	}{
		{"under way when it leaves", leaving, "a", statedBound, 0},
		{"after it has stated that it leaves", leaving, "a", time.Minute, 1},
		{"from an instance that was not told", leaving, "b", time.Minute, 0},
		{"under way at a refusal", refusing, "a", statedBound, 0},
		{"within the time of a refusal", refusing, "a", 1900 * time.Millisecond, 1},
		{"after the time of a refusal", refusing, "a", 2 * time.Second, 0},
		{"nothing stated", statement{}, "a", time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			check := &statementCheck{}
			check.state(c.stated)
			h := http.Header{}
			stated := check.recordArrival(h, "a", "1", start)
			assert.Equal(t, h.Get(headers.Leaving) != "", c.stated.leaving)
			assert.Equal(t, h.Get(headers.RetryAfter) != "", c.stated.pause > 0)
			assert.Equal(t, h.Get(headers.NotRun) != "", c.stated.pause > 0)
			check.recordResponse("a", stated, start)
			check.recordArrival(http.Header{}, c.instance, "2", after(c.after))
			_, late := check.found()
			assert.Equal(t, len(late), c.late, "%v", late)
		})
	}
}
