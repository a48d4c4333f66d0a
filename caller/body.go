package caller

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// requestBody reads the body of a caller within the limits of size and speed.
// After a failed read, Err tells the error kind.
type requestBody struct {
	source  io.Reader
	control *http.ResponseController
	// left is the number of bytes that may still come.
	left    int64
	timeout time.Duration

	mu  sync.Mutex
	err error
}

// newRequestBody limits the body to size bytes and to timeout between two reads.
func newRequestBody(source io.Reader, control *http.ResponseController, size int64, timeout time.Duration) *requestBody {
	return &requestBody{source: source, control: control, left: size, timeout: timeout}
}

// Read implements io.Reader. Its errors carry an error kind.
func (b *requestBody) Read(p []byte) (int, error) {
	// A server that does not support deadlines is a recorder in a test.
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, b.fail(errkind.New(errkind.BodyTooLargeSent, ""))
	}
	if err == nil {
		return n, nil
	}
	// The deadline must not reach the next request of the connection.
	_ = b.control.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		return n, io.EOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, b.fail(errkind.Wrap(err, errkind.SlowSender, ""))
	}
	return n, b.fail(errkind.Wrap(err, errkind.BodyCut, ""))
}

func (b *requestBody) fail(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	return err
}

// Err returns the error of the failed read, or nil.
func (b *requestBody) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
