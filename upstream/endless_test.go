package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

const (
	// dripInterval is the pause between two pieces of a slow endless response.
	dripInterval = 10 * time.Millisecond
	// dripTimeout is the time that an attempt has when its upstream drips.
	dripTimeout = 2 * time.Second
	// floodTimeout is the time that an attempt has when its upstream sends at full
	// speed; no test waits for it.
	floodTimeout = 1 * time.Minute
	// shedTimeout is far more than a refusal takes and far less than floodTimeout.
	shedTimeout = 10 * time.Second
	// maxFloodBytes bounds what an upstream can write to a client that has stopped
	// reading: the socket buffers, with a margin.
	maxFloodBytes = 64 << 20
)

// endlessServer answers every request with start and then repeats a piece until the
// connection is closed.
type endlessServer struct {
	listener net.Listener
	// start may contain %s, which stands for the id of the request.
	start    string
	piece    string
	interval time.Duration
	// answered counts the connections that carried a request, closed those of them that
	// are closed, and repeated the further requests on them.
	answered, closed, repeated atomic.Int32
	written                    atomic.Int64
	running                    sync.WaitGroup
}

func newEndlessServer(t *testing.T, start, piece string, interval time.Duration) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &endlessServer{listener: listener, start: start, piece: piece, interval: interval}
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

func (s *endlessServer) target() *routing.Upstream {
	return &routing.Upstream{Name: "u1", Address: s.listener.Addr().String(), Slots: 2, Connections: 8}
}

// serve answers one request and counts any that follows on the same connection.
func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.answered.Add(1)
	defer s.closed.Add(1)
	left := make(chan struct{})
	s.running.Go(func() {
		defer close(left)
		if _, err := http.ReadRequest(reader); err == nil {
			s.repeated.Add(1)
		}
	})
	_, err = io.WriteString(conn, strings.ReplaceAll(s.start, "%s", request.Header.Get("Ferry-Request-Id")))
	piece := s.piece
	if s.interval == 0 {
		piece = strings.Repeat(piece, 4096/len(piece)+1)
	}
	for err == nil {
		var n int
		n, err = io.WriteString(conn, piece)
		s.written.Add(int64(n))
		select {
		case <-left:
		case <-time.After(s.interval):
		}
	}
}

// waitClosed waits until the client has closed all connections that carried a request.
func (s *endlessServer) waitClosed(t *testing.T) {
	t.Helper()
	eventually(t, "the connections are closed", func() bool { return s.closed.Load() == s.answered.Load() })
}

// eventually polls until the condition holds, for at most 10 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), what)
	}
}

// paces are the speeds of an endless response.
var paces = []struct {
	name     string
	interval time.Duration
	timeout  time.Duration
}{
	{"fast", 0, floodTimeout},
	{"slow", dripInterval, dripTimeout},
}

// TestHeadWithoutEndFailsTheAttempt guards against an upstream that occupies an attempt
// or memory with a response header that never ends.
func TestHeadWithoutEndFailsTheAttempt(t *testing.T) {
	heads := []struct{ name, start, piece string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no response", "", "\x00"},
		{"empty lines", "", "\r\n"},
		{"header field", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		{"header of one name", "HTTP/1.1 200 OK\r\n", "A:\r\n"},
		{"folded header field", "HTTP/1.1 200 OK\r\nX-Long: a\r\n", " b\r\n"},
		{"informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"continue", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"informational header fields", "HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
	}
	for _, head := range heads {
		for _, pace := range paces {
			for _, atMostOnce := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/at_most_once=%v", head.name, pace.name, atMostOnce), func(t *testing.T) {
					t.Parallel()
					s := newEndlessServer(t, head.start, head.piece, pace.interval)
					client := upstream.New(upstream.Options{NoSilenceTimer: true})
					defer client.Close()
					ctx := withTimeout(t, pace.timeout)
					_, err := client.Send(ctx, s.target(), nil, newRequest(atMostOnce, "/", "body"))
					assert.Equal(t, upstream.ResultOf(0, err), balancing.ResultFailed, "%v", err)
					assert.Assert(t, upstream.MayHaveRun(err))
					if pace.interval == 0 {
						assert.NilError(t, ctx.Err())
						assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "%v", err)
					}
					s.waitClosed(t)
					assert.Assert(t, s.written.Load() < maxFloodBytes)
					assert.Equal(t, s.answered.Load(), int32(1))
					assert.Equal(t, s.repeated.Load(), int32(0))
				})
			}
		}
	}
}

// TestSilenceTimeoutEndsASlowHead guards against a header that arrives a byte at a time
// and thereby counts as contact.
func TestSilenceTimeoutEndsASlowHead(t *testing.T) {
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\n", "A: b\r\n", dripInterval)
	client := upstream.New(upstream.Options{})
	defer client.Close()
	ctx := withTimeout(t, 4*time.Second)
	_, err := client.Send(ctx, s.target(), nil, newRequest(false, "/", ""))
	assert.NilError(t, ctx.Err())
	reason, _ := upstream.RetryReason(err)
	assert.Equal(t, reason, telemetry.RetrySilentConnection, "%v", err)
	s.waitClosed(t)
}

