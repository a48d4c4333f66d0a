package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rpc/entrypb"
)

// chunk is a part of a body.
type chunk interface {
	GetChunk() []byte
	// GetEnd says whether the body ends with the chunk.
	GetEnd() bool
}

// chunkedBody reads a body that comes in chunks.
type chunkedBody struct {
	receive func() (chunk, error)
	rest    []byte
	ended   bool
	err     error
}

// Read returns io.EOF only after the end mark.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.ended {
			return 0, io.EOF
		}
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *chunkedBody) next() {
	received, err := b.receive()
	if err != nil {
		b.err = err
		return
	}
	b.rest = received.GetChunk()
	b.ended = received.GetEnd()
}

// answerBody reads the body of an answer from the stream.
type answerBody struct {
	chunkedBody
	cancel context.CancelCauseFunc
}

// newAnswerBody returns the body that begins with the first message. The cancel
// function ends the stream.
func newAnswerBody(stream entrypb.Entry_RelayClient, first chunk, cancel context.CancelCauseFunc) *answerBody {
	receive := func() (chunk, error) {
		message, err := stream.Recv()
		if err != nil {
			cancel(nil)
			return nil, errkind.Wrap(err, errkind.AnswerTruncated, "")
		}
		return message, nil
	}
	return &answerBody{
		chunkedBody: chunkedBody{receive: receive, rest: first.GetChunk(), ended: first.GetEnd()},
		cancel:      cancel,
	}
}

// Close ends the stream. It may be called more than once.
func (b *answerBody) Close() error {
	b.cancel(nil)
	return nil
}

// newRequestBody returns the body of a request that begins with the chunk. It
// reads io.ErrUnexpectedEOF when the sender broke off.
func newRequestBody(stream entrypb.Entry_RelayServer, rest []byte) *chunkedBody {
	receive := func() (chunk, error) {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return message, err
	}
	return &chunkedBody{receive: receive, rest: rest}
}
