package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testTable(t testing.TB) *routing.Table {
	table, err := routing.Compile(&dynamic.Config{Set: dynamic.Set{
		Customers: []dynamic.Customer{{Name: "mit", Rate: 10, Burst: 10}, {Name: "ulaval", Rate: 10, Burst: 10}},
		Services:  []dynamic.Service{{Name: "ledger"}, {Name: "lookup"}},
		Routes: []dynamic.Route{
			{Name: "file", Service: "ledger", PathPrefix: "/file", Kind: dynamic.AtMostOnce, Customers: []string{"mit"}},
			{Name: "read", Service: "lookup", PathPrefix: "/read", Kind: dynamic.Idempotent},
		},
	}})
	assert.NilError(t, err)
	return table
}

// owner serves relayed requests with the function of a test.
type owner struct {
	entrypb.UnimplementedEntryServer
	relay func(stream entrypb.Entry_RelayServer) error
}

func (o *owner) Relay(stream entrypb.Entry_RelayServer) error { return o.relay(stream) }

// startOwner serves Relay on loopback. It returns a client, the address of the
// owner, and a function that kills the owner.
func startOwner(t testing.TB, relay func(stream entrypb.Entry_RelayServer) error) (*Client, string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := entryinstance.NewServer(entryinstance.Config{}, &owner{relay: relay})
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	pool, err := entryinstance.NewPool(entryinstance.Config{})
	assert.NilError(t, err)
	t.Cleanup(func() {
		pool.Close()
		server.Close()
	})
	return NewClient("sender", pool, &invariant.Checker{}), listener.Addr().String(), server.Close
}

func testRequest(table *routing.Table, route string, body io.Reader) *dispatch.Request {
	return &dispatch.Request{
		ID:            "r1",
		Route:         table.Route(route),
		Customer:      table.Customer("mit"),
		Method:        http.MethodPost,
		Path:          "/file/a%20b",
		RawQuery:      "q=\xe9",
		Host:          "ledger.example",
		Header:        http.Header{"X-Name": {"caf\xe9", "2"}, "Te": {"x"}},
		Body:          body,
		ContentLength: -1,
	}
}

func TestExchangeCarriesRequestAndResponse(t *testing.T) {
	table := testTable(t)
	want := bytes.Repeat([]byte("0123456789"), 200_000)
	handler := func(ctx context.Context, req *dispatch.Request, version string) (*dispatch.Response, error) {
		_, hasDeadline := ctx.Deadline()
		sender, _ := Sender(ctx)
		assert.Check(t, hasDeadline && sender == "sender")
		assert.Check(t, req.Route == table.Route("file") && req.Customer == table.Customer("mit") && version == "v2")
		sent := testRequest(table, "file", nil)
		assert.Check(t, req.Path == sent.Path && req.RawQuery == sent.RawQuery && req.Host == sent.Host && req.Method == sent.Method)
		assert.DeepEqual(t, req.Header, sent.Header)
		// The body is echoed, so that both directions are active at the same time.
		return &dispatch.Response{Status: 201, Header: http.Header{"X-Made": {"1"}}, Body: io.NopCloser(req.Body), ContentLength: -1, Upstream: "u1"}, nil
	}
	client, address, _ := startOwner(t, NewServer(func() *routing.Table { return table }, handler).Serve)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := client.Send(ctx, address, testRequest(table, "file", bytes.NewReader(want)), "v2")
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, want))
	assert.Equal(t, response.Status, 201)
	assert.Equal(t, response.Header.Get("X-Made"), "1")
	assert.Equal(t, response.Upstream, "u1")
	assert.Equal(t, response.Version, "v2")
	assert.NilError(t, response.Body.Close())
}

// truncatedBody returns an error after its text instead of io.EOF.
type truncatedBody struct{ io.Reader }

func (c truncatedBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errkind.New(errkind.AnswerTruncated, "")
	}
	return n, err
}

