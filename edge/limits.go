package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/throttle"
)

const (
	// maxPermitWait bounds the wait for a permit: two round trips between regions.
	maxPermitWait = 100 * time.Millisecond
	// settleTime is the time after the start, or a pause, of this instance after which
	// the others know it: several heartbeats in its failure domain.
	settleTime = 5 * time.Second
	// maxLimitsPerHeartbeat bounds the statements of upstreams in one heartbeat. Each
	// heartbeat has other ones when there are more.
	maxLimitsPerHeartbeat = 20
	// maxPermitTickGap is the longest gap between two ticks that is no pause.
	maxPermitTickGap = time.Second
)

// permits obtains permits for requests to upstreams that limit their rate.
type permits struct {
	throttle *throttle.Throttle
	peers    *entryinstance.Pool
	metrics  *telemetry.Metrics
	// changed is called when a limit in force has changed.
	changed func()
	// failed is called with the address of an allocator that has not responded.
	failed func(address string, err error)
}

// obtain takes a permit for one request to the upstream and reports whether there is one.
// It waits up to maxPermitWait for the allocator of the upstream.
func (p *permits) obtain(ctx context.Context, upstream string) bool {
	verdict, allocator := p.throttle.Take(time.Now(), upstream)
	granted := verdict == throttle.Allowed
	if verdict == throttle.Ask {
		granted = p.ask(ctx, upstream, allocator)
	}
	if !granted {
		p.metrics.Counter("ferry_permits_denied_total").Inc()
	}
	return granted
}

// ask requests a permit from the allocator.
func (p *permits) ask(ctx context.Context, upstream, allocator string) bool {
	callCtx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	response, err := p.call(callCtx, upstream, allocator)
	now := time.Now()
	if err != nil {
		p.throttle.Deny(now, upstream, 0)
		if ctx.Err() == nil {
			p.failed(allocator, err)
		}
		return false
	}
	if mergeLimit(p.throttle, now, response.GetLimit()) {
		p.changed()
	}
	if !response.GetGranted() {
		p.throttle.Deny(now, upstream, time.Duration(response.GetRetryAfterMs())*time.Millisecond)
	}
	return response.GetGranted()
}

func (p *permits) call(ctx context.Context, upstream, allocator string) (*entrypb.PermitResponse, error) {
	client, err := p.peers.Client(allocator)
	if err != nil {
		return nil, err
	}
	limit, _ := p.throttle.Limit(upstream)
	return client.Permit(ctx, &entrypb.PermitRequest{Limit: limitMessage(time.Now(), upstream, limit)})
}

// Permit implements entrypb.EntryServer.
func (s *entryServer) Permit(_ context.Context, request *entrypb.PermitRequest) (*entrypb.PermitResponse, error) {
	t, now := s.control.deps.throttle, time.Now()
	if mergeLimit(t, now, request.GetLimit()) {
		s.control.deps.permits.changed()
	}
	upstream := request.GetLimit().GetUpstream()
	granted, retryAfter := t.Grant(now, upstream)
	response := &entrypb.PermitResponse{Granted: granted, RetryAfterMs: uint64(retryAfter.Milliseconds())}
	if limit, known := t.Limit(upstream); known {
		response.Limit = limitMessage(now, upstream, limit)
	}
	return response, nil
}

// limitChanged is a change of a limit in force.
type limitChanged struct{}

func (limitChanged) apply(c *control, now time.Time) { c.assignAllocators(now) }

// permitFailed is a request for a permit that got no response.
type permitFailed struct {
	address string
	err     error
}

func (e permitFailed) apply(c *control, now time.Time) {
	c.members.HandleFailure(e.address, now)
	c.deps.log.Info("allocator of an upstream did not respond", zap.String("peer", e.address), zap.Error(e.err))
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

// assignAllocators assigns an allocator to each upstream that limits its rate.
func (c *control) assignAllocators(now time.Time) {
	if now.Sub(c.permitTickAt) > maxPermitTickGap {
		c.permitsSince = now
	}
	c.permitTickAt = now
	c.deps.throttle.Tick(now, c.upstreams.Has)
	peers := c.members.Snapshot(now)
	settled := now.Sub(c.permitsSince) >= settleTime
	var others []throttle.Instance
	c.deps.throttle.Assign(now, func(upstream string) throttle.Allocator {
		if others == nil {
			others = throttleInstances(peers)
		}
		domain := c.upstreams.FailureDomain(upstream)
		return throttle.ChooseAllocator(upstream, domain, c.deps.settings.Domains[domain], throttleInstance(&peers.Self), settled, others)
	})
}

func throttleInstance(p *membership.Peer) throttle.Instance {
	return throttle.Instance{
		Name:          p.Name,
		Address:       p.RPCAddress,
		FailureDomain: p.FailureDomain,
		Region:        p.Region,
		Usable:        p.Usable(),
		MayRun:        p.Listed && !p.Leaving,
	}
}

func throttleInstances(peers *membership.Peers) []throttle.Instance {
	return lo.Map(peers.All, func(p *membership.Peer, _ int) throttle.Instance { return throttleInstance(p) })
}

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
