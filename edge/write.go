package edge

import (
	"net/http"
	"time"
)

const (
	// writeTimeout bounds the time in which a caller takes none of the bytes of a write. Without it a
	// caller that does not read would hold its response, and its connection, without end.
	writeTimeout = 10 * time.Second
	// writeBytes is the largest number of bytes that is written at once.
	writeBytes = 64 << 10
)

// callerWriter writes the body of a response to the caller. While a write blocks, the connection counts as
// waiting for its caller, and the response may be ended for lack of memory.
type callerWriter struct{ x *exchange }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (written int, err error) {
	x := w.x
	controller := http.NewResponseController(x.w)
	x.setWaiting(true)
	defer x.setWaiting(false)
	x.held.Interrupt(func() { _ = controller.SetWriteDeadline(time.Unix(0, 0)) })
	defer x.held.Interrupt(nil)
	for written < len(p) {
		x.boundWrite()
		if x.held.Ended() {
			return written, errNoMemory
		}
		var n int
		n, err = x.w.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// boundWrite bounds the next write of the response. The server lifts the bound after the request.
func (x *exchange) boundWrite() {
	by := x.writeBy
	if by.IsZero() {
		by = time.Now().Add(writeTimeout)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(by)
}

// setWaiting records whether the request waits for its caller.
func (x *exchange) setWaiting(waiting bool) {
	if x.conn != nil {
		x.deps.callerConns.SetWaiting(x.conn, waiting)
	}
}
