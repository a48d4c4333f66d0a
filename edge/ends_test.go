package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

const (
	// sentBytes of a body is what its caller sends at once. It is more than an entry instance
	// reads before it sends the request on; what is missing then is less than net/http reads
	// before it writes a response.
	sentBytes = maxBufferedBody + 40_000
	// bodyBytes is the length of the whole body.
	bodyBytes = sentBytes + 100_000
	// fullBuffersBytes is the length of a body for which the buffers of the connections between
	// caller and upstream have no room.
	fullBuffersBytes = 64 << 20
	// answerLimit ends a test whose caller gets no response.
	answerLimit = 10 * time.Second
)

// endingUpstream accepts requests with a body and ends each exchange as its case says.
type endingUpstream struct {
	listener net.Listener
	running  sync.WaitGroup

	mu sync.Mutex
	// bodies holds what arrived of the body of each request.
	bodies []*bytes.Buffer
}

func newEndingUpstream(t *testing.T, end func(conn *net.TCPConn, id string, body io.Reader)) *endingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &endingUpstream{listener: listener}
	u.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The rest of the body may arrive after the response.
			t.Cleanup(func() { conn.Close() })
			u.running.Go(func() {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil || r.ContentLength == 0 {
					return
				}
				end(conn.(*net.TCPConn), r.Header.Get(headers.AttemptID), io.TeeReader(r.Body, u.newBody()))
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return u
}

func (u *endingUpstream) newBody() *bytes.Buffer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bodies = append(u.bodies, &bytes.Buffer{})
	return u.bodies[len(u.bodies)-1]
}

// endCase is a way in which an exchange ends while a long request is sent.
type endCase struct {
	name string
	// end is what the upstream does after it has read the head of the request.
	end func(conn *net.TCPConn, id string, body io.Reader)
	// status and bytes are those of the response that the caller has to get.
	status int
	bytes  int
	// kept is set when the connection of the caller stays open.
	kept bool
	// sent and length are the bytes that the caller sends at once and in all; 0 stands for
	// sentBytes and bodyBytes.
	sent, length int
}

func earlyResponse(status string, bytes int) func(*net.TCPConn, string) {
	return func(conn *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, headers.AttemptID, id, bytes, strings.Repeat("r", bytes))
	}
}

var (
	tooLarge  = earlyResponse("413 Content Too Large", 4)
	longFirst = earlyResponse("200 OK", streamedBytes)
)

var endCases = []endCase{
	{name: "crash before the body", status: http.StatusBadGateway, end: func(conn *net.TCPConn, _ string, _ io.Reader) {
		_ = conn.Close()
	}},
	{name: "crash during the body", status: http.StatusBadGateway, end: func(conn *net.TCPConn, _ string, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, maxBufferedBody/2)
		_ = conn.Close()
	}},
	{name: "crash after the body", status: http.StatusBadGateway, sent: bodyBytes, end: func(conn *net.TCPConn, _ string, body io.Reader) {
		_, _ = io.Copy(io.Discard, body)
		_ = conn.Close()
	}},
	{name: "reset", status: http.StatusBadGateway, end: func(conn *net.TCPConn, _ string, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, maxBufferedBody/2)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}},
	{name: "close after a part", status: http.StatusBadGateway, end: func(conn *net.TCPConn, _ string, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, sentBytes)
		_ = conn.Close()
	}},
	{name: "response before the body, keeps reading", status: http.StatusRequestEntityTooLarge, bytes: 4, end: func(conn *net.TCPConn, id string, body io.Reader) {
		tooLarge(conn, id)
		_, _ = io.Copy(io.Discard, body)
	}},
	{name: "response before the body, closes", status: http.StatusRequestEntityTooLarge, bytes: 4, end: func(conn *net.TCPConn, id string, _ io.Reader) {
		tooLarge(conn, id)
		_ = conn.Close()
	}},
	{name: "long response before the body, keeps reading", status: http.StatusOK, bytes: streamedBytes, end: func(conn *net.TCPConn, id string, body io.Reader) {
		longFirst(conn, id)
		_, _ = io.Copy(io.Discard, body)
	}},
	{name: "long response beside the body", status: http.StatusOK, bytes: streamedBytes, end: func(conn *net.TCPConn, id string, body io.Reader) {
		go longFirst(conn, id)
		_, _ = io.Copy(io.Discard, body)
	}},
	{name: "response after the body", status: http.StatusOK, bytes: streamedBytes, sent: bodyBytes, kept: true, end: func(conn *net.TCPConn, id string, body io.Reader) {
		_, _ = io.Copy(io.Discard, body)
		longFirst(conn, id)
	}},
	{name: "reads and never responds", status: http.StatusGatewayTimeout, end: func(_ *net.TCPConn, _ string, body io.Reader) {
		_, _ = io.Copy(io.Discard, body)
	}},
	{name: "stops reading, full buffers", status: http.StatusGatewayTimeout, sent: fullBuffersBytes, length: fullBuffersBytes, end: func(*net.TCPConn, string, io.Reader) {}},
	{name: "stops reading, full buffers, responds", status: http.StatusRequestEntityTooLarge, bytes: 4, sent: fullBuffersBytes, length: fullBuffersBytes, end: func(conn *net.TCPConn, id string, _ io.Reader) {
		tooLarge(conn, id)
	}},
}

