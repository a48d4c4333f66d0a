package platform

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
)

func newClient(t *testing.T, p *Platform) *platform.Client {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, err := platform.NewClient(platform.ClientOptions{URL: server.URL, CallsPerSecond: 1000, CallBurst: 1000})
	assert.NilError(t, err)
	return client
}

func TestNothingFromBeforeARestoreIsValid(t *testing.T) {
	for name, observes := range map[string]bool{"the restore is not known yet": false, "the restore is known": true} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{})
			client := newClient(t, p)
			first, err := client.CompareAndSwap(t.Context(), "a", []byte("1"), 0, 0)
			assert.NilError(t, err)
			restored := p.Copy()
			lease, err := client.GrantLease(t.Context(), time.Minute)
			assert.NilError(t, err)
			second, err := client.CompareAndSwap(t.Context(), "a", []byte("2"), first, 0)
			assert.NilError(t, err)
			third, err := client.CompareAndSwap(t.Context(), "b", []byte("3"), 0, lease)
			assert.NilError(t, err)
			p.Restore(restored)
			if observes {
				entry, err := client.Get(t.Context(), "a")
				assert.NilError(t, err)
				assert.Equal(t, string(entry.Value), "1")
				assert.Assert(t, entry.Revision > third, "what is read after the restore is newer")
			}
			_, _, err = client.Watch(t.Context(), "", third, 10*time.Millisecond)
			assert.ErrorIs(t, err, platform.ErrHistoryGone)
			assert.ErrorIs(t, client.KeepAlive(t.Context(), lease), platform.ErrLeaseExpired)
			_, err = client.CompareAndSwap(t.Context(), "c", []byte("4"), 0, lease)
			assert.ErrorIs(t, err, platform.ErrLeaseExpired)
			_, err = client.CompareAndSwap(t.Context(), "a", []byte("5"), second, 0)
			assert.ErrorIs(t, err, platform.ErrConflict)
		})
	}
}

func TestAWatchOfAnEarlierEraIsGoneAlsoWhenItsRevisionExistsAgain(t *testing.T) {
	p := New(Options{})
	client := newClient(t, p)
	_, err := client.CompareAndSwap(t.Context(), "a", []byte("1"), 0, 0)
	assert.NilError(t, err)
	restored := p.Copy()
	after, err := client.CompareAndSwap(t.Context(), "b", []byte("2"), 0, 0)
	assert.NilError(t, err)
	p.Restore(restored)
	for _, key := range []string{"c", "d", "e"} {
		_, err = p.CompareAndSwap(t.Context(), key, []byte("3"), 0, 0)
		assert.NilError(t, err)
	}
	_, _, err = client.Watch(t.Context(), "", after, 10*time.Millisecond)
	assert.ErrorIs(t, err, platform.ErrHistoryGone)
}
