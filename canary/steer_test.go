package canary

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharesFavourRoutesWithoutEvidence guards against routes with few requests that get the
// share of all others, and against more requests for the new version than are allowed.
func TestSharesFavourRoutesWithoutEvidence(t *testing.T) {
	r := New(Order{Service: "lookup", Version: "v2", Within: 16 * time.Second}, drainTime, at(0))
	b := Bounds{Share: 0.1, Slack: 50, Instances: 10}
	first := r.Shares(at(1), b)
	assert.Equal(t, first.Unknown, first.Default)
	r.SetPeerCounts("other", map[Key]Count{
		{Route: "a"}: {Answers: 216}, {Route: "a", New: true}: {Answers: 24}, {Route: "rare"}: {Answers: 4},
	})
	s := r.Shares(at(4), b)
	assert.Equal(t, s.ByRoute["rare"], maxRouteShare)
	assert.Equal(t, s.Unknown, maxRouteShare)
	assert.Assert(t, s.ByRoute["a"] > 0.1 && s.ByRoute["a"] < 0.2, "%v", s.ByRoute)
	perSecond := 60*s.ByRoute["a"] + s.ByRoute["rare"]
	assert.Assert(t, perSecond*12+24 < 0.1*61*16+b.Slack, "%v requests a second", perSecond)
	assert.Assert(t, s.Slack <= b.Slack/10)
}

// TestASplitKeepsToItsBounds guards against more requests for the new version than the share of
// a service allows when a route that had few requests gets many.
func TestASplitKeepsToItsBounds(t *testing.T) {
	s := NewSplit(func(string) float64 { return 0.5 })
	s.Set(Shares{ByRoute: map[string]float64{"rare": 0.9}, Unknown: 0.1, Default: 0.1, Slack: 3, Ahead: 2})
	chosen := 0
	for n := 1; n <= 1000; n++ {
		if s.Next("rare") {
			chosen++
		}
		assert.Assert(t, float64(chosen) <= 0.1*float64(n)+5)
	}
	assert.Assert(t, chosen >= 104)
}

// TestAReturnedRequestLeavesNoTrace guards against shares that count requests which no upstream
// got, as under overload.
func TestAReturnedRequestLeavesNoTrace(t *testing.T) {
	s := NewSplit(func(string) float64 { return 0.5 })
	s.Set(Shares{Unknown: 0.1, Default: 0.1})
	for range 1000 {
		s.Return("a", s.Next("a"), false)
	}
	assert.Equal(t, s.chosen, 0.0)
	assert.Assert(t, math.Abs(s.earned) < 1e-6)
	s.Set(Shares{Unknown: 0.6, Default: 0.1, Ahead: 1})
	assert.Assert(t, s.Next("a"))
	s.Return("a", true, true)
	assert.Assert(t, s.Next("a"), "the old version got the last one")
}
