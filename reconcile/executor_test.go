package reconcile_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/reconcile"
	standin "samphireferry.example/ferry/standin/platform"
)

// counter is a Reconciler that increments the number under one key up to a
// target and then deletes the key.
type counter struct {
	key      string
	target   int
	value    int
	revision platform.Revision
	exists   bool
	finished bool
	planned  bool
}

func (c *counter) Observe(entry platform.Entry) {
	if entry.Key != c.key || entry.Revision <= c.revision {
		return
	}
	c.revision = entry.Revision
	if entry.Deleted {
		c.finished = c.exists && c.value == c.target
		c.exists = false
		return
	}
	c.exists = true
	c.value, _ = strconv.Atoi(string(entry.Value))
}

func (c *counter) Plan(time.Time) (reconcile.Write, bool) {
	if c.planned {
		panic("planned before Done")
	}
	if c.finished {
		return reconcile.Write{}, false
	}
	c.planned = true
	write := reconcile.Write{Key: c.key, Value: []byte(strconv.Itoa(c.value + 1))}
	if c.exists {
		write.Expected = c.revision
		write.Delete = c.value == c.target
	}
	return write, true
}

func (c *counter) Done(write reconcile.Write, revision platform.Revision, err error) {
	c.planned = false
	if err != nil {
		return
	}
	if write.Delete {
		c.finished = true
		return
	}
	c.Observe(platform.Entry{Key: write.Key, Value: write.Value, Revision: revision})
}

// TestExecutorCompletesWritesUnderFaults checks that the executor makes no call
// without the lease, that all writes complete despite lost responses and stale
// reads, and that it makes few calls during an outage.
func TestExecutorCompletesWritesUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			store := standin.New(standin.Options{Seed: seed})
			held := false
			results := make(chan reconcile.Result, 100)
			executor := reconcile.NewExecutor(reconcile.Options{
				Store:     store,
				LeaseHeld: func(time.Time) bool { return held },
				Post:      func(r reconcile.Result) { results <- r },
				Rand:      rand.New(rand.NewPCG(seed, 1)),
			})
			var counters []*counter
			for i := range 3 {
				c := &counter{key: fmt.Sprintf("c%d", i), target: 20}
				counters = append(counters, c)
				executor.Add(c.key, c)
			}
			run := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					synctest.Wait()
					for len(results) > 0 {
						executor.HandleResult(time.Now(), <-results)
					}
					executor.Step(context.Background(), time.Now())
				}
			}
			run(10 * time.Second)
			assert.Equal(t, store.TotalCalls(), uint64(0), "no call without the lease")

			held = true
			store.SetFaults(standin.Faults{
				LoseAnswers: 0.4,
				StaleReads:  0.3,
				StaleAge:    standin.Duration(500 * time.Millisecond),
			})
			run(30 * time.Second)
			store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
			before := store.TotalCalls()
			run(60 * time.Second)
			assert.Assert(t, store.TotalCalls()-before <= 60, "%d calls during the outage", store.TotalCalls()-before)
			store.SetFaults(standin.Faults{LoseAnswers: 0.2})
			run(200 * time.Second)
			for _, c := range counters {
				assert.Assert(t, c.finished, "seed %d: %+v", seed, c)
			}
		})
	}
}
