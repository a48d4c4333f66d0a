package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	standin "samphireferry.example/ferry/standin/records"
)

// TestARestartedInstanceUsesNothingThatWasWithdrawn guards against a key or an upstream that is in
// use again after a restart, since the process has forgotten that it was withdrawn or has left.
func TestARestartedInstanceUsesNothingThatWasWithdrawn(t *testing.T) {
	s := newSystem(t)
	left, stays := newFakeUpstream(t, "u-left"), newFakeUpstream(t, "u-stays")
	s.register(left, "1", "ready")
	s.register(stays, "1", "ready")
	s.configure(1, "k1", "k2")
	i := s.start("e1")
	i.waitReady(2)
	s.remove(records.PrefixUpstreams + "u-left")
	s.configure(2, "k2")
	eventually(t, "the change is in force", func() bool {
		return i.deps.views.load().table.Version == 2 && len(i.deps.pool.Upstreams()) == 1
	})
	i.stop()
	again := s.start("e1")
	defer again.stop()
	again.waitReady(1)
	get := func(key string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+again.deps.settings.Listen+"/read/x", nil)
		assert.NilError(t, err)
		r.Host = "a.example"
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("X-Attempt-Id", "a-"+key)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, get("k1"), http.StatusUnauthorized)
	assert.Equal(t, get("k2"), http.StatusOK)
	assert.Equal(t, len(stays.requests()), 1)
	assert.Equal(t, len(left.requests()), 0)
}

// TestAPeerThatIsBehindBringsNothingBack is the same for the response of a peer that is behind and
// arrives after a read of all records: an instance that has read them never knew the upstream, and
// has no mark of its removal.
func TestAPeerThatIsBehindBringsNothingBack(t *testing.T) {
	c := newTestControl(t)
	now := time.Now()
	config := func(version uint64, keys ...string) platform.Entry {
		value, err := standin.Configuration{
			Version: version, Services: []string{"lookup"},
			Customers: []standin.Customer{{Name: "acme", Keys: keys, Rate: 1, Burst: 1}},
		}.Value()
		assert.NilError(t, err)
		return platform.Entry{Key: records.KeyConfig, Revision: platform.Revision(version), Value: value}
	}
	recordsRead{entries: []platform.Entry{config(9, "k2")}, revision: 9, full: true, readAt: now}.apply(c, now)
	for _, full := range []bool{true, false} {
		recordsRead{
			entries: []platform.Entry{config(2, "k1", "k2"), upstreamEntry(t, "u-left", 3)}, revision: 5, full: full, fromPeer: "e2",
		}.apply(c, now)
		assert.Equal(t, c.table.Version, uint64(9))
		assert.Assert(t, !c.upstreams.Has("u-left"), "an upstream that has left is back, full %t", full)
	}
}
