package caller

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
)

// fakes implements the dependencies of the server and records the calls.
type fakes struct {
	table    *routing.Table
	admitErr error
	age      time.Duration
	sent     []*dispatch.Request
	sentBody string
	response func() (*dispatch.Response, error)
	claimErr error
	recorded *RecordedResponse
	outcomes []string
}

func (f *fakes) Table() *routing.Table                          { return f.table }
func (f *fakes) Admit(context.Context, *routing.Customer) error { return f.admitErr }
func (f *fakes) StoreAge() time.Duration                        { return f.age }
func (f *fakes) EntryInstances(address netip.Addr) EntryInstanceList {
	return EntryInstanceList{TTLSeconds: 5}
}

func (f *fakes) Dispatch(_ context.Context, request *dispatch.Request) (*dispatch.Response, error) {
	f.sent = append(f.sent, request)
	if request.Body != nil {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.UpstreamFailed, "")
		}
		f.sentBody = string(body)
	}
	return f.response()
}

func (f *fakes) Claim(context.Context, *routing.Customer, requestkeys.Key, []byte) (Claim, *RecordedResponse, error) {
	if f.claimErr != nil {
		return nil, nil, f.claimErr
	}
	if f.recorded != nil {
		return nil, f.recorded, nil
	}
	return f, nil, nil
}

func (f *fakes) NotRun()                 { f.outcomes = append(f.outcomes, "not-run") }
func (f *fakes) Ran(r *RecordedResponse) { f.outcomes = append(f.outcomes, "ran:"+string(r.Body)) }
func (f *fakes) Unknown()                { f.outcomes = append(f.outcomes, "unknown") }
func (f *fakes) respond() (*dispatch.Response, error) {
	header := http.Header{"Content-Type": {"text/plain"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Ferry-Outcome": {"forged"}}
	return &dispatch.Response{Status: 201, Header: header, Body: io.NopCloser(strings.NewReader("done")), ContentLength: 4}, nil
}

func (f *fakes) failWith(kind errkind.Kind) func() (*dispatch.Response, error) {
	return func() (*dispatch.Response, error) { return nil, errkind.New(kind, "") }
}

func testTable(t *testing.T) *routing.Table {
	t.Helper()
	keyHash := func(key string) string {
		hash := routing.HashKey(key)
		return hex.EncodeToString(hash[:])
	}
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: dynamic.Set{
		Customers: []dynamic.Customer{{Name: "a", Rate: 10, Burst: 10}, {Name: "b", Rate: 10, Burst: 10}, {Name: "c", Rate: 10, Burst: 10, Left: true}},
		Keys: []dynamic.Key{
			{Name: "a1", Customer: "a", SHA256: keyHash("key-a")},
			{Name: "a2", Customer: "a", SHA256: keyHash("key-gone"), Withdrawn: true},
			{Name: "b1", Customer: "b", SHA256: keyHash("key-b")},
			{Name: "c1", Customer: "c", SHA256: keyHash("key-c")},
		},
		Services: []dynamic.Service{{Name: "lookup"}, {Name: "ledger"}},
		Routes: []dynamic.Route{
			{Name: "read", Service: "lookup", PathPrefix: "/read", Kind: dynamic.Idempotent, MaxBody: 100},
			{Name: "open", Service: "lookup", PathPrefix: "/open", Kind: dynamic.Idempotent, Open: true, OpenCustomer: "a"},
			{Name: "own", Service: "lookup", PathPrefix: "/own", Kind: dynamic.Idempotent, Customers: []string{"b"}},
			{Name: "strict", Service: "lookup", PathPrefix: "/strict", Kind: dynamic.Idempotent, WhenCutOff: dynamic.CutOffRefuse},
			{Name: "file", Service: "ledger", PathPrefix: "/file", Kind: dynamic.AtMostOnce},
		},
	}})
	assert.NilError(t, err)
	return table
}

func newTestServer(f *fakes) *Server {
	return NewServer(DefaultSettings(), Services{
		Tables: f, Admitter: f, Freshness: f, Dispatcher: f, Claims: f, EntryInstances: f,
		Metrics: telemetry.New(), Log: zap.NewNop(),
	})
}

