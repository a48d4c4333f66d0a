package dispatch

import (
	"bytes"
	"io"
	"sync/atomic"

	"samphireferry.example/ferry/errkind"
)

// maxReplayBody bounds the request body, in bytes, that is kept in memory so
// that an idempotent request can be sent again.
const maxReplayBody = 64 << 10

// attemptBody gives each attempt its request body. A body that is kept in
// memory can be sent again; another one only while no byte of it was read.
type attemptBody struct {
	kept   []byte
	once   *trackedReader
	isKept bool
}

func newAttemptBody(request *Request) (*attemptBody, error) {
	if request.Body == nil {
		return &attemptBody{}, nil
	}
	small := request.ContentLength > 0 && request.ContentLength <= maxReplayBody
	if request.AtMostOnce() || !small {
		return &attemptBody{once: &trackedReader{source: request.Body}}, nil
	}
	kept, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, bodyError(err)
	}
	return &attemptBody{kept: kept, isKept: true}, nil
}

// bodyError keeps the kind of a failed read of the caller's body. No upstream
// has received the request at that point, but the kinds of the caller package
// that it carries do not claim so.
func bodyError(err error) error {
	if errkind.Of(err) == errkind.Internal {
		return errkind.Wrap(err, errkind.BodyCut, "")
	}
	return err
}

func (b *attemptBody) next() io.Reader {
	if b.isKept {
		return bytes.NewReader(b.kept)
	}
	if b.once == nil {
		return nil
	}
	return b.once
}

func (b *attemptBody) canRepeat() bool {
	return b.once == nil || !b.once.touched.Load()
}

// trackedReader remembers whether it was ever read.
type trackedReader struct {
	source  io.Reader
	touched atomic.Bool
}

// Read implements io.Reader.
func (t *trackedReader) Read(p []byte) (int, error) {
	t.touched.Store(true)
	return t.source.Read(p)
}
