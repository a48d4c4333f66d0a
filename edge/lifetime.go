package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// errCallerGone is the cause of the end of a lifetime whose caller has closed its connection.
var errCallerGone = errkind.New(errkind.CallerGone, "")

// lifetime is the context of one request. Every wait for the request and every write of it to an
// upstream is under it, and nothing else ends them: the caller closes or resets its connection,
// or the deadline passes.
type lifetime struct {
	context.Context
	conn   *callerConn
	cancel context.CancelCauseFunc
}

// newLifetime returns the lifetime of the request and a function that releases it.
func newLifetime(r *http.Request, conn *callerConn, deadline time.Time) (*lifetime, context.CancelFunc) {
	ctx, release := context.WithDeadline(r.Context(), deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	return &lifetime{Context: ctx, conn: conn, cancel: cancel}, release
}

// end returns the error for a request whose lifetime has ended, or nil.
func (l *lifetime) end() error {
	err := l.Err()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, context.Canceled):
		return errkind.Wrap(err, errkind.CallerGone, "")
	}
	return errkind.Wrap(err, errkind.DeadlineExceeded, "")
}

// Err implements context.Context. It asks the kernel whether the caller has left: the goroutines
// that notice it may not have run yet, and the request must not be sent then.
func (l *lifetime) Err() error {
	if l.Context.Err() == nil && l.conn != nil && l.conn.closedByCaller() {
		l.cancel(errCallerGone)
	}
	return l.Context.Err()
}
