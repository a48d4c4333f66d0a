package daemon

import (
	"context"
	"maps"
	"time"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/sharetable"
)

// heartbeatTimeout bounds one exchange of heartbeats.
const heartbeatTimeout = time.Second

// state builds the heartbeat of this instance.
func (c *control) state(now time.Time) *entrypb.State {
	return &entrypb.State{
		Identity:      c.parts.identity,
		Leaving:       c.leaving,
		ConfigVersion: c.configVersion(),
		ShareVersion:  c.member.Acknowledged(),
		Loads:         c.pools.loads(),
		Verdicts:      c.rollouts.Verdicts(),
		Evidence:      c.rollouts.Evidence(),
		StoreAgeMs:    uint64(now.Sub(c.storeHeard).Milliseconds()),
		AppliedSteps:  c.steps(),
		LoadPermille:  c.loadPermille(),
	}
}

func (c *control) configVersion() uint64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version
}

// steps returns the newest steps of all moves and roll-outs.
func (c *control) steps() map[string]uint64 {
	steps := c.moves.Steps()
	maps.Copy(steps, c.rollouts.Driver().Steps())
	return steps
}

// loadPermille returns the part of the slots of all pools that is in use.
func (c *control) loadPermille() uint32 {
	slots, inUse := 0, 0
	for _, pool := range c.pools.all {
		load := pool.Load()
		slots += load.Slots
		inUse += load.InUse + load.Queued
	}
	if slots == 0 {
		return 0
	}
	return uint32(min(1000, 1000*inUse/slots))
}

// sendHeartbeats exchanges heartbeats with the peers that are due.
func (c *control) sendHeartbeats(now time.Time) {
	targets := c.registry.Due(now)
	if len(targets) == 0 {
		return
	}
	state := c.state(now)
	for _, target := range targets {
		address := target.RPCAddress
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
	c.fetchNewer(now, e.address, e.state)
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
	if heard := now.Add(-time.Duration(state.GetStoreAgeMs()) * time.Millisecond); heard.After(c.storeHeard) && state.GetConfigVersion() <= c.configVersion() {
		c.storeHeard = heard
		c.dirty = true
	}
	if asked.IsZero() {
		return
	}
	answer := sharetable.Answer{
		Name:        identity.GetAddress(),
		Incarnation: identity.GetIncarnation(),
		Applied:     state.GetShareVersion(),
		Leaving:     state.GetLeaving(),
		AskedAt:     asked,
	}
	c.heardShares(now, answer)
}

// fetchTimeout bounds the fetch of records from a peer.
const fetchTimeout = 2 * time.Second

// fetchNewer asks a peer for what it has newer than this instance.
func (c *control) fetchNewer(now time.Time, address string, state *entrypb.State) {
	if !c.hasNewer(state) || now.Sub(c.fetches[address]) < fetchTimeout {
		return
	}
	c.fetches[address] = now
	request := &entrypb.GetConfigRequest{
		ConfigVersion: c.configVersion(),
		ShareVersion:  c.member.Version(),
		Steps:         c.steps(),
	}
	c.background(fetchTimeout, func(ctx context.Context) event {
		client, err := c.parts.peers.Client(address)
		if err != nil {
			return nil
		}
		response, err := client.GetConfig(ctx, request)
		if err != nil {
			return nil
		}
		return recordsFetched{address: address, response: response}
	})
}

func (c *control) hasNewer(state *entrypb.State) bool {
	if state.GetConfigVersion() > c.configVersion() || state.GetShareVersion() > c.member.Version() {
		return true
	}
	own := c.steps()
	for key, step := range state.GetAppliedSteps() {
		if step > own[key] {
			return true
		}
	}
	return false
}

// recordsFetched are newer records from a peer.
type recordsFetched struct {
	address  string
	response *entrypb.GetConfigResponse
}

func (e recordsFetched) apply(c *control, now time.Time) {
	delete(c.fetches, e.address)
	if data := e.response.GetConfig(); len(data) > 0 {
		c.adoptConfig(now, data)
	}
	if data := e.response.GetShareTable(); len(data) > 0 {
		c.adoptShares(now, data)
	}
	for key, value := range e.response.GetRecords() {
		c.learnRecord(now, key, value)
	}
}

// learnRecord takes in the record of a move or a roll-out from a peer.
func (c *control) learnRecord(now time.Time, key string, value []byte) {
	var learned bool
	var err error
	switch {
	case hasPrefix(key, platform.PrefixMoves):
		learned, err = c.moves.Learn(now, value)
	case hasPrefix(key, platform.PrefixRollouts):
		learned, err = c.rollouts.Driver().Learn(now, value)
	}
	if err != nil {
		c.parts.log.Warn("record of a peer cannot be read", errorField(err))
	}
	if learned {
		c.dirty = true
	}
}
