package demo

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("demo.seed", 1, "first seed of TestRandomRun")
	seeds     = flag.Int("demo.seeds", 2, "number of seeds of TestRandomRun")
	steps     = flag.Int("demo.steps", 35, "number of steps of each seed of TestRandomRun")
	maxHarm   = flag.Duration("demo.harm", 4*time.Second, "longest time that one harm of TestRandomRun lasts")
)

// TestRandomRun harms a whole system in many ways at once, as drawn from a
// seed, while callers and operators use it, and checks its promises.
func TestRandomRun(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			options := TrialOptions{Seed: seed, Steps: *steps, MaxHarm: *maxHarm}
			assert.NilError(t, RunTrial(t.Context(), options, t))
		})
	}
}
