package dispatch

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// readAheadBytes is the part of an answer that is read before the caller gets
// its head, so that an answer that is cut early can be fetched again.
const readAheadBytes = 32 << 10

// readAhead reads the beginning of an answer with a known length. A short
// answer is whole when readAhead returns. An answer of unknown length is a
// stream and is passed on at once.
func readAhead(answer *Answer) (*Answer, error) {
	if answer.ContentLength <= 0 {
		return answer, nil
	}
	want := min(answer.ContentLength, readAheadBytes)
	head := make([]byte, want)
	_, err := io.ReadFull(answer.Body, head)
	if err != nil {
		answer.Body.Close()
		return nil, truncated(err)
	}
	answer.Body = &prefixedBody{
		Reader: io.MultiReader(bytes.NewReader(head), answer.Body),
		Closer: answer.Body,
	}
	return answer, nil
}

func truncated(err error) error {
	var typed *errkind.Error
	if errors.As(err, &typed) {
		return err
	}
	return errkind.Wrap(err, errkind.AnswerTruncated, "")
}

type prefixedBody struct {
	io.Reader
	io.Closer
}
