package dispatch

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// readAheadBytes bounds the bytes of a response body that are read before its
// header is passed to the caller, so that a request whose response is truncated
// early can be retried.
const readAheadBytes = 32 << 10

// readAhead reads the beginning of a response of known length. A response of at
// most readAheadBytes is complete when readAhead returns. A response of unknown
// length is a stream and is returned unchanged.
func readAhead(response *Response) (*Response, error) {
	if response.ContentLength <= 0 {
		return response, nil
	}
	size := min(response.ContentLength, readAheadBytes)
	prefix := make([]byte, size)
	_, err := io.ReadFull(response.Body, prefix)
	if err != nil {
		response.Body.Close()
		return nil, truncatedError(err)
	}
	response.Body = &prefixedBody{
		Reader: io.MultiReader(bytes.NewReader(prefix), response.Body),
		Closer: response.Body,
	}
	return response, nil
}

// truncatedError returns err with the kind errkind.AnswerTruncated, unless it
// already has a kind.
func truncatedError(err error) error {
	var kindError *errkind.Error
	if errors.As(err, &kindError) {
		return err
	}
	return errkind.Wrap(err, errkind.AnswerTruncated, "")
}

// prefixedBody is a body whose first bytes have already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}
