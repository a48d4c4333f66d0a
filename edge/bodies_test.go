package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
	"samphireferry.example/ferry/telemetry"
)

const (
	// testMemory is the memory of the instance in the tests of bodies that do not end.
	testMemory = 136 << 20
	// endlessBytes is what a body that does not end has sent; more would not be held whole.
	endlessBytes = 248 << 10
)

// startWithMemory starts an instance with testMemory, the service "lookup" of ordinary upstream b and
// the service "faulty" at the address.
func startWithMemory(t *testing.T, b *fakeUpstream, faulty string) *instance {
	t.Helper()
	s := newSystem(t)
	route := func(name, service string) records.Route {
		return records.Route{Name: name, Host: "a.example", Prefix: "/" + name + "/", Service: service, Timeout: time.Minute, Attempts: 1}
	}
	s.write(records.Configuration{
		Version: 1, Services: []string{"lookup", "faulty"},
		Routes: []records.Route{route("read", "lookup"), route("faulty", "faulty")},
	})
	s.register(b, "1", "ready")
	s.write(records.Upstream{ID: "u-faulty", Address: faulty, Service: "faulty", Version: "1", FailureDomain: "east-1", Slots: 1000, Started: time.UnixMilli(1)})
	settings := s.settings("e1")
	settings.Memory = testMemory
	built, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(t, err)
	assert.NilError(t, built.Start())
	i := &instance{Instance: built, t: t}
	t.Cleanup(i.stop)
	i.waitReady(2)
	return i
}

// sendRaw sends bytes on a new connection, which is closed at the end of the test.
func (i *instance) sendRaw(message string) net.Conn {
	i.t.Helper()
	conn, err := net.Dial("tcp", i.deps.settings.Listen)
	assert.NilError(i.t, err)
	i.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, message)
	assert.NilError(i.t, err)
	return conn
}

// assertServesOthers checks that ordinary requests are served and the bodies held fit the memory.
func (i *instance) assertServesOthers() {
	i.t.Helper()
	for n := range 20 {
		conn := i.sendRaw(fmt.Sprintf("POST /read/x HTTP/1.1\r\nHost: a.example\r\n%s: other-%d\r\n%s: 5000\r\nContent-Length: 4\r\n\r\nbody", headers.AttemptID, n, headers.DeadlineMillis))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(i.t, err)
		assert.Equal(i.t, response.StatusCode, http.StatusOK)
	}
	held, _ := i.deps.buffers.Held()
	assert.Assert(i.t, held <= testMemory/4, "%d bytes are held", held)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	assert.Assert(i.t, memory.HeapAlloc < testMemory/2, "%d bytes of heap", memory.HeapAlloc)
}

// TestResponsesThatDoNotEndLeaveMemoryForOthers guards against an instance that runs out of memory,
// since a faulty upstream sends bodies without end: each of them was bounded, their sum was not (LOST).
func TestResponsesThatDoNotEndLeaveMemoryForOthers(t *testing.T) {
	const responses = 300
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sent := make(chan struct{}, responses)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.AttemptID, r.Header.Get(headers.AttemptID))
		_, _ = io.WriteString(w, strings.Repeat("x", endlessBytes))
		_ = http.NewResponseController(w).Flush()
		sent <- struct{}{}
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	i := startWithMemory(t, newFakeUpstream(t, "u-1"), listener.Addr().String())
	for n := range responses {
		i.sendRaw(fmt.Sprintf("GET /faulty/x HTTP/1.1\r\nHost: a.example\r\n%s: endless-%d\r\n%s: 50000\r\n\r\n", headers.AttemptID, n, headers.DeadlineMillis))
	}
	for range responses {
		<-sent
	}
	i.assertServesOthers()
}

// TestRequestBodiesThatDoNotEndLeaveMemoryForOthers is the same for callers that do not end their
// requests.
func TestRequestBodiesThatDoNotEndLeaveMemoryForOthers(t *testing.T) {
	const requests = 400
	i := startWithMemory(t, newFakeUpstream(t, "u-1"), "127.0.0.1:9")
	for n := range requests {
		head := fmt.Sprintf("POST /read/x HTTP/1.1\r\nHost: a.example\r\n%s: endless-%d\r\n%s: 50000\r\nContent-Length: %d\r\n\r\n", headers.AttemptID, n, headers.DeadlineMillis, endlessBytes+1)
		i.sendRaw(head + strings.Repeat("x", endlessBytes))
	}
	eventually(t, "request bodies were ended", func() bool {
		_, ended := i.deps.buffers.Held()
		return ended > requests/2
	})
	i.assertServesOthers()
}
