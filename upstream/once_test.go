package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRequestIsNotRepeatedOnClosedConnection guards against a second
// transmission: it closes a pooled connection at each stage of a request that
// net/http would retry by itself.
func TestRequestIsNotRepeatedOnClosedConnection(t *testing.T) {
	requests := map[string]func(path string) *dispatch.Request{
		"get": func(path string) *dispatch.Request { return newRequest(true, path, "") },
		"post without body": func(path string) *dispatch.Request {
			r := newRequest(true, path, "")
			r.Method = http.MethodPost
			return r
		},
		"post": func(path string) *dispatch.Request { return newRequest(true, path, "body") },
		"post of unknown length": func(path string) *dispatch.Request {
			r := newRequest(true, path, "body")
			r.ContentLength = -1
			return r
		},
	}
	for at := range stageCount {
		for name, build := range requests {
			t.Run(fmt.Sprintf("%d/%s", at, name), func(t *testing.T) {
				t.Parallel()
				s := newClosingServer(t, at)
				client := upstream.New(upstream.Options{})
				defer client.Close()
				u := &routing.Upstream{Name: "u1", Address: s.listener.Addr().String(), Slots: 2, Connections: 8}
				response, err := client.Send(withTimeout(t, 3*time.Second), u, nil, newRequest(false, "/first", ""))
				assert.NilError(t, err)
				_, err = io.ReadAll(response.Body)
				assert.NilError(t, err)
				response.Body.Close()
				if at == closeIdle {
					<-s.closed
				}
				req := build("/second")
				req.Header.Set("Idempotency-Key", "home.unique")
				req.Header.Set("X-Idempotency-Key", "home.unique")
				err = sendAndDiscard(withTimeout(t, 3*time.Second), client, u, req)
				assert.Assert(t, err != nil)
				assert.Equal(t, s.secondRequests.Load(), int32(1))
				assert.Equal(t, errkind.Of(err).Row().Outcome, errkind.Unknown, "%v", err)
			})
		}
	}
}

func sendAndDiscard(ctx context.Context, client *upstream.Client, u *routing.Upstream, req *dispatch.Request) error {
	response, err := client.Send(ctx, u, nil, req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// countingServer returns a server for the stand-in and the number of connections
// opened to it.
func countingServer(s *standin.Upstream) (*httptest.Server, *atomic.Int32) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(s)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	return server, &opened
}

func TestAtMostOnceDialsWhenPooledConnectionIsStale(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1"})
	server, opened := countingServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{MaxContactAge: 50 * time.Millisecond})
	defer client.Close()
	send := func(atMostOnce bool) {
		assert.NilError(t, sendAndDiscard(withTimeout(t, 3*time.Second), client, newTarget(server), newRequest(atMostOnce, "/", "body")))
	}
	send(false)
	time.Sleep(100 * time.Millisecond)
	send(false)
	assert.Equal(t, opened.Load(), int32(1))
	time.Sleep(100 * time.Millisecond)
	send(true)
	assert.Equal(t, opened.Load(), int32(2))
}

// TestIdempotentRequestAbandonsSilentConnection makes one of two pooled
// connections silent. The other one is not used again either, since its last
// contact is older than the abandoned attempt.
func TestIdempotentRequestAbandonsSilentConnection(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1"})
	server, opened := countingServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{SilenceTimeout: 50 * time.Millisecond})
	defer client.Close()
	ctx := withTimeout(t, time.Minute)
	var group errgroup.Group
	for range 2 {
		req := newRequest(false, "/", "")
		req.RawQuery = "service_ms=30"
		group.Go(func() error { return sendAndDiscard(ctx, client, newTarget(server), req) })
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, opened.Load(), int32(2))
	s.SetFaults(standin.Faults{Requests: []standin.Fault{{Kind: standin.FaultSilent, Times: 1}}})
	req := newRequest(false, "/", "body")
	err := sendAndDiscard(ctx, client, newTarget(server), req)
	reason, _ := upstream.RetryReason(err)
	assert.Equal(t, reason, telemetry.RetrySilentConnection, "%v", err)
	assert.NilError(t, ctx.Err())
	assert.NilError(t, sendAndDiscard(ctx, client, newTarget(server), req))
	assert.Equal(t, opened.Load(), int32(3))
}

// TestNothingRunsAfterTheDeadline lets the deadline pass before the request is
// sent and while its body blocks.
func TestNothingRunsAfterTheDeadline(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1"})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Millisecond))
	defer cancel()
	err := sendAndDiscard(ctx, client, newTarget(server), newRequest(true, "/", "body"))
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)

	req := newRequest(true, "/", "body")
	reader, writer := io.Pipe()
	req.Body = reader
	ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err = sendAndDiscard(ctx, client, newTarget(server), req)
	go func() {
		_, _ = io.Copy(writer, strings.NewReader("body"))
		writer.Close()
	}()
	assert.Assert(t, err != nil)
	_, _ = io.Copy(io.Discard, reader)
	server.Close()
	assert.Equal(t, s.Ledger().Snapshot().Executed, 0)
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1", ServiceTime: time.Hour})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	ctx, cancel := context.WithCancel(withTimeout(t, time.Minute))
	time.AfterFunc(50*time.Millisecond, cancel)
	err := sendAndDiscard(ctx, client, newTarget(server), newRequest(true, "/", "body"))
	assert.Equal(t, errkind.Of(err), errkind.CallerGone)
	server.Close()
	assert.Equal(t, s.Ledger().Snapshot().Cancelled, 1)
}

// TestBodyErrorAfterWriteHasUnknownOutcome guards against an error kind with the
// outcome not-run after part of the request was written.
func TestBodyErrorAfterWriteHasUnknownOutcome(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1"})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	req := newRequest(true, "/", "body")
	long := strings.NewReader(strings.Repeat("x", 300_000))
	req.Body = io.MultiReader(long, &failingReader{errkind.New(errkind.BodyTooLarge, "")})
	req.ContentLength = -1
	err := sendAndDiscard(withTimeout(t, 3*time.Second), client, newTarget(server), req)
	assert.Equal(t, errkind.Of(err).Row().Outcome, errkind.Unknown, "%v", err)
	server.Close()
	assert.Equal(t, s.Ledger().Snapshot().Executed, 0)
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
