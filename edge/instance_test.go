package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
	"samphireferry.example/ferry/telemetry"
)

// fakeUpstream is a test upstream that follows the platform's conventions.
type fakeUpstream struct {
	server *httptest.Server
	id     string

	mu       sync.Mutex
	received []*http.Request
	// handler replaces the default response.
	handler atomic.Pointer[http.HandlerFunc]
}

func newFakeUpstream(t *testing.T, id string) *fakeUpstream {
	t.Helper()
	b := &fakeUpstream{id: id}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.received = append(b.received, r)
		b.mu.Unlock()
		w.Header().Set(headers.AttemptID, r.Header.Get(headers.AttemptID))
		if custom := b.handler.Load(); custom != nil {
			(*custom)(w, r)
			return
		}
		w.Header().Set("X-Backend-Stamp", "stamp-"+id)
		fmt.Fprint(w, "from "+id)
	}))
	t.Cleanup(b.server.Close)
	return b
}

// requests returns the requests that the upstream received.
func (b *fakeUpstream) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

// system is a store with upstreams and entry instances in one process.
type system struct {
	t     *testing.T
	store *standin.Platform
	url   string
}

func newSystem(t *testing.T) *system {
	t.Helper()
	p := standin.New(standin.Options{Seed: 1})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &system{t: t, store: p, url: server.URL}
}

// put writes a value under a key of the store.
func (s *system) put(key string, value string) {
	s.t.Helper()
	old, err := s.store.Get(s.t.Context(), key)
	if err != nil {
		assert.ErrorIs(s.t, err, platform.ErrNotFound)
	}
	_, err = s.store.CompareAndSwap(s.t.Context(), key, []byte(value), old.Revision, 0)
	assert.NilError(s.t, err)
}

func (s *system) remove(key string) {
	s.t.Helper()
	old, err := s.store.Get(s.t.Context(), key)
	assert.NilError(s.t, err)
	assert.NilError(s.t, s.store.Delete(s.t.Context(), key, old.Revision))
}

// register writes the entry of the upstream as ready or draining.
func (s *system) register(b *fakeUpstream, version, state string) {
	s.registerIn("east-1", b, version, state)
}

// registerIn writes the entry of an upstream of the failure domain.
func (s *system) registerIn(domain string, b *fakeUpstream, version, state string) {
	s.write(records.Upstream{
		ID: b.id, Address: b.server.Listener.Addr().String(), Service: "lookup", Version: version,
		FailureDomain: domain, Slots: 4, Draining: state == "draining", Started: time.UnixMilli(1),
	})
}

// configure publishes a configuration with a route that allows retries, an at-most-once
// route, and the keys of one customer.
func (s *system) configure(version int, keys ...string) {
	const timeout, attempts, rate = 2 * time.Second, 2, 100
	s.write(records.Configuration{
		Version: uint64(version),
		Routes: []records.Route{
			{Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup", Timeout: timeout, Attempts: attempts},
			{Name: "file", Host: "a.example", Prefix: "/file/", Service: "lookup", Timeout: timeout, Attempts: attempts, AtMostOnce: true},
		},
		Services:  []string{"lookup"},
		Customers: []records.Customer{{Name: "acme", Keys: keys, Rate: rate, Burst: rate}},
	})
}

// write writes a record as the operator or an upstream does.
func (s *system) write(record interface {
	Key() string
	Value() ([]byte, error)
}) {
	value, err := record.Value()
	assert.NilError(s.t, err)
	s.put(record.Key(), string(value))
}

// instance is a running entry instance under test.
type instance struct {
	*Instance
	t *testing.T
}

func (s *system) start(name string) *instance {
	s.t.Helper()
	return s.startLogging(name, zap.NewNop())
}

func (s *system) startLogging(name string, log *zap.Logger) *instance {
	s.t.Helper()
	i, err := New(s.settings(name), log, telemetry.New())
	assert.NilError(s.t, err)
	assert.NilError(s.t, i.Start())
	return &instance{Instance: i, t: s.t}
}

// settings returns the settings of an instance in the failure domain east-1.
func (s *system) settings(name string) *static.EdgeSettings {
	s.t.Helper()
	address := func() string {
		free, err := freeport.Next()
		assert.NilError(s.t, err)
		return free
	}
	settings, err := static.ParseEdge("ferry-edge", []string{
		"-name", name, "-region", "east", "-failure-domain", "east-1", "-domain", "east-1=east", "-domain", "west-1=west",
		"-listen", address(), "-directory-listen", address(), "-ready-listen", address(), "-rpc-listen", address(),
		"-platform", s.url, "-grace", "3s", "-heartbeat-interval", "100ms",
	}, io.Discard)
	assert.NilError(s.t, err)
	return settings
}

func (i *instance) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), i.deps.settings.Grace)
	defer cancel()
	i.Stop(ctx)
}

