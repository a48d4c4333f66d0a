package caller

import (
	"net/http"
	"time"

	"samphireferry.example/ferry/errkind"
)

const (
	// requestBodyBytes is the memory of a request body on its way: what is kept of it to be sent again, in
	// packages dispatch and upstream, and the buffers of its way.
	requestBodyBytes = 192 << 10
	// noMemoryRetryAfter is how long callers wait after a refusal for lack of memory.
	noMemoryRetryAfter = 1 * time.Second
)

// interrupt sets what ends the request when memory is scarce; nil while it cannot be ended.
func (x *exchange) interrupt(end func()) {
	if x.held != nil {
		x.held.Interrupt(end)
	}
}

// hold adds bytes to the memory of the request. It reports whether the request may go on.
func (x *exchange) hold(bytes int64) bool { return x.held == nil || x.held.Grow(bytes) }

// holdBody holds the memory of the request body, which may be ended until the response begins.
func (x *exchange) holdBody() error {
	x.interrupt(func() { _ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(0, 0)) })
	length := x.r.ContentLength
	if length < 0 || length > requestBodyBytes/3 {
		length = requestBodyBytes / 3
	}
	if x.hold(3 * length) {
		return nil
	}
	x.w.Header().Set("Connection", "close")
	refusal := errkind.New(errkind.Overloaded, "")
	refusal.RetryAfter = noMemoryRetryAfter
	return refusal
}

// boundWrite bounds the next write to the caller.
func (x *exchange) boundWrite() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// write writes to the caller. While it blocks, the connection counts as waiting for its caller, and the
// response may be ended for lack of memory.
func (x *exchange) write(p []byte) error {
	x.setWaiting(true)
	defer x.setWaiting(false)
	x.interrupt(func() { _ = http.NewResponseController(x.w).SetWriteDeadline(time.Unix(0, 0)) })
	defer x.interrupt(nil)
	x.boundWrite()
	if x.held != nil && x.held.Ended() {
		return errkind.New(errkind.Overloaded, "")
	}
	_, err := x.w.Write(p)
	return err
}

// setWaiting records whether the request waits for its caller.
func (x *exchange) setWaiting(waiting bool) {
	if x.conn != nil {
		x.server.conns.SetWaiting(x.conn, waiting)
	}
}
