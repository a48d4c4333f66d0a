package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend is an implementation of the contract under test.
type backend struct {
	platform.Store
	platform.InstanceLister
	standin *standin.Platform
}

// onEachBackend runs the test on the in-memory store and through the client.
func onEachBackend(t *testing.T, test func(t *testing.T, ctx context.Context, b backend)) {
	t.Run("memory", func(t *testing.T) {
		p := standin.New(standin.Options{Seed: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		test(t, ctx, backend{p, p, p})
	})
	t.Run("client", func(t *testing.T) {
		p := standin.New(standin.Options{Seed: 1})
		server := httptest.NewServer(p.Handler())
		client, err := platform.NewClient(platform.ClientOptions{
			URL:            server.URL,
			Timeout:        10 * time.Second,
			CallsPerSecond: 1000,
			CallBurst:      1000,
			MinBackoff:     time.Millisecond,
			MaxBackoff:     time.Millisecond,
		})
		assert.NilError(t, err)
		defer server.Close()
		defer server.CloseClientConnections()
		defer client.Close()
		test(t, t.Context(), backend{client, client, p})
	})
}

func TestStoreContract(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		_, err := b.Get(ctx, "a/1")
		assert.ErrorIs(t, err, platform.ErrNotFound)

		first, err := b.CompareAndSwap(ctx, "a/1", []byte("one"), 0, 0)
		assert.NilError(t, err)
		_, err = b.CompareAndSwap(ctx, "a/1", []byte("two"), 0, 0)
		assert.ErrorIs(t, err, platform.ErrConflict)
		second, err := b.CompareAndSwap(ctx, "a/1", []byte("two"), first, 0)
		assert.NilError(t, err)
		assert.Assert(t, second > first)

		entry, err := b.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.DeepEqual(t, entry, platform.Entry{Key: "a/1", Value: []byte("two"), Revision: second})

		_, err = b.CompareAndSwap(ctx, "a/0 &?", []byte("zero"), 0, 0)
		assert.NilError(t, err)
		entries, revision, err := b.List(ctx, "a/")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 2)
		assert.Equal(t, entries[0].Key, "a/0 &?")
		assert.Equal(t, revision, entries[0].Revision)

		assert.ErrorIs(t, b.Delete(ctx, "a/1", first), platform.ErrConflict)
		assert.NilError(t, b.Delete(ctx, "a/1", second))
		_, err = b.Get(ctx, "a/1")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		changes, next, err := b.Watch(ctx, "a/", revision, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), 1)
		assert.Assert(t, changes[0].Deleted)
		assert.Equal(t, next, changes[0].Revision)
		_, err = b.CompareAndSwap(ctx, "a/1", []byte("again"), 0, 0)
		assert.NilError(t, err)
	})
}

func TestStoreRejectsLargeValues(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		_, err := b.CompareAndSwap(ctx, "large", make([]byte, platform.MaxValueBytes), 0, 0)
		assert.NilError(t, err)
		_, err = b.CompareAndSwap(ctx, "larger", make([]byte, platform.MaxValueBytes+1), 0, 0)
		assert.ErrorIs(t, err, platform.ErrTooLarge)
	})
}

func TestLeaseRemovesItsKeys(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		lease, err := b.GrantLease(ctx, 30*time.Millisecond)
		assert.NilError(t, err)
		revision, err := b.CompareAndSwap(ctx, "held", []byte("me"), 0, lease)
		assert.NilError(t, err)
		changes, _, err := b.Watch(ctx, "held", revision, 5*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, changes[0].Deleted)
		assert.ErrorIs(t, b.KeepAlive(ctx, lease), platform.ErrLeaseExpired)
		_, err = b.CompareAndSwap(ctx, "held", []byte("me"), 0, lease)
		assert.ErrorIs(t, err, platform.ErrLeaseExpired)

		lease, err = b.GrantLease(ctx, time.Minute)
		assert.NilError(t, err)
		_, err = b.CompareAndSwap(ctx, "held", []byte("me"), 0, lease)
		assert.NilError(t, err)
		assert.NilError(t, b.KeepAlive(ctx, lease))
		assert.NilError(t, b.RevokeLease(ctx, lease))
		_, err = b.Get(ctx, "held")
		assert.ErrorIs(t, err, platform.ErrNotFound)
	})
}

func TestWaitingWatchCountsAsOneCall(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		changes, _, err := b.Watch(ctx, "w", 0, 20*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), 0)
		done := make(chan int, 1)
		go func() {
			changes, _, _ := b.Watch(ctx, "w", 0, 5*time.Second)
			done <- len(changes)
		}()
		_, err = b.CompareAndSwap(ctx, "w", nil, 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, <-done, 1)
		assert.Equal(t, b.standin.Calls()[platform.CallWatch], uint64(2))
	})
}
