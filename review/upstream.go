package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// run is one request that an upstream has begun to work on.
type run struct {
	at      time.Time
	id      string
	service string
	path    string
	version string
	header  http.Header
	body    int
}

// upstream is a stand-in of an upstream: it runs each request for the work time and
// answers with the id and the path of the request.
type upstream struct {
	id, service, address string
	stamp                string
	work                 time.Duration
	slots                int
	running              atomic.Int64
	server               *http.Server
	ledger               *ledger
	started              time.Time
	version              string
	// failsHalfOf is the prefix of the paths of which the upstream fails half, failsPartOf that of
	// those of which it fails 4 in 9.
	failsHalfOf, failsPartOf atomic.Pointer[string]
	counted                  atomic.Int64
}

// ledger collects the runs of all upstreams.
type ledger struct {
	record *record
	quiet  bool
	mu     sync.Mutex
	runs   []run
}

func (l *ledger) add(u *upstream, r run) {
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	if !l.quiet {
		l.record.printf("%s runs %s: path %q, %s %q", u.id, r.id, r.path, headers.Customer, r.header.Values(headers.Customer))
	}
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// newUpstream starts an upstream; the caller puts its entry into the store.
func newUpstream(id, service, stamp string, work time.Duration, slots int, l *ledger) (*upstream, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, address: listener.Addr().String(), stamp: stamp, work: work, slots: slots, ledger: l, started: time.Now(), version: "v1"}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

func (u *upstream) entry(domain string) records.Upstream {
	return records.Upstream{ID: u.id, Address: u.address, Service: u.service, Version: u.version, FailureDomain: domain, Slots: u.slots, Started: u.started}
}

// crash closes the listener and all connections.
func (u *upstream) crash() { _ = u.server.Close() }

// fails reports whether the upstream fails the request.
func (u *upstream) fails(path string) bool {
	has := func(prefix *string) bool { return prefix != nil && strings.HasPrefix(path, *prefix) }
	switch {
	case has(u.failsHalfOf.Load()):
		return u.counted.Add(1)%2 == 1
	case has(u.failsPartOf.Load()):
		return u.counted.Add(1)*4%9 < 4
	}
	return false
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.AttemptID)
	w.Header().Set(headers.AttemptID, id)
	w.Header().Set(headers.Instance, u.id)
	if expected := r.Header.Get(headers.ExpectInstance); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The body is incomplete; the request does not run.
		panic(http.ErrAbortHandler)
	}
	running := u.running.Add(1)
	defer u.running.Add(-1)
	w.Header().Set(headers.Load, fmt.Sprintf("%d,0,%d", running, u.slots))
	u.ledger.add(u, run{at: time.Now(), id: id, path: r.RequestURI, version: u.version, service: u.service, header: r.Header.Clone(), body: len(body)})
	time.Sleep(u.work)
	w.Header().Set(u.stamp, "3e1b.07.5a2.600.0.c9f2a4d1")
	if u.fails(r.RequestURI) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s", id, r.RequestURI)
}
