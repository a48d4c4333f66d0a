package operator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/distribution"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func customers(burst int) *dynamic.Set {
	return &dynamic.Set{Customers: []dynamic.Customer{{Name: "acme", Rate: 1, Burst: burst}}}
}

// mustPublish publishes the set on a store without faults.
func mustPublish(t *testing.T, p *Publisher, set *dynamic.Set) *dynamic.Config {
	base, err := p.Current(t.Context())
	assert.NilError(t, err)
	config, err := p.Publish(t.Context(), base, set)
	assert.NilError(t, err)
	return config
}

func TestPublishRejectsInvalidSetWithoutWriting(t *testing.T) {
	store := standin.New(standin.Options{})
	p := NewPublisher(store, nil)
	_, err := p.Publish(t.Context(), Published{}, customers(0))
	assert.Error(t, err, "customers acme: burst: must be at least 1")
	assert.Equal(t, store.Calls()[platform.CallSwap], uint64(0))
}

func TestLostRaceReportsChanges(t *testing.T) {
	p := NewPublisher(standin.New(standin.Options{}), nil)
	mustPublish(t, p, customers(1))
	base, err := p.Current(t.Context())
	assert.NilError(t, err)
	mustPublish(t, p, customers(2))
	_, err = p.Publish(t.Context(), base, customers(3))
	assert.Error(t, err, "another operator has published version 2 first; nothing was published\n  changed customers acme: burst")
}

// TestLostResponsesAreResolved checks the outcome of a publish whose first
// compare-and-swap fails or loses its response, while other operators publish
// before it is repeated.
func TestLostResponsesAreResolved(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		// tookEffect is set when the write took effect and its response was lost.
		tookEffect bool
		want       string
	}{
		{"taken effect", 0, true, ""},
		{"taken effect and replaced", 3, true, ""},
		{"not taken effect", 0, false, ""},
		{"another was first", 1, false, "another operator has published version 1 first; nothing was published\n  added customers acme"},
		{"replaced beyond the history", dynamic.MaxHistory + 1, true, "the outcome of the publish is unknown: version 1 with publish id first may or may not be published"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New(standin.Options{})
				store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
				if c.tookEffect {
					store.SetFaults(standin.Faults{LoseAnswers: 1})
				}
				result := make(chan error, 1)
				go func() {
					_, err := NewPublisher(store, func() string { return "first" }).Publish(t.Context(), Published{}, customers(1))
					result <- err
				}()
				synctest.Wait()
				store.SetFaults(standin.Faults{})
				for i := range c.others {
					mustPublish(t, NewPublisher(store, nil), customers(2+i))
				}
				err := <-result
				if c.want == "" {
					assert.NilError(t, err)
					return
				}
				assert.Error(t, err, c.want)
			})
		})
	}
}

func TestPublishWithoutResponseHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{})
		store.SetFaults(standin.Faults{LoseAnswers: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := NewPublisher(store, nil).Publish(ctx, Published{}, customers(1))
		var unsettled *UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unsettled))
		assert.Equal(t, unsettled.Version, uint64(1))
	})
}

// seeds is the number of randomised runs; longer runs set it higher.
var seeds = flag.Uint64("seeds", 8, "number of seeds of the randomised runs")

// TestRacingOperatorsUnderFaults checks that each edit takes effect at most once:
// concurrent operators increment a number while the store loses responses, returns
// outdated values and has outages, and the final number must match the versions
// and lie between the accepted edits and those plus the ones of unknown outcome.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			store := standin.New(standin.Options{Seed: seed})
			mustPublish(t, NewPublisher(store, nil), customers(1))
			ctx, cancel := context.WithCancel(t.Context())
			var accepted, unknown atomic.Int64
			var running sync.WaitGroup
			for i := range uint64(4) {
				running.Go(func() {
					random := rand.New(rand.NewPCG(seed, i))
					for n := 0; ctx.Err() == nil; n++ {
						publisher := NewPublisher(store, func() string { return fmt.Sprintf("%d-%d-%d", i, n, random.Uint64()) })
						incrementBurst(ctx, publisher, &accepted, &unknown)
						time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					}
				})
			}
			running.Go(func() { observeVersions(ctx, t, store) })
			injectFaults(seed, store)
			cancel()
			running.Wait()
			final, err := NewPublisher(store, nil).Current(t.Context())
			assert.NilError(t, err)
			applied := int64(final.Config.Set.Customers[0].Burst - 1)
			assert.Equal(t, applied, int64(final.Version()-1))
			assert.Assert(t, applied >= accepted.Load(), "%d applied, %d accepted", applied, accepted.Load())
			assert.Assert(t, applied <= accepted.Load()+unknown.Load(), "%d applied, %d accepted, %d unknown", applied, accepted.Load(), unknown.Load())
			t.Logf("seed %d: %d accepted, %d unknown, %d applied", seed, accepted.Load(), unknown.Load(), applied)
		})
	}
}

// incrementBurst edits the set to add 1 to the burst and counts the outcome.
func incrementBurst(ctx context.Context, p *Publisher, accepted, unknown *atomic.Int64) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err := p.Edit(ctx, func(set *dynamic.Set) error {
		if len(set.Customers) == 0 {
			return errors.New("the store returned its initial, empty state")
		}
		set.Customers[0].Burst++
		return nil
	})
	var unknownErr *UnknownOutcomeError
	switch {
	case err == nil:
		accepted.Add(1)
	case errors.As(err, &unknownErr):
		unknown.Add(1)
	}
}

// observeVersions reads the store as an instance does and fails the test if the
// version in force decreases.
func observeVersions(ctx context.Context, t *testing.T, store platform.Store) {
	checker := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) }}
	holder := distribution.NewHolder(nil, checker)
	version := uint64(0)
	for ctx.Err() == nil {
		reading, cancel := context.WithTimeout(ctx, time.Second)
		entry, err := store.Get(reading, platform.KeyConfig)
		cancel()
		if err == nil {
			_, _ = holder.Offer(entry.Value)
		}
		if holder.Version() < version {
			t.Errorf("version %d reverted to %d", version, holder.Version())
		}
		version = holder.Version()
		time.Sleep(50 * time.Millisecond)
	}
}

// injectFaults sets 60 random faults of the store, one after another, then clears
// them and waits for 10 seconds.
func injectFaults(seed uint64, store *standin.Platform) {
	random := rand.New(rand.NewPCG(seed, 99))
	for range 60 {
		store.SetFaults([]standin.Faults{
			{},
			{LoseAnswers: 0.5},
			{LoseAnswers: 0.5, StaleReads: 0.5, StaleAge: standin.Duration(2 * time.Second)},
			{StaleReads: 0.9, StaleAge: standin.Duration(time.Second)},
			{Outage: standin.OutageRefuse},
			{Outage: standin.OutageHang},
			{Delay: standin.Duration(300 * time.Millisecond), LoseAnswers: 0.2},
		}[random.IntN(7)])
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	store.SetFaults(standin.Faults{})
	time.Sleep(10 * time.Second)
}