func TestRelayClassifiesFaults(t *testing.T) {
	table := testTable(t)
	refuse := func(refusal *entrypb.RelayRefusal) func(entrypb.Entry_RelayServer) error {
		return func(stream entrypb.Entry_RelayServer) error {
			return stream.Send(&entrypb.RelayResponse{Refusal: refusal})
		}
	}
	handle := func(table *routing.Table, response *dispatch.Response, err error) func(entrypb.Entry_RelayServer) error {
		return NewServer(func() *routing.Table { return table }, func(context.Context, *dispatch.Request, string) (*dispatch.Response, error) {
			return response, err
		}).Serve
	}
	otherCustomer := testRequest(table, "file", nil)
	otherCustomer.Customer = table.Customer("ulaval")
	tests := []struct {
		name  string
		req   *dispatch.Request
		relay func(stream entrypb.Entry_RelayServer) error
		want  errkind.Kind
	}{
		{"owner refuses without running it", nil, handle(table, nil, errkind.New(errkind.Overloaded, "")), errkind.Overloaded},
		{"owner's upstream failed", nil, handle(table, nil, errkind.New(errkind.UpstreamFailed, "")), errkind.UpstreamFailed},
		{"owner fails with another error", nil, handle(table, nil, errors.New("x")), errkind.Internal},
		{"owner without configuration", nil, handle(nil, nil, nil), errkind.NoConfiguration},
		{"owner does not admit the customer", otherCustomer, handle(table, nil, nil), errkind.NoUpstream},
		{"not-run kind without the flag", nil, refuse(&entrypb.RelayRefusal{Kind: "overloaded"}), errkind.UpstreamFailed},
		{"flag without a not-run kind", nil, refuse(&entrypb.RelayRefusal{Kind: "upstream_failed", NotRun: true}), errkind.UpstreamFailed},
		{"kind of a newer version, not run", nil, refuse(&entrypb.RelayRefusal{Kind: "new", NotRun: true}), errkind.NoUpstream},
		{"kind of a newer version", nil, refuse(&entrypb.RelayRefusal{Kind: "new"}), errkind.UpstreamFailed},
		{"stream ends without a response", nil, func(entrypb.Entry_RelayServer) error { return nil }, errkind.UpstreamFailed},
		{"stream fails", nil, func(entrypb.Entry_RelayServer) error { return status.Error(codes.Unavailable, "") }, errkind.UpstreamFailed},
		{"deadline passes", nil, func(s entrypb.Entry_RelayServer) error { <-s.Context().Done(); return nil }, errkind.UpstreamTimeout},
		{"response is truncated", nil, handle(table, &dispatch.Response{Status: 200, Body: io.NopCloser(truncatedBody{strings.NewReader("part")})}, nil), errkind.AnswerTruncated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, address, _ := startOwner(t, test.relay)
			req := test.req
			if req == nil {
				req = testRequest(table, "file", nil)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			response, err := client.Send(ctx, address, req, "v1")
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			assert.Equal(t, errkind.Of(err), test.want, "%v", err)
		})
	}
}

func TestUnsentRequestHasNotRun(t *testing.T) {
	table := testTable(t)
	relay := func(entrypb.Entry_RelayServer) error {
		t.Error("the request was sent")
		return nil
	}
	expired, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	tests := []struct {
		name string
		ctx  context.Context
		down bool
		want errkind.Kind
	}{
		{"owner is down", context.Background(), true, errkind.NoUpstream},
		{"deadline has passed", expired, false, errkind.DeadlineExceeded},
		{"already relayed", WithSender(context.Background(), "other"), false, errkind.NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, address, kill := startOwner(t, relay)
			if test.down {
				kill()
			}
			_, err := client.Send(test.ctx, address, testRequest(table, "file", nil), "v1")
			assert.Equal(t, errkind.Of(err), test.want, "%v", err)
			assert.Equal(t, test.want.Row().Outcome, errkind.NotRun)
			_, relayed := Sender(test.ctx)
			assert.Equal(t, client.invariants.Total() == 1, relayed)
		})
	}
}

