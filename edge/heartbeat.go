package edge

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/lending"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// heartbeatTimeout bounds one heartbeat call.
const heartbeatTimeout = time.Second

// maxSharedAge is the age, in heartbeat intervals, up to which a heartbeat passes on the loads of
// upstreams: older ones went out with the heartbeat before. It allows for the random variation of
// the interval.
const maxSharedAge = 1.2

// selfState returns the part of a heartbeat that describes this instance.
func (c *control) selfState() *entrypb.State {
	s := &entrypb.State{
		Identity:         c.deps.identity,
		Leaving:          c.leaving,
		StoreRevision:    uint64(c.revision),
		OperatorRevision: uint64(c.operator.newest),
		StoreAway:        c.storeUnavailable,
	}
	if c.table != nil {
		s.ConfigVersion = c.table.Version
	}
	return s
}

// stateKind identifies heartbeats with the same contents.
type stateKind struct {
	// inDomain is set for an instance that gets what this one reports itself, sum for one that
	// gets the sum of this failure domain.
	inDomain, sum bool
	// reports is set for an instance of this failure domain, where bytes cost least.
	reports bool
	// The rest are the parts of selfState that change.
	leaving, away              bool
	revision, operatorRevision platform.Revision
	version                    uint64
}

// stateCache holds the heartbeats of the last controlTick, which must not be modified. What an
// instance reports of its customers and its failure domain is the same for many peers.
type stateCache struct {
	builtAt time.Time
	states  map[stateKind]*entrypb.State
}

// get returns the state of the kind, which build makes if there is none yet.
func (s *stateCache) get(now time.Time, kind stateKind, build func() *entrypb.State) *entrypb.State {
	if s.states == nil || now.Sub(s.builtAt) >= controlTick {
		s.builtAt, s.states = now, map[stateKind]*entrypb.State{}
	}
	if s.states[kind] == nil {
		s.states[kind] = build()
	}
	return s.states[kind]
}

// stateFor returns the heartbeat for an instance of the failure domain. In a large
// fleet, the leader of a domain sends its sum to other domains; while it is quiet, the
// other instances of the domain send it to the leaders of other domains. Within its domain,
// a leader passes on the sums of the other domains.
func (c *control) stateFor(now time.Time, peers *membership.Peers, domain string, toLeader bool) *entrypb.State {
	kind := stateKind{
		inDomain: peers.FullMesh() || domain == peers.Self.FailureDomain,
		reports:  domain == peers.Self.FailureDomain,
		leaving:  c.leaving, away: c.storeUnavailable,
		revision: c.revision, operatorRevision: c.operator.newest,
	}
	if c.table != nil {
		kind.version = c.table.Version
	}
	kind.sum = !kind.inDomain && (peers.IsLeader() || toLeader && c.leaderQuiet(now, peers))
	return c.states.get(now, kind, func() *entrypb.State {
		s := c.selfState()
		s.UpstreamLimits = c.upstreamLimits(now)
		if kind.inDomain {
			s.Demands = demandsMessage(c.rates.Demand())
			s.Loads = c.serviceLoads()
			s.VersionCounts = c.rollouts.counts()
			if !peers.FullMesh() && peers.IsLeader() {
				s.DomainSums = c.sums.messages(now)
			}
		}
		if kind.reports {
			maxAge := time.Duration(maxSharedAge * float64(c.members.Interval()))
			s.LoadReports = loadReportsMessage(now, c.deps.pool.Reports(now, maxAge))
		}
		if kind.sum {
			s.DomainSums = []*entrypb.DomainSum{c.localSum(peers)}
		}
		return s
	})
}

// leaderQuiet reports whether the leader of this instance's failure domain is late with its
// heartbeat. It may not be able to send its sum either.
func (c *control) leaderQuiet(now time.Time, peers *membership.Peers) bool {
	leader := peers.Leader(peers.Self.FailureDomain)
	return leader == nil || now.Sub(leader.LastSeen) > c.members.Interval()*3/2
}

// stateForPeer builds the heartbeat for a peer, which may not be known yet.
func (c *control) stateForPeer(now time.Time, identity *entrypb.Identity) *entrypb.State {
	peers := c.members.Snapshot(now)
	domain := identity.GetFailureDomain()
	leader := peers.Leader(domain)
	return c.stateFor(now, peers, domain, leader != nil && leader.Name == identity.GetName())
}

// sendHeartbeats exchanges heartbeats with the peers that are due.
func (c *control) sendHeartbeats(now time.Time) {
	targets := c.members.Due(now)
	if len(targets) == 0 {
		return
	}
	peers := c.members.Snapshot(now)
	for _, target := range targets {
		identity := &entrypb.Identity{Name: target.Name}
		if p := peers.ByName(target.Name); p != nil {
			identity.FailureDomain = p.FailureDomain
		}
		c.sendHeartbeat(target.RPCAddress, c.stateForPeer(now, identity))
	}
}

func (c *control) sendHeartbeat(address string, state *entrypb.State) {
	c.background(heartbeatTimeout, func(ctx context.Context) event {
		client, err := c.deps.peers.Client(address)
		if err != nil {
			return heartbeatFailed{address: address, err: err}
		}
		response, err := client.Heartbeat(ctx, state)
		if err != nil {
			return heartbeatFailed{address: address, err: err}
		}
		c.noteState(response)
		return heartbeatSucceeded{address: address, state: response}
	})
}

