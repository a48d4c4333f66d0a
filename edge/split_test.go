package edge

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/routing"
)

func TestASplitKeepsToItsWeightsAtEveryPrefix(t *testing.T) {
	weights := map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1}
	var parts []routing.WeightedService
	for _, name := range []string{"a", "b", "c"} {
		parts = append(parts, routing.WeightedService{Service: &routing.Service{Name: name}, Weight: weights[name]})
	}
	s := newSplit(parts)
	counts := map[string]float64{}
	for n := 1; n <= 1000; n++ {
		counts[s.next().Name]++
		for name, weight := range weights {
			assert.Assert(t, math.Abs(counts[name]-weight*float64(n)) <= 1, "%s after %d requests", name, n)
		}
	}
	assert.Assert(t, s.matches(parts))
	assert.Assert(t, !s.matches(parts[:2]))
}