// TestOwnerCrashLeavesOutcomeUnknown kills the owner while it runs a request and
// expects an unknown outcome.
func TestOwnerCrashLeavesOutcomeUnknown(t *testing.T) {
	reached := make(chan struct{})
	client, address, kill := startOwner(t, func(stream entrypb.Entry_RelayServer) error {
		close(reached)
		<-stream.Context().Done()
		return nil
	})
	go func() {
		<-reached
		kill()
	}()
	_, err := client.Send(context.Background(), address, testRequest(testTable(t), "file", nil), "v1")
	assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "%v", err)
}

// TestOwnerCrashTruncatesResponse kills the owner after part of the response has
// arrived and expects that the response is reported as truncated.
func TestOwnerCrashTruncatesResponse(t *testing.T) {
	client, address, kill := startOwner(t, func(stream entrypb.Entry_RelayServer) error {
		_ = stream.Send(&entrypb.RelayResponse{Answer: &entrypb.RelayAnswer{Status: 200}, Chunk: []byte("part")})
		<-stream.Context().Done()
		return nil
	})
	response, err := client.Send(context.Background(), address, testRequest(testTable(t), "file", nil), "v1")
	assert.NilError(t, err)
	defer response.Body.Close()
	kill()
	got, err := io.ReadAll(response.Body)
	assert.Equal(t, string(got), "part")
	assert.Equal(t, errkind.Of(err), errkind.AnswerTruncated, "%v", err)
}

// blockedBody blocks until it is closed.
type blockedBody struct{ closed chan struct{} }

func (b blockedBody) Read([]byte) (int, error) {
	<-b.closed
	return 0, io.ErrClosedPipe
}

// TestRefusalDoesNotWaitForBody expects the refusal before the body has arrived.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	table := testTable(t)
	handler := func(context.Context, *dispatch.Request, string) (*dispatch.Response, error) {
		return nil, errkind.New(errkind.Overloaded, "")
	}
	client, address, _ := startOwner(t, NewServer(func() *routing.Table { return table }, handler).Serve)
	body := blockedBody{closed: make(chan struct{})}
	defer close(body.closed)
	_, err := client.Send(context.Background(), address, testRequest(table, "file", body), "v1")
	assert.Equal(t, errkind.Of(err), errkind.Overloaded)
}

// TestIncompleteBodyIsDetected fails a request body in the middle and expects
// that the owner does not mistake the received part for a complete body.
func TestIncompleteBodyIsDetected(t *testing.T) {
	table := testTable(t)
	body := blockedBody{closed: make(chan struct{})}
	bodyErrors := make(chan error, 1)
	handler := func(_ context.Context, req *dispatch.Request, _ string) (*dispatch.Response, error) {
		_, _ = io.ReadFull(req.Body, make([]byte, len("part")))
		close(body.closed)
		_, err := io.ReadAll(req.Body)
		bodyErrors <- err
		return nil, errkind.New(errkind.UpstreamFailed, "")
	}
	client, address, _ := startOwner(t, NewServer(func() *routing.Table { return table }, handler).Serve)
	req := testRequest(table, "file", io.MultiReader(strings.NewReader("part"), body))
	_, err := client.Send(context.Background(), address, req, "v1")
	assert.Equal(t, errkind.Of(err), errkind.CallerGone)
	assert.Assert(t, <-bodyErrors != nil)
}

// TestAResponseWithoutAFinalStatusIsAFailure guards against a caller whose connection is aborted,
// or that gets a status such as 000, because the owner has sent a head without a final status.
func TestAResponseWithoutAFinalStatusIsAFailure(t *testing.T) {
	for _, status := range []uint32{0, 99, 100, 199, 1000} {
		client, address, _ := startOwner(t, func(stream entrypb.Entry_RelayServer) error {
			return stream.Send(&entrypb.RelayResponse{Answer: &entrypb.RelayAnswer{Status: status}, End: true})
		})
		_, err := client.Send(context.Background(), address, testRequest(testTable(t), "file", nil), "v1")
		assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "status %d: %v", status, err)
	}
}
