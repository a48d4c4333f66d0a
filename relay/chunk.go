package relay

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Limits of the chunk size of one message, in bytes.
const (
	minChunkBytes = 2 << 10
	maxChunkBytes = 32 << 10
)

// chunkReader reads a body in chunks whose size grows with the body, so that
// small bodies take little memory. Each chunk has its own buffer, which is not
// reused.
type chunkReader struct {
	body io.Reader
	size int
}

// newChunkReader returns a reader of the body. The content length is -1 if it is
// unknown.
func newChunkReader(body io.Reader, contentLength int64) *chunkReader {
	return &chunkReader{body: body, size: int(min(max(contentLength, minChunkBytes), maxChunkBytes))}
}

// next returns the next chunk and reports whether it is the last one. Only the
// last chunk may be empty.
func (c *chunkReader) next() (chunk []byte, end bool, err error) {
	buffer := make([]byte, c.size)
	for {
		n, err := c.body.Read(buffer)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return nil, false, err
		}
		if n == 0 && !end {
			continue
		}
		if n == len(buffer) {
			c.size = min(2*c.size, maxChunkBytes)
		}
		return buffer[:n], end, nil
	}
}
