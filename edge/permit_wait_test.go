package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	standin "samphireferry.example/ferry/standin/records"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/throttle"
)

// permitAttempt is the attempt id of the requests, and thereby their object.
const permitAttempt = "a1"

// permitWait is an instance without a control goroutine. It asks a peer for permits; the peer
// calls onPermit before it responds.
type permitWait struct {
	entrypb.UnimplementedEntryServer
	t        *testing.T
	instance *Instance
	address  string
	granted  bool
	onPermit func()
	asked    atomic.Int32
}

// Permit implements entrypb.EntryServer.
func (p *permitWait) Permit(context.Context, *entrypb.PermitRequest) (*entrypb.PermitResponse, error) {
	p.asked.Add(1)
	p.onPermit()
	return &entrypb.PermitResponse{Granted: p.granted}, nil
}

func newPermitWait(t *testing.T, granted bool) *permitWait {
	t.Helper()
	s := newSystem(t)
	i, err := New(s.settings("e1"), zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	t.Cleanup(i.cancel)
	t.Cleanup(i.deps.upstreams.Close)
	// A machine under load makes no difference.
	i.deps.permits.maxWait = time.Minute
	address, err := freeport.Next()
	assert.NilError(t, err)
	p := &permitWait{t: t, instance: i, address: address, granted: granted, onPermit: func() {}}
	server, err := entryinstance.NewServer(rpcConfig(&static.EdgeSettings{}), p)
	assert.NilError(t, err)
	listener, err := entryinstance.Listen(rpcConfig(&static.EdgeSettings{}), address)
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(listener)) }()
	t.Cleanup(server.Close)
	p.evacuate()
	return p
}

// evacuate sets the failure domains that are evacuated.
func (p *permitWait) evacuate(domains ...string) {
	evacuated := map[string]bool{}
	for _, domain := range domains {
		evacuated[domain] = true
	}
	p.instance.deps.pool.Configure(placement.Settings{
		Regions: p.instance.deps.settings.Domains, Evacuated: evacuated, Senders: 1,
		Connections: map[string]int{"lookup": 10}, MaxConnections: map[string]int{"lookup": 10},
	})
}

// configure puts a configuration in force, and the roll-outs with it.
func (p *permitWait) configure(version uint64, route *standin.Route, versions map[string]*versionChoice) {
	config := standin.Configuration{Version: version, Services: []string{"lookup"}}
	if route != nil {
		route.Name, route.Host, route.Prefix, route.Service = "read", "a.example", "/read/", "lookup"
		route.Timeout, route.Attempts = 20*time.Second, max(route.Attempts, 1)
		config.Routes = []standin.Route{*route}
	}
	value, err := config.Value()
	assert.Check(p.t, err)
	decoded, err := records.DecodeConfig(value)
	assert.Check(p.t, err)
	table, err := routing.Compile(decoded)
	assert.Check(p.t, err)
	p.instance.deps.views.store(&view{table: table, peers: p.instance.deps.views.load().peers, versions: versions})
}

// register adds or replaces the upstream.
func (p *permitWait) register(b *fakeUpstream, domain string, draining bool) {
	p.registerStarted(b, domain, draining, time.UnixMilli(1))
}

func (p *permitWait) registerStarted(b *fakeUpstream, domain string, draining bool, started time.Time) {
	value, err := standin.Upstream{
		ID: b.id, Address: b.server.Listener.Addr().String(), Service: "lookup", Version: "v1",
		FailureDomain: domain, Slots: 4, Draining: draining, Started: started,
	}.Value()
	assert.Check(p.t, err)
	u, err := records.DecodeUpstream(platform.Entry{Key: "servers/" + b.id, Value: value, Revision: 3})
	assert.Check(p.t, err)
	p.instance.deps.pool.Update([]*registry.Upstream{{Entry: u}}, nil)
}

// limit makes the upstreams state a limit, for which the peer grants permits.
func (p *permitWait) limit(ids ...string) {
	for _, id := range ids {
		p.instance.deps.throttle.Merge(id, throttle.Limit{Limited: true, Rate: 100, StatedAt: time.Now()})
	}
	p.instance.deps.throttle.Assign(time.Now(), func(string) throttle.Allocator { return throttle.Allocator{Address: p.address} })
}

// preferred returns first the one of the two upstreams that the pool prefers for the requests.
func (p *permitWait) preferred(a, b *fakeUpstream) (first, second *fakeUpstream) {
	id, _ := p.instance.deps.pool.PreferredUpstream(time.Now(), placement.Query{Service: "lookup", Object: xxhash.Sum64String(permitAttempt)})
	if id == b.id {
		return b, a
	}
	return a, b
}

func (p *permitWait) send() *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "http://a.example/read/7", nil)
	r.Header.Set("X-Attempt-Id", permitAttempt)
	w := httptest.NewRecorder()
	(&traffic{deps: p.instance.deps}).ServeHTTP(w, r)
	return w
}