func TestRefusalsFollowTheErrorTable(t *testing.T) {
	newError := func(kind errkind.Kind) error { return errkind.New(kind, "") }
	cases := map[string]struct {
		path, key, idempotencyKey, body string
		modify                          func(f *fakes)
		want                            errkind.Kind
		dispatched                      bool
		outcome                         string
	}{
		"no configuration":   {path: "/read", modify: func(f *fakes) { f.table = nil }, want: errkind.NoConfiguration},
		"no route":           {path: "/none", key: "key-a", want: errkind.UnknownRoute},
		"segment boundary":   {path: "/readx", key: "key-a", want: errkind.UnknownRoute},
		"dot segments":       {path: "/read/../own/x", key: "key-a", want: errkind.BadRequest},
		"encoded separator":  {path: "/read/..%2fown", key: "key-a", want: errkind.BadRequest},
		"key in the path":    {path: "/read/key-a", key: "key-a", want: errkind.BadRequest},
		"no key":             {path: "/read", want: errkind.KeyMissing},
		"unknown key":        {path: "/read", key: "key-x", want: errkind.KeyUnknown},
		"withdrawn key":      {path: "/read", key: "key-gone", want: errkind.KeyWithdrawn},
		"wrong key on open":  {path: "/open", key: "key-x", want: errkind.KeyUnknown},
		"customer has left":  {path: "/read", key: "key-c", want: errkind.CustomerNotAllowed},
		"other customer":     {path: "/own", key: "key-a", want: errkind.CustomerNotAllowed},
		"cut off":            {path: "/strict", key: "key-a", modify: func(f *fakes) { f.age = time.Hour }, want: errkind.KeyUnverified},
		"body too large":     {path: "/read", key: "key-a", body: strings.Repeat("x", 101), want: errkind.BodyTooLarge},
		"over the rate":      {path: "/read", key: "key-a", modify: func(f *fakes) { f.admitErr = newError(errkind.RateExceeded) }, want: errkind.RateExceeded},
		"no idempotency key": {path: "/file", key: "key-a", want: errkind.IdempotencyKeyMissing},
		"in progress": {path: "/file", key: "key-a", idempotencyKey: "h~0.1", want: errkind.IdempotencyInProgress,
			modify: func(f *fakes) { f.claimErr = newError(errkind.IdempotencyInProgress) }},
		"upstream failed": {path: "/read", key: "key-a", want: errkind.UpstreamFailed, dispatched: true,
			modify: func(f *fakes) { f.response = f.failWith(errkind.UpstreamFailed) }},
		"at-most-once not run": {path: "/file", key: "key-a", idempotencyKey: "h~0.1", want: errkind.Overloaded, dispatched: true,
			outcome: "not-run", modify: func(f *fakes) { f.response = f.failWith(errkind.Overloaded) }},
		"at-most-once unknown": {path: "/file", key: "key-a", idempotencyKey: "h~0.1", want: errkind.UpstreamTimeout, dispatched: true,
			outcome: "unknown", modify: func(f *fakes) { f.response = f.failWith(errkind.UpstreamTimeout) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakes{table: testTable(t)}
			f.response = f.respond
			if c.modify != nil {
				c.modify(f)
			}
			s := newTestServer(f)
			r := httptest.NewRequest("POST", c.path, strings.NewReader(c.body))
			setHeader(r, "Authorization", "Bearer ", c.key)
			setHeader(r, requestkeys.HeaderIdempotencyKey, "", c.idempotencyKey)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)

			row := c.want.Row()
			var problem Problem
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &problem), w.Body.String())
			assert.Equal(t, problem.Kind, row.Name)
			assert.Equal(t, w.Code, row.Status)
			assert.Equal(t, w.Header().Get(HeaderOutcome), string(row.Outcome))
			assert.Equal(t, w.Header().Get(HeaderRetry), string(row.Retry))
			assert.Equal(t, s.services.Metrics.Refusals(c.want), uint64(1))
			assert.Equal(t, len(f.sent) > 0, c.dispatched)
			assert.Equal(t, strings.Join(f.outcomes, ","), c.outcome)
		})
	}
}

func setHeader(r *http.Request, name, prefix, value string) {
	if value != "" {
		r.Header.Set(name, prefix+value)
	}
}

