package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphireferry.example/ferry/client"
	"samphireferry.example/ferry/errkind"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSystem responds to requests by address, in place of a network.
type fakeSystem struct {
	mu        sync.Mutex
	responses map[string]func(r *http.Request) (*http.Response, error)
	// keys counts the attempts per idempotency key, attempts the attempts per address.
	keys         map[string]int
	attempts     map[string]int
	list         string
	listRequests int
}

const twoInstances = `{"ttl_seconds": 2, "home": "h~1",
	"entry_instances": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:2"}]}`

func newFakeSystem() *fakeSystem {
	return &fakeSystem{
		responses: map[string]func(*http.Request) (*http.Response, error){},
		keys:      map[string]int{},
		attempts:  map[string]int{},
		list:      twoInstances,
	}
}

func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	respond := f.responses[r.URL.Host]
	isList := r.URL.Path == client.PathEntryInstances
	if isList {
		f.listRequests++
	} else {
		f.attempts[r.URL.Host]++
		f.keys[r.Header.Get(client.HeaderKey)]++
	}
	f.mu.Unlock()
	if isList {
		return newResponse(http.StatusOK, "application/json", "", f.list), nil
	}
	if respond == nil {
		return newResponse(http.StatusOK, "text/plain", "", "ok"), nil
	}
	return respond(r)
}

func newResponse(status int, contentType, advice, body string) *http.Response {
	header := http.Header{"Content-Type": {contentType}}
	if advice == "" {
		header.Set(client.HeaderOutcome, string(errkind.Ran))
	}
	if advice != "" {
		header.Set(client.HeaderRetry, advice)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

func refusal(status int, kind, advice string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		body := fmt.Sprintf(`{"kind": %q}`, kind)
		return newResponse(status, "application/problem+json", advice, body), nil
	}
}

func noConnection(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: io.ErrUnexpectedEOF}
}

func truncatedResponse(*http.Request) (*http.Response, error) {
	response := newResponse(http.StatusOK, "text/plain", "", "")
	response.Body = io.NopCloser(io.MultiReader(strings.NewReader("part"), errorReader{}))
	return response, nil
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func testPlan(t *testing.T, customers string) *Plan {
	plan, err := ParsePlan([]byte(`{
		// A plan is JSON with comments.
		"entries": ["http://127.0.0.1:1"], "duration": "2s", "customers": [` + customers + `]}`))
	assert.NilError(t, err)
	assert.NilError(t, plan.Check())
	return plan
}

func runPlan(t *testing.T, system *fakeSystem, customers string) *Report {
	var report *Report
	synctest.Test(t, func(t *testing.T) {
		report = run(t.Context(), testPlan(t, customers), func() http.RoundTripper { return system })
	})
	return report
}

func TestCallerRetryRules(t *testing.T) {
	const idempotent = `{"name": "a", "key": "k", "rate": "50/s", "requests": [{"path": "/x"}]}`
	const atMostOnce = `{"name": "a", "rate": "50/s", "requests": [{"path": "/x", "method": "POST", "body": "{}", "at_most_once": true}]}`
	cases := map[string]struct {
		customer string
		respond  func(*http.Request) (*http.Response, error)
		outcomes map[string]int64
		// attempts holds the number of attempts at the first and the second instance.
		attempts [2]int
	}{
		"answered":           {idempotent, nil, map[string]int64{"ok": 100}, [2]int{100, 0}},
		"connection fails":   {idempotent, noConnection, map[string]int64{"ok": 100}, [2]int{100, 100}},
		"advice elsewhere":   {idempotent, refusal(503, "leaving", "elsewhere"), map[string]int64{"ok": 100}, [2]int{100, 100}},
		"refused":            {idempotent, refusal(429, "rate_exceeded", "later"), map[string]int64{"rate_exceeded": 100}, [2]int{100, 0}},
		"truncated response": {idempotent, truncatedResponse, map[string]int64{"ok": 100}, [2]int{100, 100}},
		"unknown outcome":    {atMostOnce, refusal(502, "upstream_failed", "same-key"), map[string]int64{"ok": 100}, [2]int{100, 100}},
		"not to be retried":  {atMostOnce, refusal(409, "outcome_unknown", "never"), map[string]int64{"outcome_unknown": 100}, [2]int{100, 0}},
		"error of upstream":  {idempotent, func(*http.Request) (*http.Response, error) { return newResponse(500, "text/plain", "", ""), nil }, map[string]int64{"upstream_error": 100}, [2]int{100, 0}},
		"refusal, not JSON": {idempotent, func(*http.Request) (*http.Response, error) {
			return newResponse(503, "application/problem+json", "later", "{"), nil
		}, map[string]int64{"no_kind": 100}, [2]int{100, 0}},
		"connection refused": {atMostOnce, noConnection, map[string]int64{"ok": 100}, [2]int{100, 100}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			system := newFakeSystem()
			system.responses["127.0.0.1:1"] = c.respond
			report := runPlan(t, system, c.customer)
			assert.DeepEqual(t, report.Customers[0].Outcomes, c.outcomes)
			attempts := [2]int{system.attempts["127.0.0.1:1"], system.attempts["127.0.0.1:2"]}
			assert.Equal(t, attempts, c.attempts)
			assert.Equal(t, system.listRequests, 1, "the list is used for its ttl")
			if c.customer == atMostOnce {
				checkKeys(t, system, attempts[0]+attempts[1])
			}
		})
	}
}

