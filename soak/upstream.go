package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// Times of the soak's upstreams and callers. They are short, so that a run of a few
// seconds contains many requests.
const (
	// serviceTime is the time for which a request runs, and the pause of a caller
	// between two requests.
	serviceTime = 30 * time.Millisecond
	// callerDeadline is the deadline that callers send with each request.
	callerDeadline = 2 * time.Second
	// responseSlack is how long after its deadline a caller still waits for a response.
	responseSlack = time.Second
	// objectCount is the number of distinct objects that requests refer to.
	objectCount = 7
)

// Upstream is one server of a service.
type Upstream struct {
	ID      string
	service string
	proxy   *Proxy
	server  *httptest.Server
	ledger  *Ledger
	started time.Time
	// failPermille and abortPermille are the fractions of its requests, in thousandths,
	// that it runs and then fails with status 500, or aborts without a response.
	failPermille  atomic.Int64
	abortPermille atomic.Int64
	requests      atomic.Int64
	rate          rateCheck
	statements    statementCheck
	departures    *departures
}

func newUpstream(id, service string, ledger *Ledger, departures *departures) (*Upstream, error) {
	u := &Upstream{ID: id, service: service, ledger: ledger, departures: departures, started: time.Now()}
	u.server = httptest.NewServer(u)
	proxy, err := NewProxy(u.server.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	u.proxy = proxy
	return u, nil
}

// record returns the upstream's entry for the store, with the failure domain.
func (u *Upstream) record(failureDomain string) records.Upstream {
	return records.Upstream{
		ID: u.ID, Address: u.proxy.Address(), Service: u.service, Version: "1",
		FailureDomain: failureDomain, Slots: slotsPerUpstream, Started: u.started,
	}
}

func (u *Upstream) close() {
	u.proxy.Close()
	u.server.CloseClientConnections()
	u.server.Close()
}

// ServeHTTP runs a request and responds with its attempt ID, path and body.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.AttemptID)
	w.Header().Set(headers.AttemptID, id)
	if expected := r.Header.Get(headers.ExpectInstance); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.rate.recordArrival(w.Header(), time.Now())
	instance := u.ledger.instanceOf(id)
	stated := u.statements.recordArrival(w.Header(), instance, id, time.Now())
	if stated.pause > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		u.statements.recordResponse(instance, stated, time.Now())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The body is incomplete; the request does not run.
		return
	}
	u.checkRequest(r, body)
	u.ledger.RecordRun(id, u.ID)
	if u.departures.work(r.Context(), id) {
		return
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	// A step that is coprime to the modulus spreads failures and aborts evenly.
	const step, modulus = 377, 1000
	position := u.requests.Add(1) * step % modulus
	if modulus-position <= u.abortPermille.Load() {
		panic(http.ErrAbortHandler)
	}
	u.statements.recordResponse(instance, stated, time.Now())
	if position < u.failPermille.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

func (u *Upstream) checkRequest(r *http.Request, body []byte) {
	id := r.Header.Get(headers.AttemptID)
	if r.Header.Get("Authorization") != "" {
		u.ledger.RecordViolation("request %s reached %s with its API key", id, u.ID)
	}
	if r.Header.Get(headers.Customer) != customer {
		u.ledger.RecordViolation("request %s reached %s as customer %q", id, u.ID, r.Header.Get(headers.Customer))
	}
	if !strings.HasPrefix(r.URL.Path, "/"+u.service+"/") {
		u.ledger.RecordViolation("request %s for %s reached %s of service %s", id, r.URL.Path, u.ID, u.service)
	}
	if string(body) != id {
		u.ledger.RecordViolation("request %s reached %s with the body %q", id, u.ID, body)
	}
}

// caller sends requests sequentially, to the instances in turn.
type caller struct {
	name    string
	ledger  *Ledger
	entries []string
	client  *http.Client
	sent    int
}

func newCaller(name string, ledger *Ledger, entries []string) *caller {
	return &caller{name: name, ledger: ledger, entries: entries, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.send(ctx)
		select {
		case <-time.After(serviceTime):
		case <-ctx.Done():
		}
	}
	c.client.CloseIdleConnections()
}

func (c *caller) send(ctx context.Context) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	atMostOnce := c.sent%2 == 0
	service, method := lookup, http.MethodGet
	if atMostOnce {
		service, method = filing, http.MethodPost
	}
	path := fmt.Sprintf("/%s/%d", service, c.sent%objectCount)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerDeadline+responseSlack)
	defer cancel()
	// The body cannot be re-read, so the transport never sends a request twice.
	body := io.NopCloser(strings.NewReader(id))
	entry := c.entries[c.sent%len(c.entries)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	if err != nil {
		c.ledger.RecordViolation("caller %s: %v", c.name, err)
		return
	}
	request.ContentLength = int64(len(id))
	request.Host = host
	request.Header.Set(headers.AttemptID, id)
	request.Header.Set(headers.ObjectKey, fmt.Sprint(c.sent%objectCount))
	request.Header.Set(headers.DeadlineMillis, fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	c.ledger.RecordSent(id, atMostOnce)
	c.ledger.RecordInstance(id, entry)
	c.exchange(id, path, request)
}

func (c *caller) exchange(id, path string, request *http.Request) {
	response, err := c.client.Do(request)
	if err != nil {
		// A failed connection implies nothing about whether the request ran.
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		// A truncated response is detected as such, as it must be.
		return
	}
	want := fmt.Sprintf("%s %s %s", id, path, id)
	if response.StatusCode == http.StatusOK && string(got) != want {
		c.ledger.RecordViolation("request %s got the response body %q", id, got)
	}
	c.ledger.RecordResponse(id, response.StatusCode, guaranteesNotRun(response.StatusCode))
}

// guaranteesNotRun reports whether a response with the status states that the request
// has not run and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
