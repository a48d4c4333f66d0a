package sharetable

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// drawDivision draws a division of the whole line into disjoint sets.
func drawDivision(t *rapid.T) []Ranges {
	owners := rapid.IntRange(1, 12).Draw(t, "owners")
	sets := make([]Ranges, owners)
	start := 0
	for start < Whole {
		end := min(Whole, start+rapid.IntRange(1, Whole/4).Draw(t, "length"))
		owner := rapid.IntRange(0, owners-1).Draw(t, "owner")
		sets[owner] = sets[owner].Union(Ranges{{start, end}})
		start = end
	}
	return sets
}

func TestDivisionAddsUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Customer{Name: rapid.String().Draw(t, "name"), Rate: 1000, Burst: rapid.IntRange(1, 5000).Draw(t, "burst")}
		burst, rate := 0, 0.0
		for _, limit := range drawDivision(t) {
			share := Divide(limit, []Customer{c}, nil)[0]
			counted := 0
			for token := range c.Burst {
				at := tokenPosition(token, offsetOf(c.Name))
				for _, r := range limit {
					if startPosition(r.Start) <= at && at < startPosition(r.End) {
						counted++
					}
				}
			}
			assert.Equal(t, share.Burst, counted)
			burst += share.Burst
			rate += share.Rate
		}
		assert.Equal(t, burst, c.Burst)
		assert.Assert(t, rate < c.Rate+1e-6 && rate > c.Rate-1e-6, "rate %v", rate)
	})
}

// Members with different configuration versions never own more tokens together than
// the larger burst has.
func TestDivisionOfTwoBurstsStaysWithinTheLarger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bursts := [2]int{rapid.IntRange(0, 300).Draw(t, "one"), rapid.IntRange(0, 300).Draw(t, "two")}
		sum := 0
		for _, limit := range drawDivision(t) {
			burst := bursts[rapid.IntRange(0, 1).Draw(t, "version")]
			sum += Divide(limit, []Customer{{Name: "c", Rate: 1, Burst: burst}}, nil)[0].Burst
		}
		assert.Assert(t, sum <= max(bursts[0], bursts[1]), "%d of %v", sum, bursts)
	})
}

func TestRangesAreSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDivision(t)[0], drawDivision(t)[0]
		both := a.Subtract(a.Subtract(b))
		assert.Equal(t, a.Union(b).Size(), a.Size()+b.Size()-both.Size())
		assert.Assert(t, a.Union(b).Contains(a) && b.Contains(both))
		taken := a.take(1000)
		assert.Equal(t, taken.Size(), min(1000, a.Size()))
		assert.Assert(t, a.Contains(taken))
		data, err := a.MarshalJSON()
		assert.NilError(t, err)
		var read Ranges
		assert.NilError(t, read.UnmarshalJSON(data))
		assert.Assert(t, read.Equal(a))
	})
}