// eventually polls until the condition holds, for at most 10 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// waitReady waits until the instance has a configuration and n upstreams.
func (i *instance) waitReady(n int) {
	i.t.Helper()
	eventually(i.t, "the instance knows the upstreams", func() bool {
		return i.deps.views.load().table != nil && len(i.deps.pool.Upstreams()) == n
	})
}

// clientResponse is the response or the error that a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// send makes one request to the instance and reads the response.
func (i *instance) send(method, path, key string) clientResponse {
	i.t.Helper()
	return i.sendAbout(method, path, key, "")
}

// sendAbout is like send, for a request about the object.
func (i *instance) sendAbout(method, path, key, object string) clientResponse {
	i.t.Helper()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("filing")
	}
	r, err := http.NewRequest(method, "http://"+i.deps.settings.Listen+path, body)
	assert.NilError(i.t, err)
	r.Host = "a.example"
	r.Header.Set(headers.AttemptID, "attempt-1")
	r.Header.Set(headers.DeadlineMillis, "30000")
	r.Header.Set(headers.Customer, "forged")
	if object != "" {
		r.Header.Set(headers.ObjectKey, object)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func TestARequestReachesAnUpstream(t *testing.T) {
	s := newSystem(t)
	b := newFakeUpstream(t, "i-1")
	s.configure(1, "k1")
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	got := i.send(http.MethodGet, "/read/7?x=1", "k1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "from i-1")
	assert.Equal(t, got.header.Get("X-Backend-Stamp"), "stamp-i-1")
	r := b.requests()[0]
	assert.Equal(t, r.RequestURI, "/read/7?x=1")
	assert.Equal(t, r.Header.Get(headers.Customer), "acme")
	assert.Equal(t, r.Header.Get("Authorization"), "")
	assert.Equal(t, r.Header.Get(headers.ExpectInstance), "i-1")
	assert.Equal(t, r.Header.Get(headers.AttemptID), "attempt-1")
}

func TestRefusalsOfRequests(t *testing.T) {
	s := newSystem(t)
	i := s.start("e1")
	defer i.stop()
	got := i.send(http.MethodGet, "/read/7", "k1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "there is no configuration yet")
	s.configure(1, "k1")
	i.waitReady(0)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "").status, http.StatusUnauthorized)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k2").status, http.StatusUnauthorized)
	assert.Equal(t, i.send(http.MethodGet, "/other/7", "k1").status, http.StatusNotFound)
	got = i.send(http.MethodGet, "/read/7", "k1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "there is no upstream")
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

func TestAWithdrawnKeyStopsWorking(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1", "k2")
	s.register(newFakeUpstream(t, "i-1"), "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k2").status, http.StatusOK)
	s.configure(2, "k1")
	eventually(t, "version 2 is in force", func() bool { return i.deps.views.load().table.Version == 2 })
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k2").status, http.StatusUnauthorized)
	s.configure(1, "k1", "k2")
	s.register(newFakeUpstream(t, "i-2"), "v1", "ready")
	i.waitReady(2)
	assert.Equal(t, i.send(http.MethodGet, "/read/7", "k2").status, http.StatusUnauthorized, "an older version is not adopted")
}

// rawResponse returns a handler that writes raw bytes and closes the connection.
func rawResponse(t *testing.T, raw string) *http.HandlerFunc {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		_, err = io.WriteString(c, raw)
		assert.Check(t, err)
		assert.Check(t, c.Close())
	})
	return &h
}

