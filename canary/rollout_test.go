package canary

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const drainTime = 2 * time.Second

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newRollout() *Rollout {
	return New(Order{Service: "lookup", Version: "v2", Within: 10 * time.Second, Revision: 5}, at(0))
}

// count records responses of one version; the first ones, as many as failures,
// are error responses.
func count(r *Rollout, isNew bool, answers, failures int) {
	for i := range answers {
		failure := None
		if i < failures {
			failure = ErrorResponse
		}
		r.Record(Key{Route: "a", New: isNew}, failure)
	}
}

func TestWorse(t *testing.T) {
	for _, c := range []struct {
		name                string
		baseline, candidate Count
		want                bool
	}{
		{"no failures", Count{200, 0}, Count{40, 0}, false},
		{"half fail", Count{200, 2}, Count{12, 6}, true},
		{"a few by chance", Count{200, 4}, Count{60, 4}, false},
		{"both fail under overload", Count{200, 90}, Count{40, 20}, false},
		{"worse than an overloaded one", Count{200, 60}, Count{60, 45}, true},
		{"nothing to compare with", Count{0, 0}, Count{9, 7}, false},
	} {
		assert.Equal(t, Worse(c.baseline, c.candidate), c.want, c.name)
	}
}

func TestGoodVersionIsPromoted(t *testing.T) {
	r := newRollout()
	count(r, false, 500, 2)
	count(r, true, 50, 0)
	assert.Equal(t, r.Next(at(1), drainTime), Canary)
	assert.Equal(t, r.Next(at(5.6), drainTime), Promoting)
	assert.Assert(t, r.Adopt(at(5.7), Promoting))
	assert.Equal(t, r.Next(at(6), drainTime), Promoting)
	assert.Equal(t, r.Next(at(7.8), drainTime), Done)
	assert.Assert(t, r.Adopt(at(7.9), Done))
	assert.Equal(t, r.Phase(), Done)
}

func TestVersionWithFewResponsesIsPromotedLater(t *testing.T) {
	r := newRollout()
	count(r, true, 3, 0)
	assert.Equal(t, r.Next(at(6), drainTime), Canary)
	assert.Equal(t, r.Next(at(7.1), drainTime), Promoting)
}

func TestBadVersionIsStoppedByCountsOfAllInstances(t *testing.T) {
	r := newRollout()
	count(r, false, 30, 0)
	count(r, true, 2, 1)
	assert.Assert(t, r.FindWorseRoute() == nil)
	r.SetPeerCounts("other", map[Key]Count{{Route: "a", New: true}: {8, 5}, {Route: "a"}: {70, 0}})
	finding := r.FindWorseRoute()
	assert.Equal(t, finding.New, Count{10, 6})
	assert.Equal(t, finding.Old, Count{100, 0})
	assert.Assert(t, r.Stop())
	assert.Equal(t, r.Phase(), Reverted)
	assert.Equal(t, r.Next(at(1), drainTime), Reverted)
}

// TestFirstRecordedFinalPhaseStays guards against overwriting a final phase when an
// instance finds a version worse after a peer has recorded the end. In recallhub-south
// trouble-3, "reverted" replaced "done", and both versions had no upstreams left.
func TestFirstRecordedFinalPhaseStays(t *testing.T) {
	r := newRollout()
	count(r, false, 100, 0)
	count(r, true, 20, 10)
	assert.Assert(t, r.Stop())
	assert.Assert(t, r.Adopt(at(8), Done))
	assert.Equal(t, r.Phase(), Done)
	assert.Equal(t, r.Next(at(8), drainTime), Done)
	assert.Assert(t, !r.Adopt(at(9), Reverted))
	assert.Equal(t, r.Phase(), Done)
}

// TestLateResponsesDoNotCountWhilePromoting guards against stopping a good version whose
// responses are late only because all requests reach its cold upstreams at once.
func TestLateResponsesDoNotCountWhilePromoting(t *testing.T) {
	r := newRollout()
	count(r, false, 100, 0)
	r.Adopt(at(6), Promoting)
	for range 50 {
		r.Record(Key{Route: "a", New: true}, LateResponse)
	}
	assert.Assert(t, r.FindWorseRoute() == nil)
	count(r, true, 20, 10)
	assert.Assert(t, r.FindWorseRoute() != nil, "error responses of the upstream count")
}

// TestNoBaselineAfterARestart guards against finding a version worse when a restart has
// lost the counts of the old version.
func TestNoBaselineAfterARestart(t *testing.T) {
	r := newRollout()
	r.Adopt(at(6), Promoting)
	count(r, true, 20, 10)
	assert.Assert(t, r.FindWorseRoute() == nil)
}
