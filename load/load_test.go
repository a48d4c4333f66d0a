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

// fakeSystem answers requests by address, in place of a network.
type fakeSystem struct {
	mu      sync.Mutex
	answers map[string]func(r *http.Request) (*http.Response, error)
	// keys counts the attempts with each idempotency key, requests those at
	// each address.
	keys     map[string]int
	requests map[string]int
	list     string
	lists    int
}

const twoInstances = `{"ttl_seconds": 2, "home": "h~1",
	"entry_instances": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:2"}]}`

func newFakeSystem() *fakeSystem {
	return &fakeSystem{
		answers:  map[string]func(*http.Request) (*http.Response, error){},
		keys:     map[string]int{},
		requests: map[string]int{},
		list:     twoInstances,
	}
}

func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	answer := f.answers[r.URL.Host]
	isList := r.URL.Path == client.PathEntryInstances
	if isList {
		f.lists++
	} else {
		f.requests[r.URL.Host]++
		f.keys[r.Header.Get(client.HeaderKey)]++
	}
	f.mu.Unlock()
	if isList {
		return reply(http.StatusOK, "application/json", "", f.list), nil
	}
	if answer == nil {
		return reply(http.StatusOK, "text/plain", "", "ok"), nil
	}
	return answer(r)
}

func reply(status int, contentType, advice, body string) *http.Response {
	header := http.Header{"Content-Type": {contentType}}
	if advice == "" {
		header.Set(client.HeaderOutcome, string(errkind.Ran))
	}
	if advice != "" {
		header.Set(client.HeaderRetry, advice)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
}

func refuse(status int, kind, advice string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		body := fmt.Sprintf(`{"kind": %q}`, kind)
		return reply(status, "application/problem+json", advice, body), nil
	}
}

func noConnection(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: io.ErrUnexpectedEOF}
}

func cutAnswer(*http.Request) (*http.Response, error) {
	response := reply(http.StatusOK, "text/plain", "", "")
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

func TestCallersRules(t *testing.T) {
	const read = `{"name": "a", "key": "k", "rate": "50/s", "requests": [{"path": "/x"}]}`
	const filing = `{"name": "a", "rate": "50/s", "requests": [{"path": "/x", "method": "POST", "body": "{}", "at_most_once": true}]}`
	cases := map[string]struct {
		customer string
		first    func(*http.Request) (*http.Response, error)
		outcomes map[string]int64
		// attempts are those at the first and the second instance.
		attempts [2]int
	}{
		"answered":          {read, nil, map[string]int64{"ok": 100}, [2]int{100, 0}},
		"connection fails":  {read, noConnection, map[string]int64{"ok": 100}, [2]int{100, 100}},
		"advice elsewhere":  {read, refuse(503, "leaving", "elsewhere"), map[string]int64{"ok": 100}, [2]int{100, 100}},
		"refused":           {read, refuse(429, "rate_exceeded", "later"), map[string]int64{"rate_exceeded": 100}, [2]int{100, 0}},
		"cut read":          {read, cutAnswer, map[string]int64{"ok": 100}, [2]int{100, 100}},
		"unknown filing":    {filing, refuse(502, "upstream_failed", "same-key"), map[string]int64{"ok": 100}, [2]int{100, 100}},
		"refused filing":    {filing, refuse(409, "outcome_unknown", "never"), map[string]int64{"outcome_unknown": 100}, [2]int{100, 0}},
		"error of upstream": {read, func(*http.Request) (*http.Response, error) { return reply(500, "text/plain", "", ""), nil }, map[string]int64{"upstream_error": 100}, [2]int{100, 0}},
		"refusal, not JSON": {read, func(*http.Request) (*http.Response, error) {
			return reply(503, "application/problem+json", "later", "{"), nil
		}, map[string]int64{"no_kind": 100}, [2]int{100, 0}},
		"connection refused": {filing, noConnection, map[string]int64{"ok": 100}, [2]int{100, 100}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			system := newFakeSystem()
			system.answers["127.0.0.1:1"] = c.first
			report := runPlan(t, system, c.customer)
			assert.DeepEqual(t, report.Customers[0].Outcomes, c.outcomes)
			attempts := [2]int{system.requests["127.0.0.1:1"], system.requests["127.0.0.1:2"]}
			assert.Equal(t, attempts, c.attempts)
			assert.Equal(t, system.lists, 1, "the list is used for its ttl")
			if c.customer == filing {
				checkKeys(t, system, attempts[0]+attempts[1])
			}
		})
	}
}

// checkKeys checks that each filing has one key of the home for all attempts.
func checkKeys(t *testing.T, system *fakeSystem, attempts int) {
	assert.Equal(t, len(system.keys), 100)
	total := 0
	for key, n := range system.keys {
		assert.Assert(t, strings.HasPrefix(key, "h~1."), key)
		total += n
	}
	assert.Equal(t, total, attempts)
}

func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	system := newFakeSystem()
	start := time.Time{}
	system.answers["127.0.0.1:1"] = func(*http.Request) (*http.Response, error) {
		system.mu.Lock()
		if start.IsZero() {
			start = time.Now()
		}
		stall := time.Until(start.Add(time.Second))
		system.mu.Unlock()
		time.Sleep(stall)
		return reply(http.StatusOK, "text/plain", "", ""), nil
	}
	report := runPlan(t, system, `{"name": "a", "rate": "100/s", "requests": [{"path": "/x"}]}`)
	c := report.Customers[0]
	assert.Equal(t, c.OK, int64(200), "the stall does not lower the load")
	assert.Assert(t, c.Latency.Max >= 990, "max %v ms", c.Latency.Max)
	assert.Assert(t, c.Latency.P90 >= 700 && c.Latency.P90 <= 900, "p90 %v ms", c.Latency.P90)
}

func TestWorstServedCustomerAndTable(t *testing.T) {
	system := newFakeSystem()
	system.answers["127.0.0.1:1"] = func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == "/b" {
			return refuse(429, "rate_exceeded", "later")(r)
		}
		time.Sleep(20 * time.Millisecond)
		return reply(http.StatusOK, "text/plain", "", ""), nil
	}
	report := runPlan(t, system, `
		{"name": "a", "rate": "10/s", "requests": [{"path": "/a"}]},
		{"name": "b", "rate": "10/s", "poisson": true, "requests": [{"path": "/a", "weight": 3}, {"path": "/b"}]}`)
	assert.Equal(t, report.WorstServed, "b")
	var table bytes.Buffer
	assert.NilError(t, report.WriteTable(&table))
	golden.Assert(t, table.String(), "table.golden")
}

func TestMainRefusesBadPlans(t *testing.T) {
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
	assert.Equal(t, Main("ferry-load", args, &output, &errOutput), exitDone, errOutput.String())
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	var report Report
	assert.NilError(t, json.Unmarshal(text, &report))
	assert.Equal(t, report.Customers[0].OK, int64(10))
	assert.Equal(t, len(report.Customers[0].Instances), 1, "only loopback addresses are used")
}
