package upstream_test

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

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/upstream"
)

// echoingServer hands the bytes for each request to a connection, in which %s is the id of the
// request, and %p the id of the request before it on that connection.
type echoingServer struct {
	listener net.Listener
	running  sync.WaitGroup

	mu sync.Mutex
	// arrived holds for each connection the paths of the requests that it carried.
	arrived [][]string
}

// newEchoingServer responds by the path of the request.
func newEchoingServer(t *testing.T, responses map[string]string) *echoingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &echoingServer{listener: listener}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.running.Go(func() { s.serve(conn, responses) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.running.Wait()
	})
	return s
}

func (s *echoingServer) serve(conn net.Conn, responses map[string]string) {
	defer conn.Close()
	s.mu.Lock()
	number := len(s.arrived)
	s.arrived = append(s.arrived, nil)
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.arrived[number] = append(s.arrived[number], r.URL.Path)
		s.mu.Unlock()
		id := r.Header.Get(dispatch.HeaderRequestID)
		_, _ = io.WriteString(conn, strings.NewReplacer("%s", id, "%p", last).Replace(responses[r.URL.Path]))
		last = id
	}
}

// connections returns the paths of the requests by connection.
func (s *echoingServer) connections() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

func (s *echoingServer) send(t *testing.T, client *upstream.Client, service *routing.Service, id, path string) error {
	t.Helper()
	u := &routing.Upstream{Name: "u1", Address: s.listener.Addr().String(), Slots: 2, Connections: 8}
	req := newRequest(true, path, "body")
	req.ID = id
	response, err := client.Send(withTimeout(t, time.Minute), u, service, req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

const (
	refusal        = "HTTP/1.1 503 Full\r\nFerry-Request-Id: %s\r\nFerry-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	refusalBefore  = "HTTP/1.1 503 Full\r\nFerry-Request-Id: %p\r\nFerry-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	refusalNoID    = "HTTP/1.1 503 Full\r\nFerry-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	refusalEmptyID = "HTTP/1.1 503 Full\r\nFerry-Request-Id:\r\nFerry-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	success        = "HTTP/1.1 200 OK\r\nFerry-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
)

// TestAnEarlierRefusalProvesNothing pins down that a refusal that is written once more, when
// the next request of the connection is running, does not say that this request has not run
// (REFUSED, TWICE): without its id, the response is that of another request.
func TestAnEarlierRefusalProvesNothing(t *testing.T) {
	for name, repeated := range map[string]string{"id of the request before": refusalBefore, "no id": refusalNoID, "empty id": refusalEmptyID} {
		for _, keep := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/keep %t", name, keep), func(t *testing.T) {
				s := newEchoingServer(t, map[string]string{"/refused": refusal, "/next": repeated, "/last": success})
				client := upstream.New(upstream.Options{KeepRequestID: keep, MaxContactAge: time.Hour})
				defer client.Close()
				err := s.send(t, client, echoService, "r1", "/refused")
				assert.Assert(t, !upstream.MayHaveRun(err), "%v", err)
				err = s.send(t, client, echoService, "r2", "/next")
				assert.Assert(t, upstream.MayHaveRun(err), "%v", err)
				assert.Equal(t, errkind.Of(err).Row().Outcome, errkind.Unknown, "%v", err)
				assert.NilError(t, s.send(t, client, echoService, "r3", "/last"))
				assert.DeepEqual(t, s.connections(), [][]string{{"/refused", "/next"}, {"/last"}})
			})
		}
	}
}

// TestARefusalAfterARefusalNeedsAnID guards against a false promise that a request has not
// run (REFUSED): upstreams of a service that echoes no ids may write an earlier refusal once
// more where the response to the next request of the connection is due.
func TestARefusalAfterARefusalNeedsAnID(t *testing.T) {
	s := newEchoingServer(t, map[string]string{"/refused": refusalNoID, "/ok": success})
	client := upstream.New(upstream.Options{MaxContactAge: time.Hour})
	defer client.Close()
	service := &routing.Service{Name: "lookup"}
	assert.NilError(t, s.send(t, client, service, "r1", "/ok"))
	err := s.send(t, client, service, "r2", "/refused")
	assert.Assert(t, !upstream.MayHaveRun(err), "no refusal came before it: %v", err)
	err = s.send(t, client, service, "r3", "/refused")
	assert.Assert(t, !upstream.MayHaveRun(err), "on a connection without an earlier refusal: %v", err)
	assert.DeepEqual(t, s.connections(), [][]string{{"/ok", "/refused"}, {"/refused"}})
}
