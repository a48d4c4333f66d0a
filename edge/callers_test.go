package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// configurePatient publishes the routes /read/ and, at-most-once, /file/ whose timeout is
// longer than any test waits.
func (s *system) configurePatient() {
	const timeout, rate = time.Minute, 1000
	s.write(records.Configuration{
		Version: 1,
		Routes: []records.Route{
			{Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup", Timeout: timeout, Attempts: 2},
			{Name: "file", Host: "a.example", Prefix: "/file/", Service: "lookup", Timeout: timeout, Attempts: 2, AtMostOnce: true},
		},
		Services:  []string{"lookup"},
		Customers: []records.Customer{{Name: "acme", Keys: []string{"k1"}, Rate: rate, Burst: rate}},
	})
}

// rawRequest returns a request as a caller writes it.
func rawRequest(method, path, id, framing, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: 30000\r\nAuthorization: Bearer k1\r\n%s\r\n%s",
		method, path, headers.AttemptID, id, headers.DeadlineMillis, framing, body)
}

// gatedListener accepts connections only once the gate is open, like an instance that gets no
// processor time.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// Guards against requests that are sent to an upstream although their caller closed the
// connection before they were read, as at an instance without processor time (GONE).
func TestARequestReadAfterItsCallerClosedIsNotSent(t *testing.T) {
	const callers = 200
	s := newSystem(t)
	s.configurePatient()
	b := newFakeUpstream(t, "i-1")
	i := s.startAdmitting(b)
	defer i.stop()
	before := len(b.requests())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gated := gatedListener{Listener: listener, gate: make(chan struct{})}
	go func() { _ = i.callerServer.Serve(callerListener{Listener: gated, heads: i.deps.heads}) }()
	for n := range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		request := rawRequest(http.MethodGet, "/read/7", fmt.Sprint("gone-", n), "", "")
		if n%2 == 1 {
			request = rawRequest(http.MethodPost, "/file/7", fmt.Sprint("gone-", n), "Content-Length: 6\r\n", "filing")
		}
		_, err = conn.Write([]byte(request))
		assert.NilError(t, err)
		if n%4 >= 2 {
			assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, conn.Close())
	}
	last, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer last.Close()
	_, err = last.Write([]byte(rawRequest(http.MethodGet, "/read/7", "last", "", "")))
	assert.NilError(t, err)
	close(gated.gate)
	status, _ := newResponseReader(last).next(t)
	assert.Equal(t, status, http.StatusOK)
	// Connections are accepted in order: those of all other callers are open or have ended.
	eventually(t, "the connections of callers that left have ended", func() bool {
		unused, busy := i.deps.callerConns.Count()
		return unused+busy == 1
	})
	gone := i.deps.metrics.Counter("ferry_callers_gone_total", "stage", string(goneUnread)).Get()
	assert.Assert(t, gone >= callers/2, "%d requests were read after the close", gone)
	assert.Equal(t, len(b.requests())-before, 1, "requests of callers that had left reached the upstream")
}

// untilClosed returns a handler that responds only after its connection has been closed, and
// tells so.
func untilClosed(closed chan<- string) *http.HandlerFunc {
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		closed <- r.Header.Get(headers.AttemptID)
	})
	return &h
}