func TestBrokenResponseIsRetriedOnlyWhereAllowed(t *testing.T) {
	for name, raw := range map[string]string{
		"no response": "",
		"cut":         "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nContent-Length: 100\r\n\r\nhalf",
		// Guards against a response without a final status whose statement that the request has not
		// run is believed, and against one that callers get.
		"status 000":          "HTTP/1.1 000 None\r\nX-Attempt-Id: attempt-1\r\nContent-Length: 2\r\n\r\nno",
		"status 000, not run": "HTTP/1.1 000 None\r\nX-Attempt-Id: attempt-1\r\n" + headers.NotRun + ": 1\r\nContent-Length: 2\r\n\r\nno",
		"status 1000":         "HTTP/1.1 1000 None\r\nX-Attempt-Id: attempt-1\r\nContent-Length: 2\r\n\r\nno",
		"foreign":             "HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			broken, healthy := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
			broken.handler.Store(rawResponse(t, raw))
			s.register(broken, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(1)
			got := i.send(http.MethodPost, "/file/7", "k1")
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, len(broken.requests()), 1, "it may have run")
			s.register(healthy, "v1", "ready")
			i.waitReady(2)
			for range 4 {
				got = i.send(http.MethodGet, "/read/7", "k1")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "from i-2")
			}
		})
	}
}

func TestAtMostOnceRequestIsRetriedWhenUpstreamReportsNotRun(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	full, healthy := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	shed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	full.handler.Store(&shed)
	s.register(full, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	got := i.send(http.MethodPost, "/file/7", "k1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	s.register(healthy, "v1", "ready")
	i.waitReady(2)
	for range 4 {
		got = i.send(http.MethodPost, "/file/7", "k1")
		assert.Equal(t, got.body, "from i-2")
	}
}

func TestAFailureOfAnUpstreamIsPassedOnUnchanged(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	b := newFakeUpstream(t, "i-1")
	failure := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Backend-Stamp", "failed")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "no")
	})
	b.handler.Store(&failure)
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	got := i.send(http.MethodGet, "/read/7", "k1")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get("X-Backend-Stamp"), "failed")
	assert.Equal(t, got.body, "no")
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	leaving, staying := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	s.register(leaving, "v1", "ready")
	s.register(staying, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(2)
	s.register(leaving, "v1", "draining")
	s.put("op/evacuate/elsewhere", "{}")
	eventually(t, "the evacuation, which was written later, is known", func() bool {
		found := make(chan bool, 1)
		i.control.post(inspect(func(c *control) { found <- c.evacuated["elsewhere"] }))
		return <-found
	})
	for range 8 {
		assert.Equal(t, i.send(http.MethodGet, "/read/7", "k1").body, "from i-2")
	}
	s.remove("servers/i-1")
	i.waitReady(1)
}

// inspect is an event that reads the control state.
type inspect func(c *control)

func (f inspect) apply(c *control, _ time.Time) { f(c) }

func TestInstanceCutOffFromTheStorePullsFromAPeer(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	s.register(newFakeUpstream(t, "i-1"), "v1", "ready")
	first := s.start("e1")
	defer first.stop()
	proxy := newProxy(t, strings.TrimPrefix(s.url, "http://"))
	direct := s.url
	s.url = "http://" + proxy.listener.Addr().String()
	second := s.start("e2")
	defer second.stop()
	s.url = direct
	first.waitReady(1)
	second.waitReady(1)
	hasPeers := func(i *instance, n int) func() bool {
		return func() bool { return len(i.deps.views.load().peers.All) == n }
	}
	eventually(t, "the instances know each other", func() bool { return hasPeers(first, 1)() && hasPeers(second, 1)() })
	proxy.close()
	s.configure(2, "k9")
	eventually(t, "version 2 is in force at the instance without the store", func() bool { return second.deps.views.load().table.Version == 2 })
	assert.Equal(t, second.send(http.MethodGet, "/read/7", "k1").status, http.StatusUnauthorized)
}

