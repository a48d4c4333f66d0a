package demo

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed        = flag.Uint64("demo.seed", 1, "first seed of TestRandomRun")
	seeds            = flag.Int("demo.seeds", 2, "number of seeds of TestRandomRun")
	steps            = flag.Int("demo.steps", 35, "number of steps of each seed of TestRandomRun")
	maxFaultDuration = flag.Duration("demo.harm", 4*time.Second, "longest duration of one fault of TestRandomRun")
)

// TestRandomRun injects concurrent faults drawn from a seed into a whole system while
// callers and operators use it, and checks its guarantees.
func TestRandomRun(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			options := TrialOptions{Seed: seed, Steps: *steps, MaxFaultDuration: *maxFaultDuration}
			assert.NilError(t, RunTrial(t.Context(), options, t))
		})
	}
}
