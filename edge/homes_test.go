package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/standin/records"
)

// configureHomes publishes a configuration with a route of a long timeout. Its route and
// customer have the home regions; nil allows all.
func (s *system) configureHomes(version uint64, route, customer []string, keys ...string) {
	s.write(records.Configuration{
		Version: version,
		Routes: []records.Route{{
			Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup",
			Timeout: 30 * time.Second, Attempts: 3, HomeRegions: route,
		}},
		Services:  []string{"lookup"},
		Customers: []records.Customer{{Name: "acme", Keys: keys, Rate: 100, Burst: 100, HomeRegions: customer}},
	})
}

// failAfter returns a handler that responds with status 500 once the channel is closed.
func failAfter(release <-chan struct{}) *http.HandlerFunc {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusInternalServerError)
	})
	return &handler
}

// TestRetryIsDecidedByTheNewestConfiguration guards against a retry in the home region of
// the configuration that was in force when the request arrived.
func TestRetryIsDecidedByTheNewestConfiguration(t *testing.T) {
	east, west := []string{"east"}, []string{"west"}
	for name, homes := range map[string]struct {
		oldRoute, oldCustomer []string
		newRoute, newCustomer []string
	}{
		"homes of the route":    {oldRoute: east, newRoute: west},
		"homes of the customer": {oldCustomer: east, newCustomer: west},
		"homes of both":         {oldRoute: east, newRoute: []string{"east", "west"}, newCustomer: west},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configureHomes(1, homes.oldRoute, homes.oldCustomer, "k1")
			failing, stale, home := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2"), newFakeUpstream(t, "i-3")
			fail := make(chan struct{})
			failing.handler.Store(failAfter(fail))
			s.register(failing, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(1)
			done := make(chan clientResponse, 1)
			go func() { done <- i.send(http.MethodGet, "/read/7", "k1") }()
			eventually(t, "the request is at the upstream", func() bool { return len(failing.requests()) == 1 })
			s.register(stale, "v1", "ready")
			s.registerIn("west-1", home, "v1", "ready")
			s.configureHomes(2, homes.newRoute, homes.newCustomer, "k1")
			i.waitReady(3)
			eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
			close(fail)
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, len(stale.requests()), 0, "a retry outside the home regions")
			assert.Equal(t, got.body, "from i-3")
		})
	}
}

// TestNoRetryWithAWithdrawnKey guards against a retry of a request whose key has been
// withdrawn since its arrival.
func TestNoRetryWithAWithdrawnKey(t *testing.T) {
	s := newSystem(t)
	s.configureHomes(1, nil, nil, "k1", "k2")
	failing, other := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	fail := make(chan struct{})
	failing.handler.Store(failAfter(fail))
	s.register(failing, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	done := make(chan clientResponse, 1)
	go func() { done <- i.send(http.MethodGet, "/read/7", "k2") }()
	eventually(t, "the request is at the upstream", func() bool { return len(failing.requests()) == 1 })
	s.register(other, "v1", "ready")
	s.configureHomes(2, nil, nil, "k1")
	i.waitReady(2)
	eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
	close(fail)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError, "the response of the first attempt")
	assert.Equal(t, len(other.requests()), 0)
}

// TestVersionIsChosenAgainForARetry guards against a retry at a version whose roll-out has
// ended since the request was first sent.
func TestVersionIsChosenAgainForARetry(t *testing.T) {
	for _, test := range []struct {
		phase               canary.Phase
		wasNew, wantedAgain bool
	}{
		{canary.Canary, true, true},
		{canary.Canary, false, false},
		{canary.Promoting, false, true},
		{canary.Done, false, true},
		{canary.Reverted, true, false},
	} {
		choice := &versionChoice{version: "v2", phase: test.phase}
		assert.Equal(t, choice.chooseAgain(choice, test.wasNew), test.wantedAgain, "%v after %v", test.phase, test.wasNew)
	}
	var none *versionChoice
	assert.Assert(t, !none.chooseAgain(nil, true))
}
