package edge

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

// respondWith makes the upstream set the header on its responses, which have the status and
// state that the request has not run if notRun is set.
func (b *fakeUpstream) respondWith(status int, notRun bool, name, value string) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(name, value)
		if notRun {
			w.Header().Set(headers.NotRun, "1")
		}
		w.WriteHeader(status)
		fmt.Fprint(w, "from "+b.id)
	})
	b.handler.Store(&h)
}

// sendUntil sends requests about different objects until the condition holds.
func (i *instance) sendUntil(what string, condition func() bool) {
	i.t.Helper()
	object := 0
	eventually(i.t, what, func() bool {
		object++
		i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint(object))
		return condition()
	})
}

// Guards against requests to an upstream that has stated in a response that it leaves, while
// the store is away and its entry still says ready.
func TestAnUpstreamThatStatesThatItLeavesGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		notRun bool
	}{
		"served":  {http.StatusOK, false},
		"failed":  {http.StatusInternalServerError, false},
		"refused": {http.StatusServiceUnavailable, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			leaving, other := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
			s.register(leaving, "v1", "ready")
			s.register(other, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(2)
			s.store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
			leaving.respondWith(c.status, c.notRun, headers.Leaving, "1")
			i.sendUntil("the upstream has stated that it leaves", func() bool { return len(leaving.requests()) > 0 })
			for object := range 40 {
				for _, path := range []string{"/read/7", "/file/7"} {
					method := map[string]string{"/read/7": http.MethodGet, "/file/7": http.MethodPost}[path]
					assert.Equal(t, i.sendAbout(method, path, "k1", fmt.Sprint("o", object)).status, http.StatusOK)
				}
			}
			assert.Equal(t, len(leaving.requests()), 1)
			assert.Equal(t, i.deps.metrics.Counter("ferry_upstreams_leaving_total", "service", "lookup").Get(), uint64(1))

			s.store.SetFaults(standin.Faults{})
			s.register(leaving, "v1", "ready")
			s.write(records.Upstream{
				ID: "i-3", Address: other.server.Listener.Addr().String(), Service: "lookup", Version: "v1",
				FailureDomain: "east-1", Slots: 4, Started: time.UnixMilli(1),
			})
			i.waitReady(3)
			for object := range 40 {
				i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint("o", object))
			}
			assert.Equal(t, len(leaving.requests()), 1, "an entry of the same start takes nothing back")

			leaving.handler.Store(nil)
			s.write(records.Upstream{
				ID: "i-1", Address: leaving.server.Listener.Addr().String(), Service: "lookup", Version: "v1",
				FailureDomain: "east-1", Slots: 4, Started: time.UnixMilli(2),
			})
			i.sendUntil("it has started again", func() bool { return len(leaving.requests()) > 1 })
		})
	}
}

// Guards against a retry at an upstream that states that it leaves.
func TestARetryAvoidsAnUpstreamThatLeaves(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	leaving, failing := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	s.register(leaving, "v1", "ready")
	s.register(failing, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(2)
	leaving.respondWith(http.StatusOK, false, headers.Leaving, "1")
	i.sendUntil("the upstream has stated that it leaves", func() bool { return len(leaving.requests()) > 0 })
	failing.respondWith(http.StatusInternalServerError, false, "Content-Type", "text/plain")
	// A third failure would eject the only upstream that is left.
	for object := range 2 {
		got := i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint(object))
		assert.Equal(t, got.status, http.StatusInternalServerError)
	}
	assert.Equal(t, len(leaving.requests()), 1)
}

// A response that does not belong to the request, or comes from another upstream at its
// address, says nothing about this upstream.
func TestOtherResponsesDoNotStateThatAnUpstreamLeaves(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"misdirected": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Leaving, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		},
		"of another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Leaving, "1")
			w.Header().Set(headers.AttemptID, "another")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			b := newFakeUpstream(t, "i-1")
			s.register(b, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(1)
			b.handler.Store(&h)
			i.send(http.MethodGet, "/read/7", "k1")
			assert.Equal(t, len(b.requests()), 1)
			assert.Equal(t, i.deps.metrics.Counter("ferry_upstreams_leaving_total", "service", "lookup").Get(), uint64(0))
		})
	}
}

func TestNoRequestsWhileAllUpstreamsLeave(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	b := newFakeUpstream(t, "i-1")
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	b.respondWith(http.StatusOK, false, headers.Leaving, "1")
	got := i.send(http.MethodGet, "/read/7", "k1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get(headers.Leaving), "", "the instance does not leave")
	got = i.send(http.MethodGet, "/read/7", "k1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(headers.RetryAfter), "0.30")
	assert.Equal(t, len(b.requests()), 1)
}

// Guards against idle connections that an upstream which leaves has to keep or to close itself.
func TestIdleConnectionsToAnUpstreamThatLeavesAreClosed(t *testing.T) {
	var open atomic.Int64
	var leaves atomic.Bool
	b := &fakeUpstream{id: "i-1"}
	b.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.AttemptID, r.Header.Get(headers.AttemptID))
		if leaves.Load() {
			w.Header().Set(headers.Leaving, "1")
		}
	}))
	b.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	b.server.Start()
	defer b.server.Close()
	s := newSystem(t)
	s.configure(1, "k1")
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k1").status, http.StatusOK)
	assert.Equal(t, open.Load(), int64(1))
	leaves.Store(true)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k1").status, http.StatusOK)
	eventually(t, "the connection is closed", func() bool { return open.Load() == 0 })
}
