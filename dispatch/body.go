package dispatch

import (
	"bytes"
	"io"
	"sync/atomic"

	"samphireferry.example/ferry/errkind"
)

// maxReplayBodyBytes bounds the size of a request body that is buffered before
// the first attempt, so that later attempts can send it again.
const maxReplayBodyBytes = 64 << 10

// attemptBody provides the request body for each attempt. A buffered body can be
// sent again; a streamed one only while no read of it has started.
type attemptBody struct {
	buffered   []byte
	stream     *trackedReader
	isBuffered bool
}

func newAttemptBody(request *Request) (*attemptBody, error) {
	if request.Body == nil {
		return &attemptBody{}, nil
	}
	bufferable := request.ContentLength > 0 && request.ContentLength <= maxReplayBodyBytes
	if !bufferable {
		return &attemptBody{stream: &trackedReader{source: request.Body}}, nil
	}
	buffered, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BodyIncomplete, "")
	}
	return &attemptBody{buffered: buffered, isBuffered: true}, nil
}

// next returns the body for the next attempt, or nil when the request has none.
func (b *attemptBody) next() io.Reader {
	if b.isBuffered {
		return bytes.NewReader(b.buffered)
	}
	if b.stream == nil {
		return nil
	}
	return b.stream
}

// canResend reports whether another attempt can send the complete body.
func (b *attemptBody) canResend() bool {
	return b.stream == nil || !b.stream.wasRead.Load()
}

// trackedReader records whether a read of the source has started.
type trackedReader struct {
	source  io.Reader
	wasRead atomic.Bool
}

// Read implements io.Reader.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.wasRead.Store(true)
	return t.source.Read(p)
}
