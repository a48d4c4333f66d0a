package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// upstreamWork is how long an upstream works on a request, unless a case sets another time.
const upstreamWork = 30 * time.Millisecond

// upstream is a stand-in that runs each request meant for it and echoes its id.
type upstream struct {
	records.Upstream
	record *record
	server *http.Server
	// work is how long the upstream works on a request.
	work time.Duration

	mu sync.Mutex
	// arrivals holds when requests arrived that it has run, running the number of those that it runs now.
	arrivals []time.Time
	running  int
	ran      map[string]bool
}

// newUpstream starts an upstream in the failure domain. It is not registered.
func newUpstream(r *record, id, service, domain string) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{record: r, work: upstreamWork, ran: map[string]bool{}, Upstream: records.Upstream{
		ID: id, Address: listener.Addr().String(), Service: service, Version: "v1", FailureDomain: domain, Slots: 8, Started: time.Now(),
	}}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.AttemptID)
	w.Header().Set(headers.AttemptID, id)
	if expected := r.Header.Get(headers.ExpectInstance); expected != "" && expected != u.ID {
		w.Header().Set(headers.Instance, u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.running++
	u.ran[id] = true
	u.mu.Unlock()
	u.record.note("run %s %s %s at %s of service %s", id, r.Method, r.URL.Path, u.ID, u.Service)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
	}
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	fmt.Fprintf(w, "done by %s\n", u.ID)
}

// since returns how long after the time each later request arrived.
func (u *upstream) since(from time.Time) []time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var after []time.Duration
	for _, t := range u.arrivals {
		if t.After(from) {
			after = append(after, t.Sub(from))
		}
	}
	return after
}

// end ends the upstream like a process that exits, and returns how many requests it was running.
func (u *upstream) end() int {
	u.mu.Lock()
	running := u.running
	u.mu.Unlock()
	u.record.note("%s ends, at work on %d requests", u.ID, running)
	_ = u.server.Close()
	return running
}

// hasRun reports whether the upstream has run a request with the id.
func (u *upstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}
