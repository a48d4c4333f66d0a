package upstream

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
)

// hopByHop lists the hop-by-hop header fields, which apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the hop-by-hop fields, including those that the
// Connection field names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// newResponse converts the HTTP response. Closing its body releases the exchange.
func (e *exchange) newResponse(resp *http.Response) *dispatch.Response {
	removeHopByHop(resp.Header)
	if !e.client.options.KeepRequestID {
		resp.Header.Del(e.client.options.Headers.RequestID)
	}
	return &dispatch.Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          &responseBody{exchange: e, inner: resp.Body},
		ContentLength: resp.ContentLength,
		Upstream:      e.target.Name,
		Version:       e.target.Version,
	}
}

// responseBody reads the body of a response and reports truncation as an
// errkind.Error.
type responseBody struct {
	exchange *exchange
	inner    io.ReadCloser
}

// Read returns io.EOF only at the end of a complete response.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, b.exchange.responseBodyError(err)
}

// Close releases the exchange. A connection whose response was not read to its
// end is closed, so that no later request can receive the rest.
func (b *responseBody) Close() error {
	err := b.inner.Close()
	b.exchange.release()
	return err
}

// responseBodyError returns the error for a body that ended early.
func (e *exchange) responseBodyError(err error) error {
	if e.parent.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return e.wrap(err, contextErrorKind(e.parent, true), true)
	}
	return e.wrap(err, errkind.AnswerTruncated, true)
}
