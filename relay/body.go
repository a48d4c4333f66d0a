package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rpc/entrypb"
)

// answerBody reads the body of an answer from the stream.
type answerBody struct {
	stream entrypb.Entry_RelayClient
	cancel context.CancelCauseFunc
	rest   []byte
	ended  bool
	err    error
}

// Read returns io.EOF only after the end mark.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.ended {
			return 0, io.EOF
		}
		b.receive()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *answerBody) receive() {
	msg, err := b.stream.Recv()
	if err != nil {
		b.err = errkind.Wrap(err, errkind.AnswerTruncated, "")
		b.cancel(nil)
		return
	}
	b.rest = msg.GetChunk()
	b.ended = msg.GetEnd()
}

// Close ends the stream. It may be called more than once.
func (b *answerBody) Close() error {
	b.cancel(nil)
	return nil
}

// requestBody reads the body of a request from the stream.
type requestBody struct {
	stream entrypb.Entry_RelayServer
	rest   []byte
	ended  bool
	err    error
}

// Read returns io.EOF only after the end mark, and io.ErrUnexpectedEOF when
// the sender broke off.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		if b.ended {
			return 0, io.EOF
		}
		b.receive()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *requestBody) receive() {
	msg, err := b.stream.Recv()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	b.rest = msg.GetChunk()
	b.ended = msg.GetEnd()
}
