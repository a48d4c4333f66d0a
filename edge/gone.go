package edge

import (
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/errkind"
)

// goneStage is how far a request had come when its caller closed the connection, as far as the
// instance knows.
type goneStage string

const (
	// goneUnread is a close that came before the request was read.
	goneUnread goneStage = "unread"
	// goneUnsent is a close before any upstream may have run the request.
	goneUnsent goneStage = "unsent"
	// goneSent is a close after the request was sent to an upstream.
	goneSent goneStage = "sent"
	// goneUnnoticed is a close that was found only when the work on the request was over.
	goneUnnoticed goneStage = "unnoticed"
)

// goneStage returns the stage at which the caller left, or an empty string if it has not. The
// error is the one that ended the work on the request.
func (x *exchange) goneStage(ctx *lifetime, err error) goneStage {
	noticed := ctx.callerGone()
	switch {
	case errkind.Of(err) == errkind.DeadlineExceeded:
		// The server cancels the request when a read of its body ends by the deadline.
		return ""
	case x.readAfterClose:
		return goneUnread
	case noticed && x.ran == 0:
		return goneUnsent
	case noticed:
		return goneSent
	case x.conn != nil && x.conn.closedByCaller():
		return goneUnnoticed
	}
	return ""
}

// observeGone counts and logs a caller that has left before the end of the work on its request.
func (x *exchange) observeGone(ctx *lifetime, err error) {
	stage := x.goneStage(ctx, err)
	if stage == "" {
		return
	}
	x.deps.metrics.Counter("ferry_callers_gone_total", "stage", string(stage)).Inc()
	fields := []zap.Field{
		zap.String("request_id", x.caller.AttemptID),
		zap.String("stage", string(stage)),
		zap.Strings("tried", x.tried),
		zap.Duration("age", time.Since(x.started)),
	}
	if noticed, ok := x.conn.endedSince(); ok {
		x.deps.metrics.Histogram("ferry_caller_gone_work_seconds").Update(noticed.Seconds())
		fields = append(fields, zap.Duration("work_after", noticed))
	}
	x.deps.log.Info("caller gone", fields...)
}