func TestAtMostOnceRequestIsServedAndRecorded(t *testing.T) {
	f := &fakes{table: testTable(t)}
	f.response = f.respond
	s := newTestServer(f)
	r := httptest.NewRequest("POST", "/file/x?a=1&b=key-a", strings.NewReader("vote"))
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set(requestkeys.HeaderIdempotencyKey, "home~0.1")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)

	assert.Equal(t, w.Code, 201)
	assert.Equal(t, w.Body.String(), "done")
	assert.Equal(t, w.Header().Get(HeaderOutcome), "ran")
	assert.Equal(t, w.Header().Get("X-Hop"), "")
	assert.Equal(t, strings.Join(f.outcomes, ","), "ran:done")
	request := f.sent[0]
	assert.Equal(t, request.Customer.Name, "a")
	assert.Equal(t, request.RawQuery, "a=1")
	assert.Equal(t, request.Header.Get("Authorization"), "")
	assert.Equal(t, f.sentBody, "vote")
}

func TestRepeatGetsRecordedResponse(t *testing.T) {
	f := &fakes{table: testTable(t), recorded: &RecordedResponse{Status: 201, Header: http.Header{"X-A": {"1"}}, Body: []byte("done")}}
	s := newTestServer(f)
	r := httptest.NewRequest("POST", "/file/x", nil)
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set(requestkeys.HeaderIdempotencyKey, "home~0.1")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	assert.Equal(t, w.Code, 201)
	assert.Equal(t, w.Body.String(), "done")
	assert.Equal(t, len(f.sent), 0)
}

func TestTruncatedResponseIsDetectedByCaller(t *testing.T) {
	f := &fakes{table: testTable(t)}
	f.response = func() (*dispatch.Response, error) {
		body := io.MultiReader(strings.NewReader("do"), errorReader{errkind.New(errkind.AnswerTruncated, "")})
		return &dispatch.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}, nil
	}
	server := httptest.NewServer(newTestServer(f))
	defer server.Close()
	r, err := http.NewRequest("POST", server.URL+"/file/x", nil)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set(requestkeys.HeaderIdempotencyKey, "home~0.1")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorContains(t, err, "unexpected EOF")
	server.Close()
	assert.Equal(t, strings.Join(f.outcomes, ","), "unknown")
}

type errorReader struct{ err error }

func (e errorReader) Read([]byte) (int, error) { return 0, e.err }

func TestEntryInstancesAreListed(t *testing.T) {
	f := &fakes{table: testTable(t)}
	w := httptest.NewRecorder()
	newTestServer(f).ServeHTTP(w, httptest.NewRequest("GET", "/v1/entry-instances", nil))
	assert.Equal(t, w.Code, 200)
	var list EntryInstanceList
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &list))
	assert.Equal(t, list.TTLSeconds, 5)
}

func TestResponsesWithoutBody(t *testing.T) {
	cases := []struct {
		method, length string
		status         int
	}{
		{http.MethodHead, "5", http.StatusOK},
		{http.MethodGet, "", http.StatusNoContent},
		{http.MethodGet, "", http.StatusNotModified},
	}
	for _, c := range cases {
		f := &fakes{table: testTable(t)}
		f.response = func() (*dispatch.Response, error) {
			length := int64(0)
			if c.length != "" {
				length = 5
			}
			return &dispatch.Response{Status: c.status, Header: http.Header{}, Body: http.NoBody, ContentLength: length}, nil
		}
		server := httptest.NewServer(newTestServer(f))
		r, err := http.NewRequest(c.method, server.URL+"/open", nil)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		response.Body.Close()
		server.Close()
		assert.Equal(t, response.StatusCode, c.status)
		if c.status != http.StatusNotModified {
			assert.Equal(t, response.Header.Get("Content-Length"), c.length, c.method)
		}
	}
}

// Guards against requests inside others on the connections of callers, and against a refusal that waits
// without end for a body that never arrives.
func TestHeadsAreInspectedOnConnections(t *testing.T) {
	f := &fakes{table: testTable(t)}
	server := newTestServer(f)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server.Provision(listener)
	defer server.Close()
	const start = "POST /read HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-x\r\nContent-Length: 5\r\n"
	for text, want := range map[string]int{
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": http.StatusBadRequest,
		start + "Authorization: Bearer key-a\r\n\r\nhello":    http.StatusBadRequest,
		start + "\r\n": http.StatusUnauthorized,
		"GET /read HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("b", 64<<10) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want, "%.200q", text)
		assert.Assert(t, response.Header.Get(HeaderOutcome) != "")
		assert.NilError(t, conn.Close())
	}
}
