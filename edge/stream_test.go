package edge

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform/headers"
)

const (
	// streamedBytes is more than an entry instance buffers.
	streamedBytes = maxBufferedResponse + 64<<10
	// piecesWithoutEnd repeats a piece until the connection is closed.
	piecesWithoutEnd = -1
	// streams is the number of responses of each case, which eject an upstream if all
	// of them are failures.
	streams = 3
)

// streamCase is a response that an entry instance does not buffer whole.
type streamCase struct {
	name string
	// status is the status line after the protocol; empty stands for 200 OK.
	status string
	// framing is the header field that delimits the body.
	framing string
	// piece is sent times times after the first streamedBytes.
	piece    string
	times    int
	interval time.Duration
	// read is what the caller does with the response.
	read func(response *http.Response, leave context.CancelFunc)
	// complete is set when the caller receives the whole body.
	complete bool
	// counted is what the roll-out counts; ejects is set when the upstream is ejected.
	counted canary.Count
	ejects  bool
}

// readWhole reads the body to its end or to the error that ends it.
func readWhole(*http.Response, context.CancelFunc) {}

// leaveEarly closes the caller's connection while the body still arrives.
func leaveEarly(_ *http.Response, leave context.CancelFunc) { leave() }

// stall reads the body only well after the route's timeout of 2 s.
func stall(*http.Response, context.CancelFunc) {
	time.Sleep(3 * time.Second)
}

const (
	chunked    = "Transfer-Encoding: chunked\r\n"
	withLength = "Content-Length: 1000000\r\n"
	closing    = "Connection: close\r\n"
	aChunk     = "4\r\nmore\r\n"
	lastChunk  = "0\r\n\r\n"
)

var (
	noneCounted     = canary.Count{}
	answersCounted  = canary.Count{Answers: streams}
	failuresCounted = canary.Count{Answers: streams, Failures: streams}
	errorsCounted   = canary.Count{Answers: streams, Failures: streams, Errors: streams}
)

var streamCases = []streamCase{
	{name: "ends", framing: chunked, piece: lastChunk, times: 1, read: readWhole, complete: true, counted: answersCounted},
	{name: "ends with its connection", framing: closing, read: readWhole, complete: true, counted: answersCounted},
	{name: "cut in chunks", framing: chunked, read: readWhole, counted: failuresCounted, ejects: true},
	{name: "cut before its length", framing: withLength, read: readWhole, counted: failuresCounted, ejects: true},
	{name: "chunks without end, fast", framing: chunked, piece: aChunk, times: piecesWithoutEnd, read: readWhole, counted: failuresCounted, ejects: true},
	{name: "chunks without end, slow", framing: chunked, piece: aChunk, times: piecesWithoutEnd, interval: 10 * time.Millisecond, read: readWhole, counted: failuresCounted, ejects: true},
	{name: "no length and no end", framing: closing, piece: "more", times: piecesWithoutEnd, read: readWhole, counted: failuresCounted, ejects: true},
	{name: "error that ends", status: "500 Internal Server Error", framing: chunked, piece: lastChunk, times: 1, read: readWhole, complete: true, counted: errorsCounted, ejects: true},
	{name: "error without end", status: "500 Internal Server Error", framing: chunked, piece: aChunk, times: piecesWithoutEnd, read: readWhole, counted: errorsCounted, ejects: true},
	{name: "caller leaves", framing: chunked, piece: aChunk, times: piecesWithoutEnd, interval: 10 * time.Millisecond, read: leaveEarly, counted: noneCounted},
	{name: "caller does not read", framing: closing, piece: "more", times: piecesWithoutEnd, read: stall, counted: noneCounted},
}

func (c streamCase) statusLine() string { return cmp.Or(c.status, "200 OK") }

// handler returns the upstream's side of the case.
func (c streamCase) handler(proceed <-chan struct{}) *http.HandlerFunc {
	return hijack(func(conn net.Conn, r *http.Request) {
		c.send(conn, fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n", c.statusLine(), headers.AttemptID, r.Header.Get(headers.AttemptID), c.framing), proceed)
	})
}

// hijack returns a handler that responds on the connection itself and closes it.
func hijack(respond func(conn net.Conn, r *http.Request)) *http.HandlerFunc {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		respond(conn, r)
	})
	return &h
}