// TestAPermitIsNotUsedByAnOldDecision guards against HOME, EVAC and DRAIN: a request that has
// waited for a permit is sent by the configuration, the evacuations and the upstreams of before
// the wait.
func TestAPermitIsNotUsedByAnOldDecision(t *testing.T) {
	const refused = http.StatusServiceUnavailable
	for name, test := range map[string]struct {
		change func(p *permitWait, west *fakeUpstream)
		status int
		// west and east are the numbers of requests there.
		west, east int
	}{
		"no change": {func(*permitWait, *fakeUpstream) {}, http.StatusOK, 1, 0},
		"homes": {func(p *permitWait, _ *fakeUpstream) {
			p.configure(2, &standin.Route{HomeRegions: []string{"east"}}, nil)
		}, http.StatusOK, 0, 1},
		"route":      {func(p *permitWait, _ *fakeUpstream) { p.configure(2, nil, nil) }, http.StatusNotFound, 0, 0},
		"evacuation": {func(p *permitWait, _ *fakeUpstream) { p.evacuate("west-1") }, refused, 0, 0},
		"drain":      {func(p *permitWait, west *fakeUpstream) { p.register(west, "west-1", true) }, refused, 0, 0},
		"gone":       {func(p *permitWait, west *fakeUpstream) { p.instance.deps.pool.Update(nil, []string{west.id}) }, refused, 0, 0},
		"another process": {func(p *permitWait, west *fakeUpstream) {
			p.registerStarted(west, "west-1", false, time.UnixMilli(2))
		}, refused, 0, 0},
		"roll-out": {func(p *permitWait, _ *fakeUpstream) {
			p.configure(2, &standin.Route{HomeRegions: []string{"west"}}, map[string]*versionChoice{"lookup": {version: "v2", phase: canary.Done}})
		}, refused, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPermitWait(t, true)
			west, east := newFakeUpstream(t, "i-2"), newFakeUpstream(t, "i-1")
			p.configure(1, &standin.Route{HomeRegions: []string{"west"}}, nil)
			p.register(west, "west-1", false)
			p.register(east, "east-1", false)
			p.limit(west.id)
			p.onPermit = func() { test.change(p, west) }
			w := p.send()
			assert.Equal(t, p.asked.Load(), int32(1))
			assert.Equal(t, len(west.requests()), test.west, "status %d", w.Code)
			assert.Equal(t, len(east.requests()), test.east, "status %d", w.Code)
			assert.Equal(t, w.Code, test.status)
		})
	}
}

// TestADeniedPermitLeavesNoOldDecision guards against HOME: a request that was denied a permit
// goes to the next upstream, which needs none, by the homes of before the wait.
func TestADeniedPermitLeavesNoOldDecision(t *testing.T) {
	p := newPermitWait(t, false)
	p.configure(1, &standin.Route{HomeRegions: []string{"west"}}, nil)
	a, b := newFakeUpstream(t, "i-2"), newFakeUpstream(t, "i-3")
	p.register(a, "west-1", false)
	p.register(b, "west-1", false)
	limited, other := p.preferred(a, b)
	p.limit(limited.id)
	p.onPermit = func() { p.configure(2, &standin.Route{HomeRegions: []string{"east"}}, nil) }
	w := p.send()
	assert.Equal(t, p.asked.Load(), int32(1))
	assert.Equal(t, len(limited.requests())+len(other.requests()), 0, "status %d", w.Code)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

// TestARequestAsksForFewPermits guards against a request that waits for each of many limited
// upstreams in turn.
func TestARequestAsksForFewPermits(t *testing.T) {
	p := newPermitWait(t, false)
	p.configure(1, &standin.Route{}, nil)
	b := newFakeUpstream(t, "u-0")
	for n := range 3 * maxTriedUpstreams {
		b.id = fmt.Sprint("u-", n)
		p.register(b, "west-1", false)
		p.limit(b.id)
	}
	w := p.send()
	assert.Equal(t, p.asked.Load(), int32(maxTriedUpstreams))
	assert.Equal(t, len(b.requests()), 0)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// TestAWaitForAPermitKeepsAtMostOnce guards against a second run: a request has run and failed,
// and its route becomes at-most-once, or has fewer attempts, while the retry waits for a permit.
func TestAWaitForAPermitKeepsAtMostOnce(t *testing.T) {
	for name, next := range map[string]standin.Route{
		"at-most-once":   {Attempts: 3, AtMostOnce: true},
		"fewer attempts": {Attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPermitWait(t, true)
			p.configure(1, &standin.Route{Attempts: 3}, nil)
			a, b := newFakeUpstream(t, "i-2"), newFakeUpstream(t, "i-3")
			p.register(a, "east-1", false)
			p.register(b, "east-1", false)
			failing, limited := p.preferred(a, b)
			fail := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			failing.handler.Store(&fail)
			p.limit(limited.id)
			p.onPermit = func() { p.configure(2, &next, nil) }
			w := p.send()
			assert.Equal(t, p.asked.Load(), int32(1))
			assert.Equal(t, len(failing.requests()), 1)
			assert.Equal(t, len(limited.requests()), 0, "the request has run before")
			assert.Equal(t, w.Code, http.StatusInternalServerError)
		})
	}
}
