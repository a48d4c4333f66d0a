package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// member is the mutable record of one peer.
type member struct {
	name        string
	incarnation string
	address     string
	rpcAddress  string
	domain      string
	region      string

	state     *entrypb.State
	lastHeard time.Time
	leaving   bool

	listed bool
	// absentSince is when the list first lacked the peer; zero while listed.
	absentSince time.Time
	// staleMark makes leaving marks of the list ignored after a replacement,
	// until the list has shown the peer live or not at all.
	staleMark bool

	// failedSince is when the first of the calls failed that no sign of life
	// followed; zero if none.
	failedSince time.Time
	usedAt      time.Time
	// contact says that heartbeats are exchanged, contactSince since when.
	contact      bool
	contactSince time.Time
	// factor multiplies the heartbeat interval after which the member is judged.
	factor int
	// spacing multiplies the time between two exchanges. It is above factor
	// while many instances of the domain do not answer.
	spacing int
	// pairHash ranks the member among the contacts of its domain.
	pairHash uint64
	// nextExchange is when the next heartbeat is due.
	nextExchange time.Time

	published *Peer
	// position is the place of the published Peer in the snapshots.
	position int
}

// startIncarnation resets what belonged to the earlier incarnation.
func (m *member) startIncarnation(incarnation string) {
	m.staleMark = m.incarnation != ""
	m.incarnation = incarnation
	m.leaving = false
	m.failedSince = time.Time{}
	m.state = nil
}

// update stores a newer heartbeat of the current incarnation.
func (m *member) update(state *entrypb.State, now time.Time) {
	identity := state.GetIdentity()
	m.address = identity.GetAddress()
	m.rpcAddress = identity.GetRpcAddress()
	m.domain = identity.GetFailureDomain()
	m.region = identity.GetRegion()
	m.state = state
	m.lastHeard = now
	m.failedSince = time.Time{}
	m.leaving = m.leaving || state.GetLeaving()
	m.nextExchange = time.Time{}
}

// listState takes the state of the peer's row in the list.
func (m *member) listState(state platform.InstanceState) {
	if state != platform.InstanceLeaving {
		m.staleMark = false
		return
	}
	if !m.staleMark {
		m.leaving = true
	}
}

// unlist notes that the newest list lacks the peer.
func (m *member) unlist(now time.Time) {
	m.staleMark = false
	m.listed = false
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
}

// health judges the peer. Resumed is when this instance last ran again after a
// pause of its own, in which it could hear nobody.
func (m *member) health(now, resumed time.Time, interval time.Duration) Health {
	interval *= time.Duration(max(m.factor, 1))
	if !m.failedSince.IsZero() && now.Sub(latest(m.failedSince, resumed)) > SilentIntervals*interval {
		return Silent
	}
	heard := latest(m.lastHeard, resumed)
	if m.contact {
		heard = latest(heard, m.contactSince)
	}
	age := now.Sub(heard)
	watched := m.contact || !m.listed
	switch {
	case watched && age > SilentIntervals*interval:
		return Silent
	case watched && age > SuspectIntervals*interval:
		return Suspect
	case !m.failedSince.IsZero():
		return Suspect
	default:
		return Alive
	}
}

func (m *member) peer(health Health) Peer {
	return Peer{
		Name:          m.name,
		Incarnation:   m.incarnation,
		Address:       m.address,
		RPCAddress:    m.rpcAddress,
		FailureDomain: m.domain,
		Region:        m.region,
		Health:        health,
		Leaving:       m.leaving,
		Listed:        m.listed,
		LoadPermille:  m.state.GetLoadPermille(),
		LastHeard:     m.lastHeard,
		State:         m.state,
	}
}

// isPublished says whether the published Peer shows the member as it is, with
// the health.
func (m *member) isPublished(health Health) bool {
	p := m.published
	return p != nil &&
		p.Health == health &&
		p.LastHeard == m.lastHeard &&
		p.State == m.state &&
		p.Leaving == m.leaving &&
		p.Listed == m.listed &&
		p.Incarnation == m.incarnation &&
		p.Address == m.address &&
		p.RPCAddress == m.rpcAddress &&
		p.FailureDomain == m.domain &&
		p.Region == m.region
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stateSize returns the bytes that a state costs in one direction.
func stateSize(state *entrypb.State) int { return proto.Size(state) + messageOverhead }
