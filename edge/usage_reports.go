package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/usage"
)

// recordTimeout bounds a write or read of the record of the reports.
const recordTimeout = time.Second

// report closes windows and sends their reports while this instance has the duty.
func (u *usageControl) report(boot time.Duration) {
	permit := u.duty.Permit()
	if u.reporter == nil || permit.Lapsed(boot) {
		return
	}
	now := u.clock.Now(boot)
	step := u.reporter.Next(now, permit.Allows(boot), u.all, u.expected())
	for _, m := range step.Missed {
		u.c.deps.metrics.Counter("ferry_usage_windows_missed_total", "reason", string(m.Reason)).Inc()
		u.c.deps.log.Warn("usage window not reported",
			zap.Int64("window", m.Window), zap.String("reason", string(m.Reason)),
			zap.Int64("token", int64(permit.Token)), zap.Any("counts", m.Counts))
	}
	if step.Write != nil {
		u.write(u.reporter, *step.Write)
	}
	if step.Read {
		u.read(u.reporter)
	}
	if step.Send != nil {
		u.call(u.reporter, permit.Token, *step.Send)
	}
	if u.reporter.Unreachable(now) {
		u.c.deps.log.Warn("usage API cannot be reached, the duty is given up", zap.Int64("token", int64(permit.Token)))
		u.duty.Cede(boot)
		u.publishPermit()
	}
}

// write writes the record in the background.
func (u *usageControl) write(r *usage.Reporter, write usage.Write) {
	value, err := write.Record.Encode()
	if err != nil {
		u.c.deps.log.Error("record of usage reports cannot be encoded", zap.Error(err))
		return
	}
	u.c.deps.metrics.Counter("ferry_duty_store_calls_total", "call", "compare_and_swap").Inc()
	u.c.background(recordTimeout, func(ctx context.Context) event {
		revision, err := u.c.deps.store.CompareAndSwap(ctx, records.KeyUsageReports, value, write.Expected, 0)
		return usageResult{reporter: r, handle: func(now time.Time) { r.Written(now, write, revision, err) }}
	})
}

// read reads the record in the background.
func (u *usageControl) read(r *usage.Reporter) {
	u.c.deps.metrics.Counter("ferry_duty_store_calls_total", "call", "get").Inc()
	u.c.background(recordTimeout, func(ctx context.Context) event {
		entry, err := u.c.deps.store.Get(ctx, records.KeyUsageReports)
		return usageResult{reporter: r, handle: func(now time.Time) { r.RecordRead(now, entry, err) }}
	})
}

// usageResult is the result of a call for the reports of a duty that may have ended meanwhile.
type usageResult struct {
	reporter *usage.Reporter
	handle   func(now time.Time)
}

func (e usageResult) apply(c *control, _ time.Time) {
	u := c.usage
	boot := bootTime()
	e.handle(u.clock.Now(boot))
	if u.reporter != e.reporter {
		return
	}
	if e.reporter.Lost() {
		u.duty.Refused(boot)
		u.publishPermit()
		return
	}
	u.report(boot)
}

// call sends a report in the background. The permit is asked again before each write.
func (u *usageControl) call(r *usage.Reporter, token platform.Revision, send usage.Send) {
	maySend := func() bool {
		permit := u.permit.Load()
		return permit.Token == token && permit.Allows(bootTime()) && u.refused.Load() != int64(token)
	}
	u.c.background(send.Timeout, func(ctx context.Context) event {
		err := u.api.Report(ctx, int64(token), platform.UsageBody{Window: send.Window, Counts: send.Counts}, maySend)
		if errors.Is(err, platform.ErrFenced) {
			// Other calls with the token may be about to be sent before the control goroutine knows.
			u.refused.Store(int64(token))
		}
		u.c.deps.metrics.Counter("ferry_usage_calls_total", "result", callResult(err)).Inc()
		return usageResult{reporter: r, handle: func(now time.Time) { u.sent(r, now, token, send, err) }}
	})
}

func (u *usageControl) sent(r *usage.Reporter, now time.Time, token platform.Revision, send usage.Send, err error) {
	log := u.c.deps.log.With(zap.Int64("window", send.Window), zap.Int64("token", int64(token)))
	if !r.Sent(now, send.Window, err) {
		log.Warn("usage report was not confirmed", zap.String("result", callResult(err)), zap.Error(err))
		return
	}
	u.c.deps.metrics.Counter("ferry_usage_windows_reported_total").Inc()
	log.Info("usage window reported",
		zap.Int("customers", len(send.Counts)),
		zap.Uint64("requests", lo.Sum(lo.Values(send.Counts))),
		zap.Duration("after", now.Sub(usage.WindowStart(send.Window+1, u.settings.Window))))
}

// callResult returns the label of the outcome of a call of the API.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrFenced):
		return "fenced"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, platform.ErrDutyLost):
		return "not_sent"
	}
	return "unavailable"
}
