package dispatch

import (
	"io"
	"net/http"

	"samphireferry.example/ferry/routing"
)

// HeaderRequestID carries the id of a dispatch to an upstream. An upstream of
// a service with EchoRequestID returns it.
const HeaderRequestID = "Ferry-Request-Id"

// HeaderDeadline carries the milliseconds that are left until the deadline.
const HeaderDeadline = "Ferry-Deadline-Ms"

// Request is one admitted request, ready to be sent. The header holds neither
// hop-by-hop fields nor the key of the caller. The deadline is that of the
// context with which it is sent.
type Request struct {
	// ID is unique for each request; an attempt adds its number.
	ID       string
	Route    *routing.Route
	Customer *routing.Customer
	Method   string
	// Path is the escaped path, RawQuery the query without the key.
	Path     string
	RawQuery string
	Host     string
	Header   http.Header
	// Body is read at most once. It is nil when there is none.
	Body io.Reader
	// ContentLength is the length of the body in bytes, or -1 when not known.
	ContentLength int64
	// Attempt numbers the attempts of the request, from 0.
	Attempt int
}

// AtMostOnce says whether the request must not run twice.
func (r *Request) AtMostOnce() bool { return r.Route.AtMostOnce }

// Answer is the answer of an upstream. Body must be closed; reading it returns
// io.EOF only when the answer is whole, and an errkind.Error when it is cut.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of the body in bytes, or -1 when not known.
	ContentLength int64
	// Upstream and Version name what served the request.
	Upstream string
	Version  string
}
