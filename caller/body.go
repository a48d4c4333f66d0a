package caller

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/errkind"
)

// requestBody reads a request body from a caller and enforces a maximum size and
// a timeout of each read. After a failed read, Err returns the error.
type requestBody struct {
	source     io.Reader
	controller *http.ResponseController
	// remaining is the number of bytes that may still be received.
	remaining int64
	timeout   time.Duration
	// request is the request of the body.
	request *http.Request
	// held is the memory of the request; nil if it is not bounded.
	held *buffers.Holder
	// waiting records that the caller is waited for.
	waiting func(bool)

	mu  sync.Mutex
	err error
}

// newRequestBody limits the body to maxBytes and each read to timeout.
func newRequestBody(r *http.Request, controller *http.ResponseController, maxBytes int64, timeout time.Duration) *requestBody {
	return &requestBody{source: r.Body, request: r, controller: controller, remaining: maxBytes, timeout: timeout, waiting: func(bool) {}}
}

// Read implements io.Reader. Errors other than io.EOF have the error kind
// BodyTooLargeSent, SlowSender or BodyCut.
func (b *requestBody) Read(p []byte) (int, error) {
	// Only response recorders in tests do not support deadlines.
	_ = b.controller.SetReadDeadline(time.Now().Add(b.timeout))
	if b.held != nil && b.held.Ended() {
		return 0, b.fail(errkind.New(errkind.SlowSender, "too little memory is left for the body"))
	}
	b.waiting(true)
	n, err := b.source.Read(p)
	b.waiting(false)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, b.fail(errkind.New(errkind.BodyTooLargeSent, ""))
	}
	if err == nil {
		return n, nil
	}
	// Clear the deadline so that it does not apply to the next request of the
	// connection.
	_ = b.controller.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		// Trailers are not forwarded, and cost many times their length.
		b.request.Trailer = nil
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
