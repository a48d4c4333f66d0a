package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/standin/records"
)

// narrow is a configuration in which an upstream accepts only one connection, as the
// share of one instance of a large fleet.
type narrow struct{ records.Configuration }

// Value implements the record.
func (n narrow) Value() ([]byte, error) {
	value, err := n.Configuration.Value()
	return []byte(strings.ReplaceAll(string(value), `"max_conns":360`, `"max_conns":1`)), err
}

// configureNarrow publishes the configuration of configureHomes with one connection.
func (s *system) configureNarrow(version uint64, homes []string, keys ...string) {
	s.write(narrow{records.Configuration{
		Version: version,
		Routes: []records.Route{{
			Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup",
			Timeout: 30 * time.Second, Attempts: 3, HomeRegions: homes,
		}},
		Services:  []string{"lookup"},
		Customers: []records.Customer{{Name: "acme", Keys: keys, Rate: 100, Burst: 100}},
	}})
}

// succeedAfter returns a handler that responds with status 200 once the channel is closed.
func succeedAfter(release <-chan struct{}) *http.HandlerFunc {
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	return &handler
}

// TestNoRequestWaitsForAConnection guards against a request that waits for the connection
// of another one and is then sent by the homes, the key, the evacuation or the drain from
// before the wait.
func TestNoRequestWaitsForAConnection(t *testing.T) {
	s := newSystem(t)
	s.configureNarrow(1, []string{"east"}, "k1", "k2")
	busy := newFakeUpstream(t, "i-1")
	release := make(chan struct{})
	busy.handler.Store(succeedAfter(release))
	s.register(busy, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	first := make(chan clientResponse, 1)
	go func() { first <- i.send(http.MethodGet, "/read/7", "k1") }()
	eventually(t, "the first request is at the upstream", func() bool { return len(busy.requests()) == 1 })
	second := i.send(http.MethodGet, "/read/8", "k2")
	assert.Equal(t, second.status, http.StatusServiceUnavailable)
	assert.Assert(t, second.header.Get("Retry-After") != "")
	close(release)
	assert.Equal(t, (<-first).status, http.StatusOK)
	assert.Equal(t, len(busy.requests()), 1, "a refused request was sent")
	assert.Equal(t, i.send(http.MethodGet, "/read/8", "k2").status, http.StatusOK)
}

// TestAtMostOnceStandsWhenTheRouteChanges guards against a second run of a request that
// arrived on an at-most-once route.
func TestAtMostOnceStandsWhenTheRouteChanges(t *testing.T) {
	s := newSystem(t)
	configure := func(version uint64, atMostOnce bool) {
		s.write(records.Configuration{
			Version: version,
			Routes: []records.Route{{
				Name: "file", Host: "a.example", Prefix: "/file/", Service: "lookup",
				Timeout: 30 * time.Second, Attempts: 3, AtMostOnce: atMostOnce,
			}},
			Services:  []string{"lookup"},
			Customers: []records.Customer{{Name: "acme", Keys: []string{"k1"}, Rate: 100, Burst: 100}},
		})
	}
	configure(1, true)
	failing, other := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	fail := make(chan struct{})
	failing.handler.Store(failAfter(fail))
	s.register(failing, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	done := make(chan clientResponse, 1)
	go func() { done <- i.send(http.MethodPost, "/file/7", "k1") }()
	eventually(t, "the request is at the upstream", func() bool { return len(failing.requests()) == 1 })
	s.register(other, "v1", "ready")
	configure(2, false)
	i.waitReady(2)
	eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
	close(fail)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, len(other.requests()), 0, "the request has run before")
	assert.Equal(t, got.status, http.StatusInternalServerError)
}

// TestANewRolloutDoesNotInheritTheChoiceOfTheLastOne guards against requests beyond the
// canary share: a request that was for the version of a completed roll-out must not be
// for the version of the next one.
func TestANewRolloutDoesNotInheritTheChoiceOfTheLastOne(t *testing.T) {
	table := &routing.Table{}
	last := map[string]*versionChoice{"lookup": {version: "v2", phase: canary.Done}}
	next := map[string]*versionChoice{"lookup": {version: "v3", phase: canary.Canary}}
	deps := &dependencies{views: &views{}}
	x := &exchange{deps: deps, route: &routing.Route{Name: "read"}, service: &routing.Service{Name: "lookup"}, view: &view{table: table, versions: last}}
	x.chooseVersion()
	assert.Assert(t, x.prefersNew)
	deps.views.store(&view{table: table, versions: next})
	assert.NilError(t, x.resolve())
	assert.Assert(t, !x.prefersNew, "the request was chosen for v2, not for v3")
}

// TestACanaryRequestIsRetriedAtTheOldVersion guards against a request that counts once for the
// canary share and reaches the new version twice, and against a response of a bad version where
// the old one could have served.
func TestACanaryRequestIsRetriedAtTheOldVersion(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	failed := make(chan struct{})
	close(failed)
	s.register(newFakeUpstream(t, "i-1"), "v1", "ready")
	var newer []*fakeUpstream
	for _, id := range []string{"i-2", "i-3"} {
		b := newFakeUpstream(t, id)
		b.handler.Store(failAfter(failed))
		s.register(b, "v2", "ready")
		newer = append(newer, b)
	}
	i := s.start("e1")
	defer i.stop()
	i.waitReady(3)
	s.put("op/rollout/lookup", `{"service":"lookup","to_version":"v2","over_s":600}`)
	eventually(t, "the roll-out is known", func() bool { return i.deps.views.load().versions["lookup"] != nil })
	for sent := 0; len(newer[0].requests())+len(newer[1].requests()) == 0; sent++ {
		assert.Assert(t, sent < 100, "no request is for the new version")
		assert.Equal(t, i.send(http.MethodGet, "/read/7", "k1").status, http.StatusOK)
	}
	assert.Equal(t, len(newer[0].requests())+len(newer[1].requests()), 1)
}