// heartbeatReceived is a heartbeat from a peer; the reply goes to its channel.
type heartbeatReceived struct {
	state *entrypb.State
	reply chan *entrypb.State
	// callerGone is closed when the peer waits for no reply any more.
	callerGone <-chan struct{}
}

func (e heartbeatReceived) apply(c *control, now time.Time) {
	c.members.HandleHeartbeat(e.state, now)
	c.receiveState(now, e.state)
	if !isClosed(e.callerGone) {
		e.reply <- c.stateForPeer(now, e.state.GetIdentity())
	}
}

// isClosed reports whether the channel, on which nothing is sent, is closed. A nil channel is
// not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// heartbeatSucceeded is a peer's response to a heartbeat of this instance.
type heartbeatSucceeded struct {
	address string
	state   *entrypb.State
}

func (e heartbeatSucceeded) apply(c *control, now time.Time) {
	c.members.HandleResponse(e.address, e.state, now)
	c.receiveState(now, e.state)
}

// loadReportsMessage returns the message for reports of upstreams, or nil if there are none.
func loadReportsMessage(now time.Time, reports []placement.Report) *entrypb.LoadReports {
	if len(reports) == 0 {
		return nil
	}
	m := &entrypb.LoadReports{}
	for _, r := range reports {
		m.Upstreams = append(m.Upstreams, r.Upstream)
		m.Requests = append(m.Requests, uint32(r.Requests))
		m.AgeMs = append(m.AgeMs, uint32(max(now.Sub(r.At), 0).Milliseconds()))
	}
	return m
}

// loadReportsOf returns the reports in the message, which may be nil.
func loadReportsOf(now time.Time, m *entrypb.LoadReports) []placement.Report {
	n := min(len(m.GetUpstreams()), len(m.GetRequests()), len(m.GetAgeMs()))
	reports := make([]placement.Report, n)
	for i := range reports {
		reports[i] = placement.Report{
			Upstream: m.GetUpstreams()[i],
			Requests: int(m.GetRequests()[i]),
			At:       now.Add(-time.Duration(m.GetAgeMs()[i]) * time.Millisecond),
		}
	}
	return reports
}

// receiveState merges the state in a heartbeat or in the response to one.
func (c *control) receiveState(now time.Time, state *entrypb.State) {
	identity := state.GetIdentity()
	peers := c.members.Snapshot(now)
	if peers.FullMesh() || identity.GetFailureDomain() == peers.Self.FailureDomain {
		c.receiveSource(now, sourceOf(identity.GetName(), identity.GetRegion(), state))
	}
	for _, domain := range c.sums.merge(now, state.GetDomainSums()) {
		s, takenAt := c.sums.source(domain)
		c.receiveSource(takenAt, s)
	}
	c.receiveLimits(now, state.GetUpstreamLimits())
	c.deps.pool.MergeReports(now, loadReportsOf(now, state.GetLoadReports()))
	if c.operator.lacks(state.GetOperatorRevision()) {
		announcementOf(state).apply(c, now)
	}
	c.pulls.note(platform.Revision(state.GetStoreRevision()))
	if state.GetStoreRevision() > uint64(c.revision) {
		c.pullIfBehind(now)
	}
}

// heartbeatFailed is a heartbeat that got no response.
type heartbeatFailed struct {
	address string
	err     error
}

func (e heartbeatFailed) apply(c *control, now time.Time) {
	c.members.HandleFailure(e.address, now)
	c.deps.log.Debug("heartbeat failed", zap.String("peer", e.address), zap.Error(e.err))
}

// entryServer serves RPCs of other entry instances.
type entryServer struct {
	entrypb.UnimplementedEntryServer
	entrypb.UnimplementedUsageServer
	control *control
}

// Heartbeat implements entrypb.EntryServer.
func (s *entryServer) Heartbeat(ctx context.Context, state *entrypb.State) (*entrypb.State, error) {
	s.control.noteState(state)
	reply := make(chan *entrypb.State, 1)
	s.control.post(heartbeatReceived{state: state, reply: reply, callerGone: ctx.Done()})
	return waitFor(ctx, reply)
}

// GetConfig implements entrypb.EntryServer.
func (s *entryServer) GetConfig(ctx context.Context, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	if request.GetOperatorOnly() {
		return s.getOperatorRecords(request)
	}
	reply := make(chan *entrypb.GetConfigResponse, 1)
	s.control.post(recordsRequested{
		after:         platform.Revision(request.GetRevision()),
		operatorAfter: platform.Revision(request.GetOperatorRevision()),
		reply:         reply,
		callerGone:    ctx.Done(),
	})
	return waitFor(ctx, reply)
}

// Lend implements entrypb.EntryServer.
func (s *entryServer) Lend(_ context.Context, request *entrypb.LendRequest) (*entrypb.LendResponse, error) {
	return lending.Lend(s.control.deps.limiter, request), nil
}

// waitFor returns the reply, or the gRPC status Unavailable when the context ends
// first.
func waitFor[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case received := <-reply:
		return received, nil
	case <-ctx.Done():
		var none T
		return none, status.Error(codes.Unavailable, "the instance did not answer in time")
	}
}
