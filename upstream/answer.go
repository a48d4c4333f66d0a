package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
)

// hopByHop are the header fields that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

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

func (e *exchange) answer(resp *http.Response) *dispatch.Answer {
	removeHopByHop(resp.Header)
	if !e.client.options.KeepRequestID {
		resp.Header.Del(e.client.options.Headers.RequestID)
	}
	return &dispatch.Answer{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          &answerBody{exchange: e, inner: resp.Body},
		ContentLength: resp.ContentLength,
		Upstream:      e.target.Name,
		Version:       e.target.Version,
	}
}

// answerBody reads an answer and reports a cut as an errkind.Error.
type answerBody struct {
	exchange *exchange
	inner    io.ReadCloser
}

// Read returns io.EOF only at the end of a whole answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, b.exchange.bodyError(err)
}

// Close ends the exchange. A connection whose answer was not read to its end
// is closed, so that no later request can receive the rest.
func (b *answerBody) Close() error {
	err := b.inner.Close()
	b.exchange.end()
	return err
}

func (e *exchange) bodyError(err error) error {
	if e.parent.Err() != nil {
		return e.wrap(err, contextKind(e.parent, true), true)
	}
	return e.wrap(err, errkind.AnswerTruncated, true)
}
