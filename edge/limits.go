package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/throttle"
)

// maxLimitsPerHeartbeat bounds the statements of upstreams in one heartbeat. Each heartbeat
// has other ones when there are more.
const maxLimitsPerHeartbeat = 20

// upstreamRates returns the rates of the upstreams that limit them.
func (c *control) upstreamRates() map[string]float64 {
	rates := map[string]float64{}
	for upstream, limit := range c.deps.throttle.Limits() {
		if limit.Limited {
			rates[upstream] = limit.Rate
		}
	}
	return rates
}

// observeLimit records whether a response states a limit of the upstream. The request
// was sent at sentAt.
func (x *exchange) observeLimit(u *routing.Upstream, sentAt time.Time, header http.Header) {
	rate, limited := headers.ReadRateLimit(header)
	if !x.deps.throttle.Observe(time.Now(), sentAt, u.Name, limited, rate) {
		return
	}
	x.deps.permits.changed()
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

// limitMessage returns the message for a statement of an upstream.
func limitMessage(now time.Time, upstream string, limit throttle.Limit) *entrypb.UpstreamLimit {
	return &entrypb.UpstreamLimit{
		Upstream:       upstream,
		Limited:        limit.Limited,
		MilliPerSecond: uint64(limit.Rate * milliPerUnit),
		AgeMs:          uint64(max(now.Sub(limit.StatedAt), 0).Milliseconds()),
	}
}

// mergeLimit records a statement that a peer has passed on.
func mergeLimit(t *throttle.Throttle, now time.Time, m *entrypb.UpstreamLimit) bool {
	return m.GetUpstream() != "" && t.Merge(m.GetUpstream(), throttle.Limit{
		Limited:  m.GetLimited(),
		Rate:     float64(m.GetMilliPerSecond()) / milliPerUnit,
		StatedAt: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	})
}

// upstreamLimits returns the statements of upstreams for a heartbeat, a random selection
// of maxLimitsPerHeartbeat if there are more.
func (c *control) upstreamLimits(now time.Time) []*entrypb.UpstreamLimit {
	var messages []*entrypb.UpstreamLimit
	for upstream, limit := range c.deps.throttle.Limits() {
		if len(messages) == maxLimitsPerHeartbeat {
			break
		}
		messages = append(messages, limitMessage(now, upstream, limit))
	}
	return messages
}

// receiveLimits merges the statements of upstreams in a heartbeat.
func (c *control) receiveLimits(now time.Time, limits []*entrypb.UpstreamLimit) {
	changed := false
	for _, m := range limits {
		if c.upstreams.Has(m.GetUpstream()) && mergeLimit(c.deps.throttle, now, m) {
			c.deps.log.Info("upstream limits its rate, as a peer reports",
				zap.String("upstream", m.GetUpstream()),
				zap.Bool("limited", m.GetLimited()),
				zap.Uint64("milli_per_second", m.GetMilliPerSecond()),
			)
			changed = true
		}
	}
	if changed {
		c.assignAllocators(now)
	}
}
