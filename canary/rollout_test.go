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
	return New(Order{Service: "lookup", Version: "v2", Within: 10 * time.Second, Revision: 5}, drainTime, at(0))
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
		{"no failures", Count{Answers: 200, Failures: 0}, Count{Answers: 40, Failures: 0}, false},
		{"half fail", Count{Answers: 200, Failures: 2}, Count{Answers: 12, Failures: 6}, true},
		{"a few by chance", Count{Answers: 200, Failures: 4}, Count{Answers: 60, Failures: 4}, false},
		{"both fail under overload", Count{Answers: 200, Failures: 90}, Count{Answers: 40, Failures: 20}, false},
		{"worse than an overloaded one", Count{Answers: 200, Failures: 60}, Count{Answers: 60, Failures: 45}, true},
		{"nothing to compare with", Count{Answers: 0, Failures: 0}, Count{Answers: 9, Failures: 7}, false},
	} {
		assert.Equal(t, Worse(c.baseline, c.candidate), c.want, c.name)
	}
}

// due returns the phase that is due at an instance with fresh counts of all others.
func due(r *Rollout, seconds float64) Phase { return r.Next(at(seconds), true).Phase }

func TestGoodVersionIsPromoted(t *testing.T) {
	r := newRollout()
	count(r, false, 500, 1)
	count(r, true, 200, 0)
	assert.Equal(t, due(r, 1), Canary)
	assert.Equal(t, due(r, 5.9), Canary)
	assert.Equal(t, due(r, 6), Promoting)
	assert.Assert(t, r.Adopt(at(6.1), Promoting))
	assert.Equal(t, due(r, 7), Promoting)
	assert.Equal(t, due(r, 8.2), Done)
	assert.Assert(t, r.Adopt(at(8.3), Done))
	assert.Equal(t, r.Phase(), Done)
}

// longRollout returns a roll-out whose canary phase ends at 16 s at the latest; with enough
// evidence it ends at 12 s.
func longRollout() *Rollout {
	return New(Order{Service: "lookup", Version: "v2", Within: 20 * time.Second, Revision: 5}, drainTime, at(0))
}

// TestPromotionWaitsForEvidenceOnEachRoute guards against the promotion of a version that no
// request of a route with few requests has reached: the responses on the other routes counted
// for all of them.
func TestPromotionWaitsForEvidenceOnEachRoute(t *testing.T) {
	r := longRollout()
	r.SetPeerCounts("other", map[Key]Count{
		{Route: "a"}:            {Answers: 600},
		{Route: "a", New: true}: {Answers: 200},
		{Route: "rare"}:         {Answers: 12},
	})
	waiting := r.Next(at(15.9), true)
	assert.Equal(t, waiting.Phase, Canary)
	assert.Equal(t, *waiting.Lacking, Shortage{Route: "rare", Needed: 7, unobserved: true})
	decided := r.Next(at(16), true)
	assert.Equal(t, decided.Phase, Reverted, "a route with enough requests has no response")
	r.Record(Key{Route: "rare", New: true}, None)
	assert.Equal(t, due(r, 15.9), Canary)
	decided = r.Next(at(16), true)
	assert.Equal(t, decided.Phase, Promoting)
	assert.Equal(t, decided.Lacking.Answers, uint32(1))
	r.Record(Key{Route: "rare", New: true}, ErrorResponse)
	assert.Equal(t, due(r, 16), Reverted, "half of the responses are errors")
}

// TestDecisionWithoutEvidenceWaitsForTheCounts guards against a decision by an instance that
// has just started, or lacks fresh counts of others.
func TestDecisionWithoutEvidenceWaitsForTheCounts(t *testing.T) {
	r := longRollout()
	count(r, false, 20, 0)
	count(r, true, 3, 0)
	assert.Equal(t, r.Next(at(16), false).Phase, Canary)
	assert.Equal(t, r.Next(at(17), false).Phase, Promoting)
	restarted := New(r.Order, drainTime, at(15))
	restarted.Started = at(0)
	assert.Equal(t, due(restarted, 17.9), Canary)
	assert.Equal(t, due(restarted, 18), Promoting)
}

// TestErrorsOfBothVersionsDoNotStopTheNewOne guards against the reversion of a sound version
// while an outage makes both fail.
func TestErrorsOfBothVersionsDoNotStopTheNewOne(t *testing.T) {
	r := newRollout()
	count(r, false, 400, 0)
	count(r, true, 40, 0)
	assert.Assert(t, r.FindWorse(at(4)) == nil)
	count(r, false, 200, 60)
	count(r, true, 20, 7)
	assert.Assert(t, r.FindWorse(at(6)) == nil)
	count(r, true, 20, 20)
	assert.Assert(t, r.FindWorse(at(7)) != nil)
}

func TestBadVersionIsStoppedByCountsOfAllInstances(t *testing.T) {
	r := newRollout()
	count(r, false, 30, 0)
	count(r, true, 2, 1)
	assert.Assert(t, r.FindWorse(at(7)) == nil)
	r.SetPeerCounts("other", map[Key]Count{{Route: "a", New: true}: {Answers: 8, Failures: 5, Errors: 5}, {Route: "a"}: {Answers: 70}})
	finding := r.FindWorse(at(7))
	assert.Equal(t, finding.New, Count{Answers: 10, Failures: 6, Errors: 6})
	assert.Equal(t, finding.Old, Count{Answers: 100, Failures: 0})
	assert.Assert(t, r.Stop())
	assert.Equal(t, r.Phase(), Reverted)
	assert.Equal(t, due(r, 1), Reverted)
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
	assert.Equal(t, due(r, 8), Done)
	assert.Assert(t, !r.Adopt(at(9), Reverted))
	assert.Equal(t, r.Phase(), Done)
}

// TestLateResponsesStopAVersionUnlessTheyComeAtOnce guards against the reversion of a good
// version whose upstream has crashed, and against a version that never responds in time.
func TestLateResponsesStopAVersionUnlessTheyComeAtOnce(t *testing.T) {
	r := newRollout()
	count(r, false, 200, 0)
	count(r, true, 20, 0)
	assert.Assert(t, r.FindWorse(at(1)) == nil)
	for range 15 {
		r.Record(Key{Route: "a", New: true}, LateResponse)
	}
	for second := 2.0; second < 5; second++ {
		assert.Assert(t, r.FindWorse(at(second)) == nil)
	}
	for range 10 {
		r.Record(Key{Route: "a", New: true}, LateResponse)
	}
	assert.Assert(t, r.FindWorse(at(5)) != nil)
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
	assert.Assert(t, r.FindWorse(at(7)) == nil)
	count(r, true, 20, 10)
	assert.Assert(t, r.FindWorse(at(7)) != nil, "error responses of the upstream count")
}

// TestNoBaselineAfterARestart guards against finding a version worse when a restart has
// lost the counts of the old version.
func TestNoBaselineAfterARestart(t *testing.T) {
	r := newRollout()
	r.Adopt(at(6), Promoting)
	count(r, true, 20, 10)
	assert.Assert(t, r.FindWorse(at(7)) == nil)
}