// checkKeys checks that all attempts of each at-most-once request use one idempotency
// key of the home.
func checkKeys(t *testing.T, system *fakeSystem, attempts int) {
	assert.Equal(t, len(system.keys), 100)
	total := 0
	for key, n := range system.keys {
		assert.Assert(t, strings.HasPrefix(key, "h~1."), key)
		total += n
	}
	assert.Equal(t, total, attempts)
}

func TestLatencyIsMeasuredFromIntendedStart(t *testing.T) {
	system := newFakeSystem()
	start := time.Time{}
	system.responses["127.0.0.1:1"] = func(*http.Request) (*http.Response, error) {
		system.mu.Lock()
		if start.IsZero() {
			start = time.Now()
		}
		stall := time.Until(start.Add(time.Second))
		system.mu.Unlock()
		time.Sleep(stall)
		return newResponse(http.StatusOK, "text/plain", "", ""), nil
	}
	report := runPlan(t, system, `{"name": "a", "rate": "100/s", "requests": [{"path": "/x"}]}`)
	c := report.Customers[0]
	assert.Equal(t, c.OK, int64(200), "the stall does not lower the load")
	assert.Assert(t, c.Latency.Max >= 990, "max %v ms", c.Latency.Max)
	assert.Assert(t, c.Latency.P90 >= 700 && c.Latency.P90 <= 900, "p90 %v ms", c.Latency.P90)
}

func TestWorstServedCustomerAndTable(t *testing.T) {
	system := newFakeSystem()
	system.responses["127.0.0.1:1"] = func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/b" {
			return refusal(429, "rate_exceeded", "later")(r)
		}
		time.Sleep(20 * time.Millisecond)
		return newResponse(http.StatusOK, "text/plain", "", ""), nil
	}
	report := runPlan(t, system, `
		{"name": "a", "rate": "10/s", "requests": [{"path": "/a"}]},
		{"name": "b", "rate": "10/s", "poisson": true, "requests": [{"path": "/a", "weight": 3}, {"path": "/b"}]}`)
	assert.Equal(t, report.WorstServed, "b")
	var table bytes.Buffer
	assert.NilError(t, report.WriteTable(&table))
	golden.Assert(t, table.String(), "table.golden")
}

func TestMainRejectsInvalidPlans(t *testing.T) {
	cases := map[string][]string{
		"too long":   {"-entry", "http://127.0.0.1:1", "-duration", "11m"},
		"remote":     {"-entry", "http://192.0.2.1:80"},
		"host name":  {"-entry", "http://example.com"},
		"no entry":   {},
		"no unit":    {"-entry", "http://127.0.0.1:1", "-rate", "5"},
		"bad path":   {"-entry", "http://127.0.0.1:1", "-path", "x"},
		"no file":    {"-plan", "does-not-exist"},
		"wrong flag": {"-x"},
	}
	for name, args := range cases {
		var output, errOutput bytes.Buffer
		assert.Equal(t, Main("ferry-load", args, &output, &errOutput), exitBadUsage, name)
	}
}

func TestMainWritesTheReport(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == client.PathEntryInstances {
			fmt.Fprintf(w, `{"ttl_seconds": 1, "entry_instances": [{"address": %q}, {"address": "192.0.2.1:80"}]}`, listener.Addr())
		}
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	file := t.TempDir() + "/report.json"
	var output, errOutput bytes.Buffer
	args := []string{"-entry", "http://" + listener.Addr().String(), "-rate", "50/s", "-duration", "200ms", "-json", file}
	assert.Equal(t, Main("ferry-load", args, &output, &errOutput), exitOK, errOutput.String())
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	var report Report
	assert.NilError(t, json.Unmarshal(text, &report))
	assert.Equal(t, report.Customers[0].OK, int64(10))
	assert.Equal(t, len(report.Customers[0].Instances), 1, "only loopback addresses are used")
}
