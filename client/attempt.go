package client

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// errHeadTimeout ends an attempt whose response head does not arrive in time.
var errHeadTimeout = errors.New("no response head in time")

// attempt makes one attempt. It returns a complete response, or an error whose
// outcome is that of this attempt alone. The HTTP transport may repeat a request
// without a body by itself when a connection breaks; a response to the repeat does
// not cover what was written before.
func (c *Client) attempt(ctx context.Context, base string, request *Request, key string) (*Response, *Error) {
	r, err := c.httpRequest(ctx, base, request, key)
	if err != nil {
		return nil, &Error{Kind: KindBadRequest, Outcome: errkind.NotRun, Retry: errkind.RetryNever, cause: err}
	}
	var writes atomic.Int32
	trace := &httptrace.ClientTrace{WroteHeaders: func() { writes.Add(1) }}
	bounded, cancel := context.WithCancelCause(httptrace.WithClientTrace(ctx, trace))
	defer cancel(nil)
	stop := c.startHeadTimer(cancel)
	response, err := c.http.Do(r.WithContext(bounded))
	stop()
	if err != nil {
		if ctx.Err() == nil {
			c.directory.failed(base)
		}
		return nil, connectionError(err, writes.Load() > 0)
	}
	defer func() { _ = response.Body.Close() }()
	result, failure := c.readResponse(response, key != "")
	if failure != nil && writes.Load() > 1 {
		failure.repeated = true
		failure.Outcome = combineOutcomes(failure.Outcome, errkind.Unknown)
	}
	return result, failure
}

// startHeadTimer cancels the attempt after HeadTimeout unless stop is called first.
// A negative HeadTimeout sets no limit.
func (c *Client) startHeadTimer(cancel context.CancelCauseFunc) (stop func()) {
	if c.options.HeadTimeout < 0 {
		return func() {}
	}
	timer := time.AfterFunc(c.options.HeadTimeout, func() { cancel(errHeadTimeout) })
	return func() { timer.Stop() }
}

// connectionError distinguishes a connection that never opened from one that broke.
// The transport may have written the request to an older connection before it tried
// to open another one, so the error of the last connection is not sufficient.
func connectionError(err error, written bool) *Error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	dialFailed := errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate)
	if dialFailed && !written {
		return &Error{Kind: KindConnectionFailed, Outcome: errkind.NotRun, Retry: errkind.RetryElsewhere, cause: err}
	}
	return &Error{Kind: KindNoAnswer, Outcome: errkind.Unknown, Retry: errkind.RetrySameKey, cause: err}
}

// returnRedirect makes the HTTP client return redirects instead of following them.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
