package edge

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/membership"
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
	// maxPermitTickGap is the longest gap between two ticks that is no pause.
	maxPermitTickGap = time.Second
)

// permits obtains permits for requests to upstreams that limit their rate.
type permits struct {
	throttle *throttle.Throttle
	peers    *entryinstance.Pool
	metrics  *telemetry.Metrics
	// maxWait is maxPermitWait, or longer in tests.
	maxWait time.Duration
	// changed is called when a limit in force has changed.
	changed func()
	// failed is called when a call to an allocator has failed.
	failed func(permitFailed)
}

// obtain takes a permit for one request to the upstream and reports whether there is one.
// It waits up to maxWait for the allocator of the upstream; waited reports whether it
// has asked it.
func (p *permits) obtain(ctx context.Context, upstream string) (granted, waited bool) {
	verdict, allocator := p.throttle.Take(time.Now(), upstream)
	granted, waited = verdict == throttle.Allowed, verdict == throttle.Ask
	if waited {
		granted = p.ask(ctx, upstream, allocator)
	}
	if !granted {
		p.metrics.Counter("ferry_permits_denied_total").Inc()
	}
	return granted, waited
}

// ask requests a permit from the allocator.
func (p *permits) ask(ctx context.Context, upstream, allocator string) bool {
	callCtx, cancel := context.WithTimeout(ctx, p.maxWait)
	defer cancel()
	response, err := p.call(callCtx, upstream, allocator)
	now := time.Now()
	if err != nil {
		p.throttle.Deny(now, upstream, 0)
		if ctx.Err() == nil {
			p.failed(permitFailed{address: allocator, err: err, timedOut: callCtx.Err() != nil})
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

// permitFailed is a failed call to an allocator.
type permitFailed struct {
	address string
	err     error
	// timedOut is set when there was no response within maxPermitWait.
	timedOut bool
}

func (e permitFailed) apply(c *control, now time.Time) {
	c.deps.log.Info("permit was not requested", zap.String("peer", e.address), zap.Error(e.err))
	if !e.timedOut {
		c.members.HandleFailure(e.address, now)
		return
	}
	// One slow response shows no failure. Heartbeats to the allocator, which is not a contact
	// of this instance in a large fleet, find out whether it responds.
	allocator, known := lo.Find(c.members.Snapshot(now).All, func(p *membership.Peer) bool { return p.RPCAddress == e.address })
	if known {
		c.members.MarkUsed(allocator.Name, now)
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
	others := &permitPeers{peers: peers, domains: map[string][]throttle.Instance{}}
	c.deps.throttle.Assign(now, func(upstream string) throttle.Allocator {
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

// permitPeers implements throttle.Others. It converts the peers once for all upstreams of a
// failure domain.
type permitPeers struct {
	peers   *membership.Peers
	domains map[string][]throttle.Instance
	all     []throttle.Instance
}

// InDomain implements throttle.Others.
func (p *permitPeers) InDomain(failureDomain string) []throttle.Instance {
	converted, ok := p.domains[failureDomain]
	if !ok {
		converted = throttleInstances(p.peers.InDomain(failureDomain))
		p.domains[failureDomain] = converted
	}
	return converted
}

// All implements throttle.Others.
func (p *permitPeers) All() []throttle.Instance {
	if p.all == nil {
		p.all = throttleInstances(p.peers.All)
	}
	return p.all
}

func throttleInstances(peers []*membership.Peer) []throttle.Instance {
	return lo.Map(peers, func(p *membership.Peer, _ int) throttle.Instance { return throttleInstance(p) })
}
