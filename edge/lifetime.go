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

// lifetime is the context of one request, and decides its end: the caller closes or resets its
// connection, the deadline passes, or the instance stops. Waits and writes of the request are under
// it; reads of its body, which take no context, end by a read deadline of the connection instead.
type lifetime struct {
	context.Context
	conn     *callerConn
	deadline time.Time
	stopping *stopping
	cancel   context.CancelCauseFunc
}

// newLifetime returns the lifetime of the request and a function that releases it.
func newLifetime(r *http.Request, conn *callerConn, deadline time.Time, s *stopping) (*lifetime, context.CancelFunc) {
	ctx, release := context.WithDeadline(r.Context(), deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	return &lifetime{Context: ctx, conn: conn, deadline: deadline, stopping: s, cancel: cancel}, release
}

// mayBegin returns the error for a request of which no attempt may begin, or nil: its lifetime
// has ended, or the instance may stop before its deadline.
func (l *lifetime) mayBegin() error {
	err := l.Err()
	switch {
	case err == nil && l.stopping.allows(l.deadline):
		return nil
	case err == nil, errkind.Of(context.Cause(l)) == errkind.Leaving:
		return errkind.Wrap(err, errkind.Leaving, "")
	case l.callerGone():
		return errkind.Wrap(err, errkind.CallerGone, "")
	}
	return errkind.Wrap(err, errkind.DeadlineExceeded, "")
}

// callerGone reports whether the lifetime has ended because the caller has left.
func (l *lifetime) callerGone() bool {
	return errors.Is(l.Context.Err(), context.Canceled) && errkind.Of(context.Cause(l)) != errkind.Leaving
}

// Err implements context.Context. It asks the kernel whether the caller has left: the goroutines
// that notice it may not have run yet, and the request must not be sent then.
func (l *lifetime) Err() error {
	if l.Context.Err() == nil && l.conn != nil && l.conn.closedByCaller() {
		l.cancel(errCallerGone)
	}
	return l.Context.Err()
}
