package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphireferry.example/ferry/errkind"
)

// The headers of requests.
const (
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline carries the time left for the response, in milliseconds.
	HeaderDeadline = "Ferry-Deadline-Ms"
)

// Request is one request of a caller. It must not be modified while it is sent.
type Request struct {
	// Method is the HTTP method. Default "GET".
	Method string
	// Path begins with "/" and may have a query.
	Path string
	// Host replaces the Host header; if empty, the address of the instance is used.
	Host   string
	Header http.Header
	Body   []byte
	// Once makes Do repeat the request only when no attempt can have run. It
	// has no effect on Submit, nor on the methods that are idempotent by
	// definition and that net/http repeats by itself: GET, HEAD, OPTIONS and
	// TRACE.
	Once bool
}

// Response is a complete response of an upstream, of any status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Outcome is the outcome that the entry instance states; empty if it states none.
	Outcome errkind.Outcome
	// Replayed is set when the response was recorded at an earlier attempt.
	Replayed bool
	// Key is the idempotency key of the request; empty after Do.
	Key string
	// Entry is the base URL of the instance that responded.
	Entry string
	// Attempts is the number of attempts that were made.
	Attempts int
}

// httpRequest builds one attempt of the request.
func (c *Client) httpRequest(ctx context.Context, base string, request *Request, key string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, base+request.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range request.Header {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	if len(request.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(request.Body))
		r.ContentLength = int64(len(request.Body))
	}
	r.Host = request.Host
	if c.options.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		r.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return r, nil
}

// mode returns how Do may repeat the request.
func (r *Request) mode() mode {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return repeatable
	}
	if r.Once {
		return once
	}
	return repeatable
}
