package daemon

import (
	"context"
	"maps"
	"time"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/sharetable"
)

// heartbeatTimeout limits one exchange of heartbeats.
const heartbeatTimeout = time.Second

// state builds the heartbeat of this instance.
func (c *control) state(now time.Time) *entrypb.State {
	state := &entrypb.State{
		Identity:     c.deps.identity,
		Leaving:      c.leaving,
		ShareVersion: c.member.Acknowledged(),
		ShareVouches: c.member.Attests(),
		Loads:        c.ownership.loads(),
		Verdicts:     c.rollouts.Verdicts(),
		Evidence:     c.rollouts.Evidence(),
		AppliedSteps: c.steps(),
		LoadPermille: c.ownership.loadPermille(),
	}
	c.dist.Snapshot().AddTo(state, now)
	return state
}

// steps returns the newest steps of all moves and roll-outs by key of the record.
func (c *control) steps() map[string]uint64 {
	steps := c.moves.Steps()
	maps.Copy(steps, c.rollouts.Driver().Steps())
	return steps
}

// sendHeartbeats exchanges heartbeats with the peers that are due.
func (c *control) sendHeartbeats(now time.Time) {
	targets := c.registry.Due(now)
	if len(targets) == 0 {
		return
	}
	base := c.state(now)
	for _, target := range targets {
		address := target.RPCAddress
		state := withGrants(base, c.ownership.pools, target.Name)
		c.background(heartbeatTimeout, func(ctx context.Context) event {
			requestedAt := time.Now()
			response, err := c.exchange(ctx, address, state)
			if err != nil {
				return heartbeatFailed{address: address}
			}
			return heartbeatSucceeded{address: address, state: response, requestedAt: requestedAt}
		})
	}
}

func (c *control) exchange(ctx context.Context, address string, state *entrypb.State) (*entrypb.State, error) {
	client, err := c.deps.peers.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Heartbeat(ctx, state)
}

// withGrants returns a copy of the heartbeat with the number of requests that the
// peer may have in flight at this instance.
func withGrants(state *entrypb.State, pools *balancing.Pools, peer string) *entrypb.State {
	result := &entrypb.State{
		Identity:      state.GetIdentity(),
		Leaving:       state.GetLeaving(),
		ConfigVersion: state.GetConfigVersion(),
		ShareVersion:  state.GetShareVersion(),
		Verdicts:      state.GetVerdicts(),
		Evidence:      state.GetEvidence(),
		StoreAgeMs:    state.GetStoreAgeMs(),
		AppliedSteps:  state.GetAppliedSteps(),
		LoadPermille:  state.GetLoadPermille(),
		StoreRevision: state.GetStoreRevision(),
		ShareVouches:  state.GetShareVouches(),
	}
	for _, load := range state.GetLoads() {
		granted := uint32(0)
		if owned := pools.Get(keyOf(load)); owned != nil && peer != "" {
			granted = uint32(owned.Grants.Granted(peer))
		}
		result.Loads = append(result.Loads, &entrypb.ServiceLoad{
			Service: load.GetService(),
			Version: load.GetVersion(),
			Slots:   load.GetSlots(),
			InUse:   load.GetInUse(),
			Granted: granted,
		})
	}
	return result
}

// heartbeatReceived is the event that a peer has sent a heartbeat.
type heartbeatReceived struct{ state *entrypb.State }

func (e heartbeatReceived) apply(c *control, now time.Time) {
	c.registry.HandleHeartbeat(e.state, now)
	c.receiveState(now, e.state, time.Time{})
}

// heartbeatSucceeded is the event that a peer has responded to a heartbeat of this
// instance.
type heartbeatSucceeded struct {
	address     string
	state       *entrypb.State
	requestedAt time.Time
}

func (e heartbeatSucceeded) apply(c *control, now time.Time) {
	c.registry.HandleResponse(e.address, e.state, now)
	c.receiveState(now, e.state, e.requestedAt)
}

// heartbeatFailed is the event that a heartbeat got no response.
type heartbeatFailed struct{ address string }

func (e heartbeatFailed) apply(c *control, now time.Time) { c.registry.HandleFailure(e.address, now) }

// receiveState applies the state in a heartbeat. requestedAt is the time of the
// request that a response belongs to, and zero for a heartbeat that a peer has
// sent; only a response can confirm rate shares.
func (c *control) receiveState(now time.Time, state *entrypb.State, requestedAt time.Time) {
	identity := state.GetIdentity()
	if identity == nil {
		return
	}
	if c.rollouts.ApplyHeartbeat(now, state) {
		c.dirty = true
	}
	c.dist.ObservePeer(state, requestedAt, now)
	if requestedAt.IsZero() {
		return
	}
	c.receiveShareVersion(now, sharetable.MemberState{
		Name:        identity.GetAddress(),
		Incarnation: identity.GetIncarnation(),
		Applied:     state.GetShareVersion(),
		Attests:     state.GetShareVouches(),
		AskedAt:     requestedAt,
	})
}