// TestBodyWithoutEndIsNeverComplete guards against a response that is cut at the
// deadline, or when the caller leaves, and taken for a complete one, and against a
// connection that stays open afterwards.
func TestBodyWithoutEndIsNeverComplete(t *testing.T) {
	bodies := []struct {
		name, start, piece string
		// malformed is set where reading the body fails before the deadline when it
		// comes fast.
		malformed bool
	}{
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		{"close-delimited", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
		{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n", true},
	}
	for _, body := range bodies {
		for _, pace := range paces {
			for _, cancels := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/cancels=%v", body.name, pace.name, cancels), func(t *testing.T) {
					t.Parallel()
					s := newEndlessServer(t, body.start, body.piece, pace.interval)
					client := upstream.New(upstream.Options{AcceptCloseDelimited: true, NoSilenceTimer: true})
					defer client.Close()
					ctx, cancel := context.WithTimeout(t.Context(), dripTimeout)
					defer cancel()
					response, err := client.Send(ctx, s.target(), nil, newRequest(false, "/", ""))
					assert.NilError(t, err)
					if cancels {
						time.AfterFunc(10*dripInterval, cancel)
					}
					_, err = io.Copy(io.Discard, response.Body)
					assert.Assert(t, err != nil, "the response was taken for a complete one")
					switch kind := errkind.Of(err); {
					case body.malformed && pace.interval == 0:
						assert.Equal(t, kind, errkind.AnswerTruncated, "%v", err)
					case cancels:
						assert.Equal(t, kind, errkind.CallerGone, "%v", err)
					default:
						assert.Equal(t, kind, errkind.UpstreamTimeout, "%v", err)
					}
					assert.NilError(t, response.Body.Close())
					s.waitClosed(t)
				})
			}
		}
	}
}

// TestClosingABodyWithoutEndClosesItsConnection guards against a close that reads the
// rest of the body.
func TestClosingABodyWithoutEndClosesItsConnection(t *testing.T) {
	for _, pace := range paces {
		for name, start := range map[string]string{
			"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"close-delimited": "HTTP/1.1 200 OK\r\n\r\n",
		} {
			t.Run(pace.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newEndlessServer(t, start, "1\r\nx\r\n", pace.interval)
				client := upstream.New(upstream.Options{AcceptCloseDelimited: true})
				defer client.Close()
				ctx := withTimeout(t, floodTimeout)
				response, err := client.Send(ctx, s.target(), nil, newRequest(false, "/", ""))
				assert.NilError(t, err)
				_, err = response.Body.Read(make([]byte, 1))
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				s.waitClosed(t)
				assert.NilError(t, ctx.Err())
				assert.Assert(t, s.written.Load() < maxFloodBytes)
			})
		}
	}
}

// TestShedResponseIsNotDelayedByItsBody guards against a refusal that waits for the body
// of the response that reports it.
func TestShedResponseIsNotDelayedByItsBody(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nFerry-Shed: not-run\r\nFerry-Request-Id: %s\r\n"
	for name, body := range map[string]struct{ framing, piece string }{
		"length":          {"Content-Length: 1000000000\r\n\r\n", "x"},
		"short length":    {"Content-Length: 2000\r\n\r\n", "x"},
		"chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"close-delimited": {"\r\n", "x"},
	} {
		for _, interval := range []time.Duration{0, dripInterval, time.Minute} {
			for _, atMostOnce := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/at_most_once=%v", name, interval, atMostOnce), func(t *testing.T) {
					t.Parallel()
					s := newEndlessServer(t, head+body.framing, body.piece, interval)
					client := upstream.New(upstream.Options{AcceptCloseDelimited: true, NoSilenceTimer: true})
					defer client.Close()
					started := time.Now()
					_, err := client.Send(withTimeout(t, floodTimeout), s.target(), echoService, newRequest(atMostOnce, "/", "body"))
					assert.Assert(t, time.Since(started) < shedTimeout)
					assert.Equal(t, errkind.Of(err), errkind.Overloaded, "%v", err)
					assert.Assert(t, !upstream.MayHaveRun(err))
					s.waitClosed(t)
				})
			}
		}
	}
}

// TestBytesAfterAResponseBelongToNoRequest guards against a connection that is used again
// although its upstream sent bytes after a complete response.
func TestBytesAfterAResponseBelongToNoRequest(t *testing.T) {
	const requests, senders = 200, 4
	responses := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nFerry-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"chunks":  "HTTP/1.1 200 OK\r\nFerry-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nFerry-Request-Id: %s\r\n\r\n",
	}
	pieces := map[string]string{
		"bytes":    "x",
		"response": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
	}
	for name, response := range responses {
		for kind, piece := range pieces {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				s := newEndlessServer(t, response+piece, piece, dripInterval)
				client := upstream.New(upstream.Options{})
				defer client.Close()
				ctx := withTimeout(t, floodTimeout)
				target := s.target()
				// The senders wait for connections, which are handed over as soon as they
				// are free.
				target.Connections = senders / 2
				var group errgroup.Group
				for range senders {
					group.Go(func() error {
						for range requests / senders {
							err := sendAndDiscard(ctx, client, target, newRequest(true, "/", "body"))
							if err != nil {
								return err
							}
						}
						return nil
					})
				}
				assert.NilError(t, group.Wait())
				s.waitClosed(t)
				assert.Equal(t, s.answered.Load(), int32(requests))
				assert.Equal(t, s.repeated.Load(), int32(0))
			})
		}
	}
}

// TestStatusBelow200IsNoResponse guards against a status that net/http panics on when it is
// sent to a caller.
func TestStatusBelow200IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		s := newEndlessServer(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 2\r\n\r\nok", "x", dripInterval)
		client := upstream.New(upstream.Options{})
		defer client.Close()
		_, err := client.Send(withTimeout(t, floodTimeout), s.target(), nil, newRequest(false, "/", ""))
		assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "status %s: %v", status, err)
		s.waitClosed(t)
	}
}