// proxy forwards TCP connections until it is closed.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener}
	t.Cleanup(p.close)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, client, server)
			p.mu.Unlock()
			go func() { _, _ = io.Copy(server, client) }()
			go func() { _, _ = io.Copy(client, server) }()
		}
	}()
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func TestStopLetsRunningRequestsFinish(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	b := newFakeUpstream(t, "i-1")
	release := make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late")
	})
	b.handler.Store(&slow)
	s.register(b, "v1", "ready")
	i := s.start("e1")
	i.waitReady(1)
	done := make(chan clientResponse, 1)
	go func() {
		done <- untilAdmitted(func() (clientResponse, int) {
			got := i.send(http.MethodGet, "/read/7", "k1")
			return got, got.status
		})
	}()
	eventually(t, "the request is at the upstream", func() bool { return len(b.requests()) == 1 })
	stopped := make(chan struct{})
	go func() {
		i.stop()
		close(stopped)
	}()
	eventually(t, "the instance is leaving", func() bool { return i.deps.views.load().leaving })
	response, err := http.Get("http://" + i.deps.settings.ReadyListen + headers.PathReady)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	close(release)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "late")
	<-stopped
}

func TestDirectoryListsLiveInstances(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	first, second := s.start("e1"), s.start("e2")
	defer first.stop()
	first.waitReady(0)
	addresses := func() []string {
		response, err := http.Get("http://" + first.deps.settings.DirectoryListen + headers.PathDirectory + "?name=a.example&region=east&zone=east-1")
		assert.NilError(t, err)
		defer response.Body.Close()
		var body struct {
			Addresses []string `json:"addrs"`
		}
		assert.NilError(t, json.NewDecoder(bufio.NewReader(response.Body)).Decode(&body))
		return body.Addresses
	}
	eventually(t, "both instances are listed", func() bool { return len(addresses()) == 2 })
	second.stop()
	eventually(t, "only one instance is listed", func() bool { return len(addresses()) == 1 })
	assert.DeepEqual(t, addresses(), []string{first.deps.settings.Listen})
}

// TestDirectoryNamesTheInstanceFromItsStart guards against a list with an empty address, in
// no region, between the opening of the listeners and the first work of the control goroutine.
func TestDirectoryNamesTheInstanceFromItsStart(t *testing.T) {
	s := newSystem(t)
	settings := s.settings("e1")
	i, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	addresses, scope := nearest(i.deps.views.load(), "east", "east-1")
	assert.DeepEqual(t, addresses, []string{settings.Listen})
	assert.Equal(t, scope, scopeDomain)
}

// TestOneInstanceOfADomainReadsTheStore checks that the instances of a failure domain
// learn changes from their leader, and that another one takes over when the leader
// stops.
func TestOneInstanceOfADomainReadsTheStore(t *testing.T) {
	s := newSystem(t)
	b := newFakeUpstream(t, "u-1")
	s.register(b, "1", "ready")
	s.configure(1, "key-1")
	all := []*instance{s.start("in-1"), s.start("in-2"), s.start("in-3")}
	leads := func(i *instance) bool { return i.deps.views.load().peers.IsLeader() }
	readers := func() int {
		n := 0
		for _, i := range all {
			if leads(i) {
				n++
			}
		}
		return n
	}
	for _, i := range all {
		i.waitReady(1)
	}
	eventually(t, "one reader", func() bool { return readers() == 1 })
	for version := 2; len(all) > 1; version++ {
		s.configure(version, "key-1")
		for _, i := range all {
			eventually(t, "the new configuration", func() bool { return i.deps.views.load().table.Version == uint64(version) })
		}
		for n, i := range all {
			if leads(i) {
				i.stop()
				all = append(all[:n:n], all[n+1:]...)
				break
			}
		}
		eventually(t, "another reader", func() bool { return readers() == 1 })
	}
}
