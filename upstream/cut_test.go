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

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/upstream"
)

// cutServer reads one request on each connection, writes the bytes and ends the connection.
type cutServer struct {
	listener net.Listener
	running  sync.WaitGroup

	mu    sync.Mutex
	bytes string
	reset bool
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cutServer{listener: listener}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.running.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.running.Wait()
	})
	return s
}

func (s *cutServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(conn, s.bytes)
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// send makes an at-most-once request to which the server responds with the bytes.
func (s *cutServer) send(t *testing.T, client *upstream.Client, bytes string, reset bool) error {
	t.Helper()
	s.mu.Lock()
	s.bytes, s.reset = bytes, reset
	s.mu.Unlock()
	u := &routing.Upstream{Name: "u1", Address: s.listener.Addr().String(), Slots: 2, Connections: 8}
	ctx := withTimeout(t, time.Minute)
	response, err := client.Send(ctx, u, echoService, newRequest(true, "/", "body"))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// TestACutResponseIsNoSuccess pins down that a response that its upstream ends early, at any
// byte, is an error, so that no caller gets it as whole (MIXED): a head ends with an empty
// line, and a body with its length, its last chunk and trailer, or a close without reset.
func TestACutResponseIsNoSuccess(t *testing.T) {
	const id = "Ferry-Request-Id: r1\r\n"
	body := strings.Repeat("b", 40)
	responses := map[string]string{
		"length":          "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 40\r\n\r\n" + body,
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n" + id + "\r\n" + strings.Repeat("b", 1000),
		"length last":     "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000),
		"chunks":          "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body[:20] + "\r\n14\r\n" + body[20:] + "\r\n0\r\n\r\n",
		"chunks, trailer": "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n28\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n",
		"line feeds only": "HTTP/1.1 200 OK\nFerry-Request-Id: r1\nContent-Length: 40\n\n" + body,
		"failure":         "HTTP/1.1 503 Full\r\n" + id + "Ferry-Shed: not-run\r\nContent-Length: 0\r\n\r\n",
		"interim":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 40\r\n\r\n" + body,
		"until the close": "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n" + body,
		"HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + id + "\r\n" + body,
	}
	untilClose := map[string]bool{"until the close": true, "HTTP/1.0": true}
	for name, whole := range responses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				s := newCutServer(t)
				client := upstream.New(upstream.Options{
					AcceptCloseDelimited: true,
					KeepRequestID:        true,
					NoSilenceTimer:       true,
				})
				defer client.Close()
				end := len(whole)
				if untilClose[name] && !reset {
					// Only a reset shows that the body is cut.
					end = strings.LastIndex(whole, "\r\n\r\n") + len("\r\n\r\n")
				} else if untilClose[name] {
					end++
				}
				for cut := range end {
					err := s.send(t, client, whole[:cut], reset)
					assert.Assert(t, err != nil, "%q", whole[:cut])
					assert.Equal(t, errkind.Of(err).Row().Outcome, errkind.Unknown, "%q: %v", whole[:cut], err)
				}
				if !reset && name != "failure" {
					assert.NilError(t, s.send(t, client, whole, false))
				}
			})
		}
	}
}

// TestAResetDuringTheRequestIsNoEndOfTheResponse guards against a success with a short body
// (MIXED): an upstream that responded before it had read the request, without a length, reset
// the connection while the rest of the request was being written, and the response counted as
// whole.
func TestAResetDuringTheRequestIsNoEndOfTheResponse(t *testing.T) {
	const requests = 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reset := make(chan struct{})
	var running sync.WaitGroup
	defer running.Wait()
	defer listener.Close()
	running.Go(func() {
		for range requests {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			readHeader(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nFerry-Request-Id: r1\r\nConnection: close\r\n\r\nhalf")
			<-reset
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	client := upstream.New(upstream.Options{AcceptCloseDelimited: true, KeepRequestID: true, NoSilenceTimer: true})
	defer client.Close()
	u := &routing.Upstream{Name: "u1", Address: listener.Addr().String(), Slots: 2, Connections: 8}
	body := strings.Repeat("b", 32<<20)
	for range requests {
		response, err := client.Send(withTimeout(t, time.Minute), u, echoService, newRequest(true, "/", body))
		reset <- struct{}{}
		if err != nil {
			continue
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		assert.Check(t, err != nil, "read %q as whole", data)
	}
}

// TestAResponseWithoutAFinalStatusIsAFailure guards against a caller that gets a status such as 000
// as its response, and against the statement of such a response that the request has not run.
func TestAResponseWithoutAFinalStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "+00", "-00", "001", "099", "100", "101", "199", "00", "0200", "1000", "2x0", "-01", ""} {
		for _, fields := range []string{"", "Not-Run: 1\r\n"} {
			for _, atMostOnce := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q/%q/at_most_once=%v", status, fields, atMostOnce), func(t *testing.T) {
					t.Parallel()
					s := newCutServer(t)
					client := upstream.New(upstream.Options{
						KeepRequestID:  true,
						NoSilenceTimer: true,
						Headers: upstream.HeaderNames{NotRun: func(_ int, header http.Header) bool {
							return header.Get("Not-Run") != ""
						}},
					})
					defer client.Close()
					s.bytes = "HTTP/1.1 " + status + " None\r\nFerry-Request-Id: r1\r\n" + fields + "Content-Length: 2\r\n\r\nno"
					u := &routing.Upstream{Name: "u1", Address: s.listener.Addr().String(), Slots: 2, Connections: 8}
					_, err := client.Send(withTimeout(t, time.Minute), u, echoService, newRequest(atMostOnce, "/", "body"))
					assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "%v", err)
					assert.Assert(t, upstream.MayHaveRun(err))
					assert.Equal(t, upstream.ResultOf(0, err), balancing.ResultFailed)
				})
			}
		}
	}
}