// send writes the response; it waits for proceed before it goes on after streamedBytes.
func (c streamCase) send(conn net.Conn, head string, proceed <-chan struct{}) {
	first := strings.Repeat("x", streamedBytes)
	piece := c.piece
	if c.framing == chunked {
		first = fmt.Sprintf("%x\r\n%s\r\n", streamedBytes, first)
	}
	if c.times == piecesWithoutEnd && c.interval == 0 {
		piece = strings.Repeat(piece, 1000)
	}
	_, err := io.WriteString(conn, head+first)
	<-proceed
	for n := 0; err == nil && n != c.times; n++ {
		_, err = io.WriteString(conn, piece)
		time.Sleep(c.interval)
	}
}

// open sends a request and returns the response without reading its body.
func (i *instance) open(ctx context.Context, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.deps.settings.Listen+path, nil)
	if err != nil {
		return nil, err
	}
	r.Host = "a.example"
	r.Header.Set(headers.AttemptID, "attempt-1")
	r.Header.Set(headers.DeadlineMillis, "3000")
	r.Header.Set("Authorization", "Bearer k1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialWithSmallBuffer}}
	return client.Do(r)
}

// untilAdmitted repeats a request for at most 10 s while it is refused because the instance,
// which has just started, has no token for it. Such a request reaches no upstream.
func untilAdmitted[T any](send func() (T, int)) T {
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		got, status := send()
		if status != http.StatusTooManyRequests || time.Now().After(limit) {
			return got
		}
	}
}

// dialWithSmallBuffer opens a connection whose receive buffer is soon full when the caller
// does not read.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	const receiveBufferBytes = 64 << 10
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
}

// inFlight returns the number of requests that hold a slot of the only upstream.
func (i *instance) inFlight() int {
	lease, refusal := i.deps.pool.Acquire(time.Now(), placement.Query{Service: "lookup", TimeLeft: time.Second})
	if refusal != placement.Chosen {
		return -1
	}
	defer lease.Release(time.Now(), placement.Inconclusive, placement.Load{})
	const slots = 4
	return int(lease.Utilization*slots+0.5) - 1
}

// versionCount returns what the roll-out of the service has counted for the old version.
func (i *instance) versionCount() canary.Count {
	found := make(chan canary.Count, 1)
	i.control.post(inspect(func(c *control) {
		found <- c.rollouts.runs["lookup"].Counts()[canary.Key{Route: "read"}]
	}))
	return <-found
}

// TestStreamedResponseIsJudgedByItsEnd guards against an upstream that looks healthy, with
// a slot that looks free, while its responses break off or never end: the outcome was
// recorded as soon as the first part of a body had arrived.
func TestStreamedResponseIsJudgedByItsEnd(t *testing.T) {
	for _, c := range streamCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c streamCase) run(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	s.put("op/rollout/lookup", `{"service":"lookup","to_version":"v2","over_s":600}`)
	proceed := make(chan struct{})
	b := newFakeUpstream(t, "i-1")
	b.handler.Store(c.handler(proceed))
	s.register(b, "v1", "ready")
	core, logs := observer.New(zapcore.InfoLevel)
	i := s.startLogging("e1", zap.New(core))
	defer i.stop()
	i.waitReady(1)
	eventually(t, "the roll-out is known", func() bool { return i.deps.views.load().versions["lookup"] != nil })

	type opened struct {
		response *http.Response
		leave    context.CancelFunc
	}
	var open []opened
	for n := range streams {
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		response := untilAdmitted(func() (*http.Response, int) {
			response, err := i.open(ctx, fmt.Sprintf("/read/%d", n))
			assert.NilError(t, err)
			t.Cleanup(func() { response.Body.Close() })
			return response, response.StatusCode
		})
		assert.Equal(t, response.Status, c.statusLine())
		open = append(open, opened{response, leave})
	}
	assert.Equal(t, i.inFlight(), streams, "a response that has not ended holds its slot")
	assert.Equal(t, i.versionCount(), canary.Count{})
	close(proceed)
	var read []chan error
	for _, o := range open {
		done := make(chan error, 1)
		read = append(read, done)
		go func() {
			c.read(o.response, o.leave)
			_, err := io.Copy(io.Discard, bufio.NewReader(o.response.Body))
			done <- err
		}()
	}
	for _, done := range read {
		assert.Equal(t, <-done == nil, c.complete)
	}
	eventually(t, "the outcomes are counted", func() bool { return i.versionCount() == c.counted })
	assert.Equal(t, logs.FilterMessage("upstream ejected").Len() > 0, c.ejects)
	if !c.ejects {
		eventually(t, "the slots are free", func() bool { return i.inFlight() == 0 })
		assert.Equal(t, logs.FilterMessage("upstream ejected").Len(), 0)
		assert.Equal(t, i.versionCount(), c.counted)
	}
}

