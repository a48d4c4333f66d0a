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

// The times of the soak's upstreams and callers. They are short, so that a run of
// some seconds holds many requests.
const (
	workTime       = 30 * time.Millisecond
	callerDeadline = 2 * time.Second
	// answerSlack is how much longer than its deadline a caller keeps a connection.
	answerSlack = time.Second
	// objects is the number of objects that the requests are about.
	objects = 7
)

// Upstream is one server of a service.
type Upstream struct {
	ID      string
	service string
	proxy   *Proxy
	server  *httptest.Server
	ledger  *Ledger
	started time.Time
	// fails and loses are the parts of its requests, in thousandths, that it runs and
	// then fails, or resets without an answer.
	fails atomic.Int64
	loses atomic.Int64
	count atomic.Int64
}

func newUpstream(id, service string, ledger *Ledger) (*Upstream, error) {
	u := &Upstream{ID: id, service: service, ledger: ledger, started: time.Now()}
	u.server = httptest.NewServer(u)
	proxy, err := NewProxy(u.server.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	u.proxy = proxy
	return u, nil
}

// record is the entry of the upstream in the failure domain.
func (u *Upstream) record(failureDomain string) records.Upstream {
	return records.Upstream{
		ID: u.ID, Address: u.proxy.Address(), Service: u.service, Version: "1",
		FailureDomain: failureDomain, Slots: slots, Started: u.started,
	}
}

func (u *Upstream) close() {
	u.proxy.Close()
	u.server.CloseClientConnections()
	u.server.Close()
}

// ServeHTTP runs a request and answers with what identifies it.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.AttemptID)
	w.Header().Set(headers.AttemptID, id)
	if expected := r.Header.Get(headers.ExpectInstance); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The sender broke off; the request does not run.
		return
	}
	u.check(r, body)
	u.ledger.Ran(id, u.ID)
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	// A step without a common factor spreads the parts evenly.
	const step, whole = 377, 1000
	drawn := u.count.Add(1) * step % whole
	if drawn < u.fails.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if whole-drawn <= u.loses.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

func (u *Upstream) check(r *http.Request, body []byte) {
	id := r.Header.Get(headers.AttemptID)
	if r.Header.Get("Authorization") != "" {
		u.ledger.Break("request %s reached %s with its key", id, u.ID)
	}
	if r.Header.Get(headers.Customer) != customer {
		u.ledger.Break("request %s reached %s as customer %q", id, u.ID, r.Header.Get(headers.Customer))
	}
	if !strings.HasPrefix(r.URL.Path, "/"+u.service+"/") {
		u.ledger.Break("request %s for %s reached %s of %s", id, r.URL.Path, u.ID, u.service)
	}
	if string(body) != id {
		u.ledger.Break("request %s reached %s with the body %q", id, u.ID, body)
	}
}

// caller sends requests one after the other to the instances in turn.
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

// run sends until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.send(ctx)
		select {
		case <-time.After(workTime):
		case <-ctx.Done():
		}
	}
	c.client.CloseIdleConnections()
}

func (c *caller) send(ctx context.Context) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	once := c.sent%2 == 0
	service, method := lookup, http.MethodGet
	if once {
		service, method = filing, http.MethodPost
	}
	path := fmt.Sprintf("/%s/%d", service, c.sent%objects)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerDeadline+answerSlack)
	defer cancel()
	// With a body that cannot be read again the transport sends a request only once.
	body := io.NopCloser(strings.NewReader(id))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.entries[c.sent%len(c.entries)]+path, body)
	if err != nil {
		c.ledger.Break("caller %s: %v", c.name, err)
		return
	}
	request.ContentLength = int64(len(id))
	request.Host = host
	request.Header.Set(headers.AttemptID, id)
	request.Header.Set(headers.ObjectKey, fmt.Sprint(c.sent%objects))
	request.Header.Set(headers.DeadlineMillis, fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	c.ledger.Sent(id, once)
	c.read(id, path, request)
}

func (c *caller) read(id, path string, request *http.Request) {
	response, err := c.client.Do(request)
	if err != nil {
		// A connection that ends promises nothing of the request.
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		// An answer that ends early does not look complete, as it should.
		return
	}
	want := fmt.Sprintf("%s %s %s", id, path, id)
	if response.StatusCode == http.StatusOK && string(got) != want {
		c.ledger.Break("request %s was answered with %q", id, got)
	}
	c.ledger.Answered(id, response.StatusCode, promisesNotRun(response.StatusCode))
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
