package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRankingIsTheSortedOrder compares the ranking, which is sorted as far as it is read, with the
// sorted candidates.
func TestRankingIsTheSortedOrder(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		candidates := make([]ranked, random.IntN(60))
		for n := range candidates {
			candidates[n] = ranked{target: &target{}, region: random.IntN(3), rank: random.Uint64()}
		}
		want := slices.Clone(candidates)
		slices.SortFunc(want, compareRanked)
		r := &ranking{candidates: candidates}
		for n := range random.IntN(r.len() + 1) {
			assert.Assert(t, r.at(n) == want[n].target, "seed %d, candidate %d", seed, n)
		}
	}
}

// TestAChoiceAllocatesNothingForEachUpstream guards against a cost of each request that grows with
// the upstreams of its service.
func TestAChoiceAllocatesNothingForEachUpstream(t *testing.T) {
	allocated := func(upstreams int, load Load) float64 {
		p := newPool(upstreams, Settings{})
		p.StepShares(at(1), map[string]Demand{"lookup": {"east": 1}}, nil)
		return testing.AllocsPerRun(100, func() {
			lease, refusal := p.Acquire(at(1), query(7))
			assert.Equal(t, refusal, Chosen)
			lease.Release(at(1), Answered, load)
		})
	}
	for _, load := range []Load{{}, {Known: true, Pace: 120}} {
		assert.Equal(t, allocated(800, load), allocated(8, load))
	}
}