// TestEveryExchangeEnds guards against a caller that gets no response, also not at the timeout
// of its route, because the instance reads its body while the upstream has ended the exchange, and
// against an upstream that responds early and gets other bytes in place of the rest of the body.
func TestEveryExchangeEnds(t *testing.T) {
	for _, c := range endCases {
		for _, framing := range []string{chunked, "Content-Length"} {
			for _, stalls := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/stalls=%t", c.name, strings.TrimSpace(framing), stalls), func(t *testing.T) {
					t.Parallel()
					c.run(t, framing == chunked, stalls)
				})
			}
		}
	}
}

// run sends one long request. A caller that stalls sends the rest of its body only when it has the
// response; any other one goes on sending slowly.
func (c endCase) run(t *testing.T, inChunks, stalls bool) {
	if c.length == 0 {
		c.length = bodyBytes
	}
	if c.sent == 0 {
		c.sent = sentBytes
	}
	s := newSystem(t)
	s.configure(1, "k1")
	u := newEndingUpstream(t, c.end)
	s.write(records.Upstream{ID: "i-1", Address: u.listener.Addr().String(), Service: "lookup", Version: "v1", FailureDomain: "east-1", Slots: 4})
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	// The request without a body is refused while the instance, which has just started, has no token.
	untilAdmitted(func() (clientResponse, int) { got := i.send(http.MethodGet, "/read/7", "k1"); return got, got.status })

	body := randomBody(c.length)
	conn := i.sendRaw("POST /file/7 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n" + headers.AttemptID + ": long\r\n" + headers.DeadlineMillis + ": 30000\r\n" + bodyHeader(inChunks, c.length) + "\r\n")
	answered := make(chan struct{})
	var sending sync.WaitGroup
	defer sending.Wait()
	defer conn.Close()
	sending.Go(func() {
		sendBody(conn, body[:c.sent], inChunks)
		if stalls && c.sent < c.length {
			<-answered
		}
		for piece := range slices.Chunk(body[c.sent:], 10_000) {
			sendBody(conn, piece, inChunks)
			time.Sleep(time.Millisecond)
		}
		if inChunks {
			_, _ = io.WriteString(conn, lastChunk)
		}
	})
	sendRest := sync.OnceFunc(func() { close(answered) })
	defer sendRest()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(answerLimit)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the caller gets no response")
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, c.status)
	if c.bytes > 0 {
		assert.Equal(t, len(got), c.bytes)
	}
	assert.Assert(t, !c.kept || !response.Close, "the connection closes")
	sendRest()
	sending.Wait()
	_ = u.listener.Close()
	u.running.Wait()
	assert.Equal(t, len(u.bodies), 1, "an at-most-once request is sent once")
	arrived := u.bodies[0].Bytes()
	assert.Assert(t, bytes.HasPrefix(body, arrived), "the upstream got other bytes than the caller sent")
}

// randomBody returns a body in which no two places look alike.
func randomBody(length int) []byte {
	body := make([]byte, length)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(body)
	return body
}

func bodyHeader(inChunks bool, length int) string {
	if inChunks {
		return chunked
	}
	return fmt.Sprintf("Content-Length: %d\r\n", length)
}

// sendBody sends a piece of a body, as one chunk if the body has no length.
func sendBody(conn net.Conn, piece []byte, inChunks bool) {
	if !inChunks {
		_, _ = conn.Write(piece)
		return
	}
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
}

// TestARefusalDoesNotWaitForTheBody guards against a refusal that its caller gets only once it has
// sent the body, and against the rest of a body that counts as the next request.
func TestARefusalDoesNotWaitForTheBody(t *testing.T) {
	const length = 100_000
	s := newSystem(t)
	s.configure(1, "k1")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(0)
	next := "GET /none/7 HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for _, framing := range []string{chunked, "Content-Length"} {
		for name, test := range map[string]struct {
			// rest is what the caller sends once it has the refusal.
			rest string
			// kept is set when the connection carries a further request.
			kept bool
		}{
			"the body follows":         {strings.Repeat("x", length), framing != chunked},
			"the caller stalls":        {"", false},
			"the body has the request": {next, false},
		} {
			t.Run(name+"/"+strings.TrimSpace(framing), func(t *testing.T) {
				conn := i.sendRaw("POST /file/7 HTTP/1.1\r\nHost: a.example\r\n" + bodyHeader(framing == chunked, length) + "\r\n")
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(answerLimit)))
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err, "the caller gets no refusal")
				assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				sendBody(conn, []byte(test.rest), framing == chunked && test.rest != "")
				if test.kept {
					_, err = io.WriteString(conn, next)
					assert.NilError(t, err)
				}
				response, err = http.ReadResponse(reader, nil)
				if !test.kept {
					assert.Assert(t, err != nil, "the rest of the body was taken for a request")
					assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusNotFound)
			})
		}
	}
}
