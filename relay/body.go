package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rpc/entrypb"
)

// chunkMessage is a stream message that carries a chunk of a body.
type chunkMessage interface {
	GetChunk() []byte
	// GetEnd reports whether the body ends with this chunk.
	GetEnd() bool
}

// chunkedBody reads a body that arrives in chunks.
type chunkedBody struct {
	receive func() (chunkMessage, error)
	// unread is the remainder of the last chunk.
	unread []byte
	ended  bool
	err    error
}

// Read implements io.Reader. It returns io.EOF only after the end mark.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.ended {
			return 0, io.EOF
		}
		b.next()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *chunkedBody) next() {
	received, err := b.receive()
	if err != nil {
		b.err = err
		return
	}
	b.unread = received.GetChunk()
	b.ended = received.GetEnd()
}

// responseBody reads the body of a response from the stream.
type responseBody struct {
	chunkedBody
	cancel context.CancelCauseFunc
}

// newResponseBody returns the body that begins with the chunk of the first
// message. The cancel function ends the stream.
func newResponseBody(stream entrypb.Entry_RelayClient, first chunkMessage, cancel context.CancelCauseFunc) *responseBody {
	receive := func() (chunkMessage, error) {
		message, err := stream.Recv()
		if err != nil {
			cancel(nil)
			return nil, errkind.Wrap(err, errkind.AnswerTruncated, "")
		}
		return message, nil
	}
	return &responseBody{
		chunkedBody: chunkedBody{receive: receive, unread: first.GetChunk(), ended: first.GetEnd()},
		cancel:      cancel,
	}
}

// Close ends the stream. It may be called more than once.
func (b *responseBody) Close() error {
	b.cancel(nil)
	return nil
}

// newRequestBody returns the body of a request that begins with the first chunk.
// Its Read returns io.ErrUnexpectedEOF if the sender ends the stream before the
// end mark.
func newRequestBody(stream entrypb.Entry_RelayServer, first []byte) *chunkedBody {
	receive := func() (chunkMessage, error) {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return message, err
	}
	return &chunkedBody{receive: receive, unread: first}
}
