package edge

import (
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// lingerTime is how long the rest of a request body is waited for after the response.
	lingerTime = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes of such a body that are read after the response. A caller
	// whose body ends within them keeps its connection.
	maxLingerBytes = 256 << 10
)

// errExchangeEnded is the error of a read of the request body after the end of its exchange.
var errExchangeEnded = errors.New("the exchange has ended")

// callerBody is the request body of a caller. All reads go through it, one at a time, so that the
// exchange decides when they end and no two readers share the bytes.
type callerBody struct {
	// ended is set once the whole body has been read.
	ended atomic.Bool
	// request is the request of the body.
	request *http.Request
	// waiting records that the caller is waited for.
	waiting func(bool)

	mu     sync.Mutex
	inner  io.Reader
	closed bool
}

// newCallerBody returns the body of the request. It keeps the server from reading the body before
// it writes the response: that read takes as long as the caller likes, waits for a read in progress,
// and takes bytes that an upstream still has to get.
func newCallerBody(w http.ResponseWriter, r *http.Request, waiting func(bool)) *callerBody {
	b := &callerBody{inner: r.Body, request: r, waiting: waiting}
	if r.ContentLength == 0 {
		b.ended.Store(true)
		return b
	}
	// The error of a writer without this mode; the server's own has it.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errExchangeEnded
	}
	b.waiting(true)
	n, err := b.inner.Read(p)
	b.waiting(false)
	if err == io.EOF {
		b.ended.Store(true)
		// Trailers are not forwarded, and cost many times their length.
		b.request.Trailer = nil
	}
	return n, err
}

// close makes further reads fail and waits for the one in progress, which the read deadline of the
// connection bounds.
func (b *callerBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// drain reads the rest of a closed body up to maxLingerBytes. It returns io.EOF if that was all,
// and nil if it was not.
func (b *callerBody) drain() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, err := io.CopyN(io.Discard, b.inner, maxLingerBytes+1)
	return err
}

// beginResponse is called just before the header of the response is written.
func (x *exchange) beginResponse() {
	x.responseStarted = true
	defer x.boundWrite()
	if x.body.ended.Load() {
		return
	}
	if x.streamsBody || x.r.ContentLength < 0 || x.r.ContentLength > maxLingerBytes {
		x.w.Header().Set("Connection", "close")
	}
	// A caller that sends its whole body before it reads would hold the response otherwise.
	end := x.deadline
	if now := time.Now(); end.Before(now) {
		end = now
	}
	x.writeBy = end.Add(streamWriteGrace)
}

// finish ends the exchange with the caller once the response has been written. If the request body
// has not ended by then, nothing reads it but finish, which closes the connection unless the body
// ends soon: what remains of it must not count as the next request. The connection lingers after its
// close, so that the response arrives.
func (x *exchange) finish() {
	if x.body.ended.Load() {
		return
	}
	_ = http.NewResponseController(x.w).Flush()
	if x.w.Header().Get("Connection") == "close" {
		x.countUnread("closed")
		x.releaseMemory()
		if x.lengthKnown {
			x.abort()
		}
		x.setReadDeadline(time.Unix(0, 0))
		x.body.close()
		return
	}
	end := time.Now().Add(lingerTime)
	if !x.lengthKnown && x.deadline.Before(end) {
		// The server writes the end of such a response after this.
		end = x.deadline
	}
	x.setReadDeadline(end)
	x.releaseMemory()
	x.body.close()
	var err error
	if !x.body.ended.Load() {
		err = x.body.drain()
	}
	if x.body.ended.Load() || err == io.EOF {
		x.countUnread("read")
		return
	}
	x.countUnread("closed")
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		// An earlier read may have met its own deadline, which is then the error of all reads.
		time.Sleep(time.Until(end))
	}
	if x.lengthKnown {
		x.abort()
	}
	// beginResponse has announced the close.
	x.setReadDeadline(time.Unix(0, 0))
}

// releaseMemory returns the memory of the request while its connection is still in use.
func (x *exchange) releaseMemory() {
	x.r.Header = nil
	x.request = nil
	x.held.Release()
}

// countUnread counts a request whose body had not been read when its response was written.
func (x *exchange) countUnread(rest string) {
	x.deps.metrics.Counter("ferry_bodies_unread_total", "rest", rest).Inc()
}

// abort closes the connection of the caller. A read of the body in progress has to end first: the
// server lifts the read deadline when it meets one, and then waits for the rest of the body.
func (x *exchange) abort() {
	if !x.body.ended.Load() {
		x.setReadDeadline(time.Unix(0, 0))
		x.body.close()
	}
	panic(http.ErrAbortHandler)
}

// setReadDeadline bounds the reads of the request body. The server lifts it once the body has
// been read.
func (x *exchange) setReadDeadline(deadline time.Time) {
	err := http.NewResponseController(x.w).SetReadDeadline(deadline)
	if err != nil {
		x.deps.log.Warn("the reads of a request body are not bounded", zap.String("request_id", x.caller.AttemptID), zap.Error(err))
	}
}