// TestResponseWithoutEndIsRetriedOnlyWhereAllowed guards against a response header that
// never ends, and against a shed response whose body never ends, that use up the time in
// which another upstream can serve the request.
func TestResponseWithoutEndIsRetriedOnlyWhereAllowed(t *testing.T) {
	shed := "HTTP/1.1 503 Service Unavailable\r\n" + headers.AttemptID + ": attempt-1\r\n" + headers.NotRun + ": 1\r\n"
	for _, c := range []struct {
		name, start, piece string
		interval           time.Duration
		// notRun is set when the response states that the request was not run.
		notRun bool
	}{
		{name: "header fields", start: "HTTP/1.1 200 OK\r\n", piece: "X-Field: value\r\n"},
		{name: "informational", piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "shed, chunks", start: shed + chunked + "\r\n", piece: aChunk, interval: 10 * time.Millisecond, notRun: true},
		{name: "shed, length", start: shed + withLength + "\r\n", piece: "x", interval: 10 * time.Millisecond, notRun: true},
	} {
		for method, path := range map[string]string{http.MethodGet: "/read/7", http.MethodPost: "/file/7"} {
			t.Run(c.name+"/"+method, func(t *testing.T) {
				t.Parallel()
				s := newSystem(t)
				s.configure(1, "k1")
				endless, healthy := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
				s.register(endless, "v1", "ready")
				s.register(healthy, "v1", "ready")
				i := s.start("e1")
				defer i.stop()
				i.waitReady(2)
				preferred, _ := i.deps.pool.PreferredUpstream(time.Now(), placement.Query{Service: "lookup", Object: xxhash.Sum64String("attempt-1"), TimeLeft: time.Second})
				if preferred == healthy.id {
					endless, healthy = healthy, endless
				}
				endless.handler.Store(hijack(func(conn net.Conn, _ *http.Request) {
					_, err := io.WriteString(conn, c.start)
					for err == nil {
						_, err = io.WriteString(conn, c.piece)
						time.Sleep(c.interval)
					}
				}))
				got := untilAdmitted(func() (clientResponse, int) {
					got := i.send(method, path, "k1")
					return got, got.status
				})
				assert.Equal(t, len(endless.requests()), 1)
				if method == http.MethodPost && !c.notRun {
					assert.Equal(t, got.status, http.StatusBadGateway)
					assert.Equal(t, len(healthy.requests()), 0, "it may have run")
					return
				}
				assert.Equal(t, got.body, "from "+healthy.id)
			})
		}
	}
}

// TestStreamedResponseLeavesItsConnectionUsable guards against a write deadline that
// outlives the streamed response for which it was set.
func TestStreamedResponseLeavesItsConnectionUsable(t *testing.T) {
	const deadline = time.Second
	s := newSystem(t)
	s.configure(1, "k1")
	b := newFakeUpstream(t, "i-1")
	long := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedResponse))
	})
	b.handler.Store(&long)
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	send := func() (reused bool) {
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
		r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://"+i.deps.settings.Listen+"/read/7", nil)
		assert.NilError(t, err)
		r.Host = "a.example"
		r.Header.Set(headers.AttemptID, "attempt-1")
		r.Header.Set(headers.DeadlineMillis, strconv.FormatInt(deadline.Milliseconds(), 10))
		r.Header.Set("Authorization", "Bearer k1")
		response, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(body), 2*maxBufferedResponse)
		return reused
	}
	assert.Assert(t, !send())
	time.Sleep(deadline + 2*streamWriteGrace)
	assert.Assert(t, send(), "the connection was closed")
}
