package headgate_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/upstream"
)

// source is a connection on which a caller has sent its text.
type source struct{ io.Reader }

func (source) SetReadDeadline(time.Time) error { return nil }

// run is a request that an upstream received.
type run struct {
	target, path, body string
	header             http.Header
}

// path has the parts of an entry instance that a request passes on its way to an upstream.
type path struct {
	table    *routing.Table
	client   *upstream.Client
	upstream *routing.Upstream

	mu   sync.Mutex
	runs []run
}

func newPath(f *testing.F) *path {
	p := &path{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runs = append(p.runs, run{r.RequestURI, r.URL.Path, string(body), r.Header})
	}))
	f.Cleanup(server.Close)
	set := dynamic.Set{Services: []dynamic.Service{{Name: "desk"}}}
	for _, prefix := range []string{"/post/", "/post/status/", "/lookup/"} {
		set.Routes = append(set.Routes, dynamic.Route{Name: prefix, Service: "desk", PathPrefix: prefix, RequireTrailingSlash: true})
	}
	var err error
	p.table, err = routing.Compile(&dynamic.Config{Version: 1, Set: set})
	assert.NilError(f, err)
	p.client = upstream.New(upstream.Options{Headers: headers.UpstreamHeaderNames(), KeepRequestID: true, AcceptCloseDelimited: true})
	f.Cleanup(p.client.Close)
	p.upstream = &routing.Upstream{Name: "u-1", Service: "desk", Address: server.Listener.Addr().String(), Connections: 10}
	return p
}

func (p *path) route(path string) (string, bool) {
	r, ok := p.table.Match("a.example", path, http.MethodPost)
	if !ok {
		return "", false
	}
	return r.Name, true
}

// serve passes a request on as an entry instance does, and returns the route that was authorised.
func (p *path) serve(t *testing.T, r *http.Request) (string, error) {
	head, err := requesthead.Accept(r, headers.RequestFields())
	if err != nil {
		return "", err
	}
	route, ok, err := requesthead.Select(head, p.route)
	if err != nil || !ok {
		return "", err
	}
	headers.PrepareForwarded(r.Header, "acme")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := p.client.Send(ctx, p.upstream, p.table.Services[0], &dispatch.Request{
		ID: "1", Route: p.table.Route(route), Method: r.Method, Path: head.Path, RawQuery: head.Query, Host: r.Host,
		Header: r.Header, Body: bytes.NewReader(body), ContentLength: int64(len(body)),
	})
	if err != nil {
		return "", err
	}
	return route, response.Body.Close()
}

// FuzzRequest guards against requests that run twice or inside others, without the customer's name or
// with the caller's credential, or by another route than the one that was authorised: for any input the
// upstream sees one request or none.
func FuzzRequest(f *testing.F) {
	p := newPath(f)
	f.Fuzz(func(t *testing.T, target, fields, body string, piece int) {
		lines := "\n" + strings.ReplaceAll(fields, "\r\n", "\n") + "\n"
		if strings.Contains(target, "\n") || fields != "" && strings.Contains(lines, "\n\n") {
			// The head ends within the input, which then holds several requests.
			return
		}
		if fields != "" {
			fields += "\r\n"
		}
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer k\r\nContent-Length: %d\r\n%s\r\n%s",
			target, len(body), fields, body)
		var conn io.Reader = strings.NewReader(text)
		if n := int64(piece); n > 0 && n < int64(len(text)) {
			conn = io.MultiReader(strings.NewReader(text[:n]), strings.NewReader(text[n:]))
		}
		g := headgate.New(source{conn}, &headgate.Options{
			Limits: requesthead.LimitsFor(32<<10, 0, 0), Timeout: time.Second, Budget: buffers.New(buffers.Limits{Bytes: 8 << 20}), Count: func(requesthead.Reason) {},
		})
		defer g.Release()
		p.runs = nil
		authorised := ""
		reader := bufio.NewReader(g)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			if _, err = g.Take(r); err != nil {
				break
			}
			if authorised, err = p.serve(t, r); err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			g.Next()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(t, len(p.runs) <= 1, "%d runs of %q", len(p.runs), text)
		if len(p.runs) == 0 {
			return
		}
		got := p.runs[0]
		assert.DeepEqual(t, got.header[headers.Customer], []string{"acme"})
		assert.DeepEqual(t, got.header[headers.ExpectInstance], []string{"u-1"})
		assert.DeepEqual(t, got.header[headers.AttemptID], []string{"1"})
		assert.Equal(t, len(got.header[headers.DeadlineMillis]), 1)
		assert.Equal(t, len(got.header["Authorization"]), 0)
		assert.Equal(t, got.body, body)
		sent, _, _ := strings.Cut(got.target, "?")
		assert.Assert(t, strings.Contains(target, sent), "%q became %q", target, sent)
		for _, read := range []string{sent, got.path, strings.ReplaceAll(got.path, `\`, "/")} {
			route, _ := p.route(read)
			assert.Equal(t, route, authorised, "%q", target)
		}
	})
}
