package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
)

// callTimeout bounds the calls that get no response.
const callTimeout = 100 * time.Millisecond

// TestEveryCallUnderFaults checks the result of each kind of call, and whether
// writes took effect, on both backends.
func TestEveryCallUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		reads  error
		writes error
		// effect reports whether writes take effect.
		effect bool
	}{
		{"none", standin.Faults{}, nil, nil, true},
		{"refused", standin.Faults{Outage: standin.OutageRefuse}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"hanging", standin.Faults{Outage: standin.OutageHang}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"slow", standin.Faults{Delay: standin.Duration(10 * time.Millisecond)}, nil, nil, true},
		{"too slow", standin.Faults{Delay: standin.Duration(time.Hour)}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"answers lost", standin.Faults{LoseAnswers: 1}, nil, platform.ErrUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
				_, err := b.CompareAndSwap(ctx, "kept", []byte("1"), 0, 0)
				assert.NilError(t, err)
				revision, err := b.CompareAndSwap(ctx, "deleted", []byte("1"), 0, 0)
				assert.NilError(t, err)
				lease, err := b.GrantLease(ctx, time.Hour)
				assert.NilError(t, err)
				b.standin.SetFaults(c.faults)

				call := func(want error, call func(ctx context.Context) error) {
					t.Helper()
					ctx, cancel := context.WithTimeout(ctx, callTimeout)
					defer cancel()
					if want == nil {
						assert.NilError(t, call(t.Context()))
						return
					}
					assert.ErrorIs(t, call(ctx), want)
				}
				call(c.reads, func(ctx context.Context) error { _, err := b.Get(ctx, "kept"); return err })
				call(c.reads, func(ctx context.Context) error { _, _, err := b.List(ctx, ""); return err })
				call(c.reads, func(ctx context.Context) error { _, _, err := b.Watch(ctx, "", 0, time.Millisecond); return err })
				call(c.reads, func(ctx context.Context) error { _, err := b.Instances(ctx); return err })
				call(c.writes, func(ctx context.Context) error {
					_, err := b.CompareAndSwap(ctx, "new", []byte("2"), 0, 0)
					return err
				})
				call(c.writes, func(ctx context.Context) error { return b.Delete(ctx, "deleted", revision) })
				call(c.writes, func(ctx context.Context) error { _, err := b.GrantLease(ctx, time.Hour); return err })
				call(c.writes, func(ctx context.Context) error { return b.KeepAlive(ctx, lease) })

				b.standin.SetFaults(standin.Faults{})
				assertEffect(t, b, c.effect)
			})
		})
	}
}

// assertEffect reads from the stand-in directly, because the client may back off after
// failures.
func assertEffect(t *testing.T, b backend, effect bool) {
	t.Helper()
	_, err := b.standin.Get(t.Context(), "new")
	assert.Equal(t, err == nil, effect)
	_, err = b.standin.Get(t.Context(), "deleted")
	assert.Equal(t, err != nil, effect)
}

func TestStaleReadsAndLaggingList(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		first, err := b.CompareAndSwap(ctx, "k", []byte("old"), 0, 0)
		assert.NilError(t, err)
		// The state of an hour ago has no key at all.
		b.standin.SetFaults(standin.Faults{StaleReads: 1, StaleAge: standin.Duration(time.Hour), InstanceLag: standin.Duration(time.Hour)})
		_, err = b.Get(ctx, "k")
		assert.ErrorIs(t, err, platform.ErrNotFound)
		entries, revision, err := b.List(ctx, "")
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 0)
		assert.Assert(t, revision < first)
		// Writes are compared with the newest state.
		_, err = b.CompareAndSwap(ctx, "k", []byte("new"), 0, 0)
		assert.ErrorIs(t, err, platform.ErrConflict)

		b.standin.SetInstance(platform.Instance{Name: "e1", Role: "entry", State: platform.InstanceLive})
		rows, err := b.Instances(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
		b.standin.SetFaults(standin.Faults{})
		rows, err = b.Instances(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
	})
}

// TestSilentWatchTimesOutAndNextWatchWorks permanently silences a waiting watch,
// clears the fault, and watches again.
func TestSilentWatchTimesOutAndNextWatchWorks(t *testing.T) {
	onEachBackend(t, func(t *testing.T, ctx context.Context, b backend) {
		silent := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _, err := b.Watch(ctx, "", 0, time.Minute)
			silent <- err
		}()
		for b.standin.Calls()[platform.CallWatch] == 0 {
			time.Sleep(time.Millisecond)
		}
		b.standin.SetFaults(standin.Faults{SilentWatches: true})
		b.standin.SetFaults(standin.Faults{})
		_, err := b.standin.CompareAndSwap(ctx, "k", []byte("1"), 0, 0)
		assert.NilError(t, err)
		assert.ErrorIs(t, <-silent, platform.ErrUnavailable)
		entries, _, err := b.Watch(ctx, "", 0, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1)
	})
}

// TestOnlyRefusalsByStoreAreDefinite checks that only refusals by the store itself are
// definite; all other responses count as unavailable.
func TestOnlyRefusalsByStoreAreDefinite(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusNotFound, `{"current_rev": 7}`, platform.ErrNotFound},
		{http.StatusNotFound, ``, platform.ErrNotFound},
		{http.StatusNotFound, `404 page not found`, platform.ErrUnavailable},
		{http.StatusPreconditionFailed, `{}`, platform.ErrUnavailable},
		{http.StatusGone, `{}`, platform.ErrUnavailable},
		{http.StatusOK, `<html>`, platform.ErrUnavailable},
		{http.StatusBadGateway, ``, platform.ErrUnavailable},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		client, err := platform.NewClient(platform.ClientOptions{URL: server.URL})
		assert.NilError(t, err)
		_, err = client.Get(t.Context(), "k")
		assert.ErrorIs(t, err, c.want, "%d %s", c.status, c.body)
		client.Close()
		server.Close()
	}
	_, err := platform.NewClient(platform.ClientOptions{URL: "10.0.0.1:7000"})
	assert.Assert(t, strings.Contains(err.Error(), "is not of the form"))
}

// TestFaultSwitchesOverHTTP sets and reads the switches over HTTP, as the operator of a
// stand-in does.
func TestFaultSwitchesOverHTTP(t *testing.T) {
	p := standin.New(standin.Options{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	put := func(path, body string) int {
		request, err := http.NewRequest(http.MethodPut, server.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	defer http.DefaultClient.CloseIdleConnections()
	assert.Equal(t, put(standin.PathFaults, `{"outage": "refuse", "delay": "5ms"}`), http.StatusOK)
	assert.Equal(t, p.Faults(), standin.Faults{Outage: standin.OutageRefuse, Delay: standin.Duration(5 * time.Millisecond)})
	assert.Equal(t, put(standin.PathFaults, `{"outrage": true}`), http.StatusBadRequest)
	assert.Equal(t, put(standin.PathTrueInstances, `{"instances": [{"name": "e1"}]}`), http.StatusOK)
	assert.Equal(t, p.TrueInstances()[0].Name, "e1")
}
