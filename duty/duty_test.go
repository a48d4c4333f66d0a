package duty_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/duty"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	standin "samphireferry.example/ferry/standin/platform"
)

const ttl = 3 * time.Second

// acquire makes the calls of an acquisition by n1 and returns their result.
func acquire(t *testing.T, store platform.Store, lateCalls time.Duration) duty.Result {
	t.Helper()
	results := make(chan duty.Result, 1)
	start := time.Now()
	runner := duty.NewRunner(duty.RunnerOptions{
		Store: store, Holder: records.DutyHolder{Name: "n1", Incarnation: "n1_a"},
		Prefix: records.PrefixDuties, HolderKey: records.KeyUsageHolder, ReportKey: records.KeyUsageReports,
		TTL: ttl, LateCalls: lateCalls, Clock: func() time.Duration { return time.Since(start) },
		Post:  func(r duty.Result) { results <- r },
		Count: func(string) {},
	})
	runner.Start(t.Context(), duty.Acquire, 0)
	return <-results
}

// A holder that was paused must not act after the store may have given the duty to another one,
// also when nothing but the clock tells it.
func TestThePermitEndsBeforeTheLease(t *testing.T) {
	d := duty.New(duty.Options{TTL: ttl, Rand: rand.New(rand.NewPCG(1, 1))})
	assert.Equal(t, d.Tick(0, true, true), duty.None, "candidates wait for a random time")
	assert.Equal(t, d.Tick(time.Second, true, true), duty.Acquire)
	d.Handle(1200*time.Millisecond, duty.Result{Action: duty.Acquire, StartedAt: time.Second, Token: 7, Lease: 1})
	assert.Assert(t, d.Permit().Allows(1200*time.Millisecond))
	assert.Assert(t, !d.Permit().Allows(time.Second+ttl*3/4))

	assert.Equal(t, d.Tick(2500*time.Millisecond, true, false), duty.Renew)
	// The response to a renewal says only that the lease was valid when it began.
	d.Handle(9*time.Second, duty.Result{Action: duty.Renew, StartedAt: 2500 * time.Millisecond})
	assert.Assert(t, !d.Permit().Allows(9*time.Second))

	assert.Equal(t, d.Tick(9*time.Second, true, false), duty.Renew)
	d.Handle(9*time.Second, duty.Result{Action: duty.Renew, StartedAt: 9 * time.Second, Err: platform.ErrLeaseExpired})
	assert.Equal(t, d.Permit().Token, platform.Revision(0))
}

// A refused token must not be used again, and the instance must not try again at once.
func TestARefusedTokenIsGivenUp(t *testing.T) {
	d := duty.New(duty.Options{TTL: ttl, Rand: rand.New(rand.NewPCG(1, 1))})
	d.Tick(0, true, true)
	d.Tick(time.Second, true, true)
	d.Handle(time.Second, duty.Result{Action: duty.Acquire, StartedAt: time.Second, Token: 7, Lease: 1})
	d.Refused(time.Second)
	assert.Equal(t, d.Permit().Token, platform.Revision(0))
	assert.Equal(t, d.Tick(time.Second, true, false), duty.Release)
	d.Handle(time.Second, duty.Result{Action: duty.Release})
	assert.Equal(t, d.Tick(time.Second+ttl, true, true), duty.None)
	assert.Equal(t, d.Tick(time.Second+3*ttl, true, true), duty.Acquire)
}

// restoredStore is a store that is restored after each write, before the response states its era.
type restoredStore struct{ platform.Store }

func (s restoredStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, key, value, expected, lease)
	return platform.NewRevision(1, revision.Number()), err
}

// The write of an acquisition may precede a restore that its response states. Its number will be
// given out again in the new era, so it is no token.
func TestATokenIsConfirmedByARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Options{Seed: 1})
		assert.Assert(t, acquire(t, restoredStore{store}, 0).Err != nil)
		time.Sleep(2 * ttl)
		assert.NilError(t, acquire(t, store, 0).Err)
		assert.ErrorIs(t, acquire(t, store, 0).Err, platform.ErrConflict)
		time.Sleep(2 * ttl) // The leases end.
	})
}

// After the holders n1 and n2, n1 must not act again within the TTL; and where the API does not
// check tokens, not while calls of the last holder may be executed late.
func TestANewHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			last      records.UsageReports
			wait      time.Duration
			lateCalls time.Duration
		}{
			{last: records.UsageReports{Token: 5, Holder: "n2", CallMillis: 4000}},
			{records.UsageReports{Token: 5, Holder: "n2", CallMillis: 400}, 2 * time.Second, 2 * time.Second},
			{records.UsageReports{Token: 5, Holder: "n2", CallMillis: 4000}, 8 * time.Second, 2 * time.Second},
			{records.UsageReports{Token: 5, Holder: "n2", Previous: "n1"}, ttl, 0},
			{records.UsageReports{Token: 5, Holder: "n2", Previous: "n3"}, 0, 0},
			{records.UsageReports{Token: 5, Holder: "n1", Previous: "n2"}, 0, 0},
			// The store was restored since: the last holder may still act.
			{records.UsageReports{Token: int64(platform.NewRevision(2, 5)), Holder: "n2"}, ttl, 0},
		} {
			store := standin.New(standin.Options{Seed: 1})
			value, err := test.last.Encode()
			assert.NilError(t, err)
			_, err = store.CompareAndSwap(t.Context(), records.KeyUsageReports, value, 0, 0)
			assert.NilError(t, err)
			result := acquire(t, store, test.lateCalls)
			assert.NilError(t, result.Err)
			assert.Equal(t, result.Wait, test.wait, "%+v", test.last)
		}
		time.Sleep(2 * ttl) // The leases end.
	})
}