// Guards against upstreams that work on for a caller that has closed its connection before the
// response began (GONE).
func TestUpstreamStopsWhenTheCallerLeaves(t *testing.T) {
	const filing = "Content-Length: 6\r\n"
	next := rawRequest(http.MethodGet, "/read/8", "next", "", "")
	for name, c := range map[string]struct {
		request string
		// behind is sent once the request is at the upstream.
		behind string
		reset  bool
	}{
		"read":                          {request: rawRequest(http.MethodGet, "/read/7", "a", "", "")},
		"read, reset":                   {request: rawRequest(http.MethodGet, "/read/7", "a", "", ""), reset: true},
		"filing":                        {request: rawRequest(http.MethodPost, "/file/7", "a", filing, "filing")},
		"filing in chunks":              {request: rawRequest(http.MethodPost, "/file/7", "a", "Transfer-Encoding: chunked\r\n", "6\r\nfiling\r\n0\r\n\r\n")},
		"a byte behind the request":     {request: rawRequest(http.MethodGet, "/read/7", "a", "", ""), behind: "\n"},
		"a byte behind, reset":          {request: rawRequest(http.MethodGet, "/read/7", "a", "", ""), behind: "\n", reset: true},
		"a byte with the request":       {request: rawRequest(http.MethodPost, "/file/7", "a", filing, "filing\n")},
		"next request behind the first": {request: rawRequest(http.MethodGet, "/read/7", "a", "", ""), behind: next},
		"next request with the first":   {request: rawRequest(http.MethodGet, "/read/7", "a", "", "") + next},
		"many requests behind":          {request: rawRequest(http.MethodGet, "/read/7", "a", "", ""), behind: strings.Repeat(next, 100)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configurePatient()
			b := newFakeUpstream(t, "i-1")
			i := s.startAdmitting(b)
			defer i.stop()
			before := len(b.requests())
			closed := make(chan string, 1)
			b.handler.Store(untilClosed(closed))
			conn, err := net.Dial("tcp", i.deps.settings.Listen)
			assert.NilError(t, err)
			_, err = conn.Write([]byte(c.request))
			assert.NilError(t, err)
			eventually(t, "the request is at the upstream", func() bool { return len(b.requests()) == before+1 })
			_, err = conn.Write([]byte(c.behind))
			assert.NilError(t, err)
			if c.reset {
				assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
			}
			assert.NilError(t, conn.Close())
			var id string
			eventually(t, "the upstream's connection is closed", func() bool {
				select {
				case id = <-closed:
				default:
				}
				return id != ""
			})
			assert.Equal(t, id, "a")
			eventually(t, "no request is running", func() bool { return i.inFlight() == 0 })
			assert.Equal(t, len(b.requests()), before+1, "another request was sent")
		})
	}
}

// Pins down that requests which a caller sends without waiting for the responses are served in
// their order, whatever is read to see whether it leaves.
func TestPipelinedRequestsAreServed(t *testing.T) {
	const requests = 50
	s := newSystem(t)
	s.configurePatient()
	b := newFakeUpstream(t, "i-1")
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	b.handler.Store(&echo)
	i := s.startAdmitting(b)
	defer i.stop()
	conn, err := net.Dial("tcp", i.deps.settings.Listen)
	assert.NilError(t, err)
	defer conn.Close()
	var writing sync.WaitGroup
	writing.Go(func() {
		for n := range requests {
			request := rawRequest(http.MethodGet, fmt.Sprint("/read/", n), fmt.Sprint(n), "", "")
			if n%2 == 1 {
				request = rawRequest(http.MethodPost, fmt.Sprint("/file/", n), fmt.Sprint(n), "Content-Length: 6\r\n", "filing")
			}
			// Pieces that end anywhere, within a header too.
			for len(request) > 0 {
				piece := min(len(request), 1+n*7%60)
				_, err := conn.Write([]byte(request[:piece]))
				assert.Check(t, err)
				request = request[piece:]
			}
		}
	})
	reader := newResponseReader(conn)
	for n := range requests {
		path := fmt.Sprint("/read/", n)
		if n%2 == 1 {
			path = fmt.Sprint("/file/", n)
		}
		status, body := reader.next(t)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, path)
	}
	writing.Wait()
}

// responseReader reads the responses on a connection.
type responseReader struct{ buffered *bufio.Reader }

func newResponseReader(conn net.Conn) responseReader { return responseReader{bufio.NewReader(conn)} }

// next returns the status and the body of the next response.
func (r responseReader) next(t *testing.T) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(r.buffered, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

// Guards against a request that is held beyond its deadline because its body does not arrive.
func TestABodyThatDoesNotArriveEndsAtTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		framing, body string
		// streamed is set when the body is sent to the upstream while it arrives.
		streamed bool
	}{
		"length":  {"Content-Length: 12\r\n", "filing", false},
		"chunked": {"Transfer-Encoding: chunked\r\n", "6\r\nfiling\r\n", false},
		"long":    {"Content-Length: 1000000\r\n", "filing", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configureStop(time.Second)
			b := newFakeUpstream(t, "i-1")
			i := s.startAdmitting(b)
			defer i.stop()
			before := len(b.requests())
			conn, err := net.Dial("tcp", i.deps.settings.Listen)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = conn.Write([]byte(rawRequest(http.MethodPost, "/file/7", "a", c.framing, c.body)))
			assert.NilError(t, err)
			status, _ := newResponseReader(conn).next(t)
			assert.Equal(t, status, http.StatusGatewayTimeout)
			assert.Assert(t, c.streamed || len(b.requests()) == before, "the request was sent")
			for _, stage := range []goneStage{goneUnsent, goneSent} {
				assert.Equal(t, i.deps.metrics.Counter("ferry_callers_gone_total", "stage", string(stage)).Get(), uint64(0))
			}
		})
	}
}
