package daemon

import (
	"context"
	"maps"
	"time"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/sharetable"
)

// heartbeatTimeout bounds one exchange of heartbeats.
const heartbeatTimeout = time.Second

// state builds the heartbeat of this instance.
func (c *control) state(now time.Time) *entrypb.State {
	state := &entrypb.State{
		Identity:     c.parts.identity,
		Leaving:      c.leaving,
		ShareVersion: c.member.Acknowledged(),
		ShareVouches: c.member.Vouches(),
		Loads:        c.owners.loads(),
		Verdicts:     c.rollouts.Verdicts(),
		Evidence:     c.rollouts.Evidence(),
		AppliedSteps: c.steps(),
		LoadPermille: c.owners.loadPermille(),
	}
	c.dist.Snapshot().AddTo(state, now)
	return state
}

// steps returns the newest steps of all moves and roll-outs.
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
		state := withGrants(base, c.owners.pools, target.Name)
		c.background(heartbeatTimeout, func(ctx context.Context) event {
			asked := time.Now()
			answer, err := c.exchange(ctx, address, state)
			if err != nil {
				return heartbeatFailed{address: address}
			}
			return heartbeatAnswered{address: address, state: answer, asked: asked}
		})
	}
}

func (c *control) exchange(ctx context.Context, address string, state *entrypb.State) (*entrypb.State, error) {
	client, err := c.parts.peers.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Heartbeat(ctx, state)
}

// withGrants returns a heartbeat that shows what the peer may have in flight here.
func withGrants(state *entrypb.State, pools *balancing.Pools, peer string) *entrypb.State {
	own := &entrypb.State{
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
		own.Loads = append(own.Loads, &entrypb.ServiceLoad{
			Service: load.GetService(),
			Version: load.GetVersion(),
			Slots:   load.GetSlots(),
			InUse:   load.GetInUse(),
			Granted: granted,
		})
	}
	return own
}

// heartbeatReceived is a heartbeat that a peer has sent.
type heartbeatReceived struct{ state *entrypb.State }

func (e heartbeatReceived) apply(c *control, now time.Time) {
	c.registry.Heard(e.state, now)
	c.hear(now, e.state, time.Time{})
}

// heartbeatAnswered is the answer of a peer to a heartbeat of this instance.
type heartbeatAnswered struct {
	address string
	state   *entrypb.State
	asked   time.Time
}

func (e heartbeatAnswered) apply(c *control, now time.Time) {
	c.registry.Answered(e.address, e.state, now)
	c.hear(now, e.state, e.asked)
}

// heartbeatFailed is a heartbeat that got no answer.
type heartbeatFailed struct{ address string }

func (e heartbeatFailed) apply(c *control, now time.Time) { c.registry.Failed(e.address, now) }

// hear takes in what any heartbeat says. Only an answer has the time at which
// the question was asked; it alone can confirm rate shares.
func (c *control) hear(now time.Time, state *entrypb.State, asked time.Time) {
	identity := state.GetIdentity()
	if identity == nil {
		return
	}
	if c.rollouts.Hear(now, state) {
		c.dirty = true
	}
	c.dist.ObservePeer(state, asked, now)
	if asked.IsZero() {
		return
	}
	c.heardShares(now, sharetable.Answer{
		Name:        identity.GetAddress(),
		Incarnation: identity.GetIncarnation(),
		Applied:     state.GetShareVersion(),
		Vouches:     state.GetShareVouches(),
		AskedAt:     asked,
	})
}
