package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/routing"
)

// observeLimit records whether a response states a limit of the upstream. The request
// was sent at sentAt.
func (x *exchange) observeLimit(u *routing.Upstream, sentAt time.Time, header http.Header) {
	rate, limited := headers.ReadRateLimit(header)
	if !x.deps.throttle.Observe(time.Now(), sentAt, u.Name, limited, rate) {
		return
	}
	x.deps.log.Info("upstream limits its rate",
		zap.String("request_id", x.caller.AttemptID),
		zap.String("upstream", u.Name),
		zap.String("service", u.Service),
		zap.Bool("limited", limited),
		zap.Float64("requests_per_second", rate),
	)
}

// countLimited counts an attempt at an upstream that limits its rate.
func (x *exchange) countLimited(u *routing.Upstream) {
	if !x.deps.throttle.Limited(u.Name) {
		return
	}
	attempt := "first"
	if len(x.tried) > 1 {
		attempt = "retry"
	}
	x.deps.metrics.Counter("ferry_attempts_at_limited_upstreams_total", "service", u.Service, "attempt", attempt).Inc()
}
