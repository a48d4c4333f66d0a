package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reportsAfter returns a pool with an upstream and what it passes on after a response.
func reportsAfter(t *testing.T, now time.Time, requests int) (*Pool, []Report) {
	t.Helper()
	p := newPool(1, Settings{})
	lease, refusal := p.Acquire(now, Query{Service: "lookup"})
	assert.Equal(t, refusal, Chosen)
	lease.Release(now, Answered, Load{Known: true, Requests: requests})
	return p, p.Reports(now, time.Second)
}

func TestReportsArePassedOn(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	_, reports := reportsAfter(t, now, 9)
	assert.Equal(t, len(reports), 1)
	for _, test := range []struct {
		name string
		// own is the age of what the receiver has learnt itself; 0 for nothing.
		own     time.Duration
		age     time.Duration
		refused bool
	}{
		{"nothing known", 0, 0, true},
		{"older knowledge", 500 * time.Millisecond, 100 * time.Millisecond, true},
		{"newer knowledge", 100 * time.Millisecond, 500 * time.Millisecond, false},
		{"an old report", 0, maxReportAge + time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(1, Settings{})
			if test.own > 0 {
				p, _ = reportsAfter(t, now.Add(-test.own), 0)
			}
			r := reports[0]
			r.At = now.Add(-test.age)
			p.MergeReports(now, []Report{r, {Upstream: 7, Requests: 1, At: now}, {Upstream: r.Upstream, Requests: -1, At: now}})
			_, refusal := p.Acquire(now, Query{Service: "lookup"})
			assert.Equal(t, refusal == AllBusy, test.refused)
			assert.Equal(t, len(p.Reports(now, time.Second)), min(1, int(test.own)), "reports of others are passed on")
		})
	}
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p, _ := reportsAfter(t, now, 1)
	target := p.byHash[p.learned[0].Upstream]
	for n := range 3 * maxLearned {
		p.learn(now, target, Load{Requests: n})
	}
	assert.Assert(t, len(p.learned) <= maxLearned)
	reports := p.Reports(now, time.Second)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Requests, 3*maxLearned-1)
	p.learn(now.Add(2*maxReportAge), target, Load{Requests: 1})
	assert.Equal(t, len(p.learned), 1)
}
