package dispatch

import (
	"io"
	"net/http"

	"samphireferry.example/ferry/routing"
)

// HeaderRequestID names the header field that carries the id of a request, or of
// one attempt, to an upstream. An upstream of a service with EchoRequestID returns
// it unchanged.
const HeaderRequestID = "Ferry-Request-Id"

// HeaderDeadline names the header field that carries the milliseconds left until
// the deadline.
const HeaderDeadline = "Ferry-Deadline-Ms"

// Request is an admitted request, ready to be sent. Its header contains neither
// hop-by-hop fields nor the key of the caller. Its deadline is that of the context
// with which it is sent.
type Request struct {
	// ID is unique to the request; the ids of its attempts are derived from it.
	ID       string
	Route    *routing.Route
	Customer *routing.Customer
	Method   string
	// Path is the escaped path, RawQuery the encoded query without the key.
	Path     string
	RawQuery string
	Host     string
	Header   http.Header
	// Body is read at most once. It is nil when there is none.
	Body io.Reader
	// ContentLength is the length of the body in bytes, or -1 when unknown.
	ContentLength int64
	// Attempt numbers the attempts of the request, from 0.
	Attempt int
}

// AtMostOnce reports whether the request must not run twice.
func (r *Request) AtMostOnce() bool { return r.Route.AtMostOnce }

// Response is the response of an upstream. Body must be closed; reading it returns
// io.EOF only when the response is complete, and an errkind.Error when it is
// truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of the body in bytes, or -1 when unknown.
	ContentLength int64
	// Upstream and Version name the upstream that served the request and its
	// version.
	Upstream string
	Version  string
}

// IsFinalStatus reports whether a response may have the status: it has three digits and is not
// informational. Statuses from 600 on are passed on and count as failures like 5xx.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 999 }
