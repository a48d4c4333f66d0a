package dispatch

import (
	"bytes"
	"io"
	"sync/atomic"

	"samphireferry.example/ferry/errkind"
)

// maxReplayBody bounds the request body, in bytes, that is read before the
// first attempt and kept, so that another attempt can send it again.
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
	if !small {
		return &attemptBody{once: &trackedReader{source: request.Body}}, nil
	}
	kept, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BodyIncomplete, "")
	}
	return &attemptBody{kept: kept, isKept: true}, nil
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
