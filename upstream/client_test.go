package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/routing"
	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/upstream"
)

var echoService = &routing.Service{Name: "lookup", EchoRequestID: true}

func newTarget(server *httptest.Server) *routing.Upstream {
	return &routing.Upstream{
		Name: "u1", Service: "lookup", Version: "v1",
		Address: server.Listener.Addr().String(), Slots: 4, Connections: 360,
	}
}

func newRequest(atMostOnce bool, path, body string) *dispatch.Request {
	r := &dispatch.Request{
		ID:     "r1",
		Route:  &routing.Route{Name: "route", AtMostOnce: atMostOnce},
		Method: http.MethodGet,
		Path:   path,
		Host:   "lookup.example",
		Header: http.Header{},
	}
	if body != "" {
		r.Method = http.MethodPost
		r.Body = strings.NewReader(body)
		r.ContentLength = int64(len(body))
	}
	return r
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestSendReturnsCompleteResponse(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1", Slots: 4})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	for _, query := range []string{"", "bytes=1", "bytes=300000", "bytes=1000&stream_ms=60"} {
		req := newRequest(false, "/a%2Fb/c", "some body")
		req.RawQuery = query
		response, err := client.Send(withTimeout(t, 5*time.Second), newTarget(server), echoService, req)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.Status, http.StatusOK)
		assert.Equal(t, string(body), string(standin.Body("/a%2Fb/c", query, len(body))))
	}
}
