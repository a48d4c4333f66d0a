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

	state    *entrypb.State
	lastSeen time.Time
	leaving  bool

	listed bool
	// absentSince is when the list first lacked the peer; zero while listed.
	absentSince time.Time
	// ignoreListedLeaving is set when the incarnation is replaced: a leaving mark
	// in the list then belongs to the earlier incarnation and is ignored until a
	// list has shown the peer as live or lacked it.
	ignoreListedLeaving bool

	// failedSince is when the first call failed after the last received state;
	// zero if none has.
	failedSince time.Time
	// usedAt is when Use was last called for the member.
	usedAt time.Time
	// contact is whether heartbeats are exchanged, contactSince since when.
	contact      bool
	contactSince time.Time
	// healthFactor multiplies the heartbeat interval in the times until Suspect
	// and Silent.
	healthFactor int
	// exchangeFactor multiplies the time between two exchanges. It is above
	// healthFactor while many instances of the domain have failed.
	exchangeFactor int
	// pairHash ranks the member among the contacts of its domain.
	pairHash uint64
	// nextExchange is when the next heartbeat is due.
	nextExchange time.Time

	// published is the Peer in the newest snapshot.
	published *Peer
	// position is the index of published in Peers.All.
	position int
	// touched is set while the member is among Registry.touched.
	touched bool
}

// startIncarnation resets the state of the earlier incarnation.
func (m *member) startIncarnation(incarnation string) {
	m.ignoreListedLeaving = m.incarnation != ""
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
	m.lastSeen = now
	m.failedSince = time.Time{}
	m.leaving = m.leaving || state.GetLeaving()
	m.nextExchange = time.Time{}
}

// updateListState applies the state in the peer's row of the list.
func (m *member) updateListState(state platform.InstanceState) {
	if state != platform.InstanceLeaving {
		m.ignoreListedLeaving = false
		return
	}
	if !m.ignoreListedLeaving {
		m.leaving = true
	}
}

// markUnlisted records that the newest list lacks the peer.
func (m *member) markUnlisted(now time.Time) {
	m.ignoreListedLeaving = false
	m.listed = false
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
}

// health returns the health of the peer. resumed is when this instance last ran
// again after a pause of its own, in which it could not receive heartbeats.
func (m *member) health(now, resumed time.Time, interval time.Duration) Health {
	interval *= time.Duration(max(m.healthFactor, 1))
	if !m.failedSince.IsZero() && now.Sub(latest(m.failedSince, resumed)) > SilentIntervals*interval {
		return Silent
	}
	since := latest(m.lastSeen, resumed)
	if m.contact {
		since = latest(since, m.contactSince)
	}
	age := now.Sub(since)
	monitored := m.contact || !m.listed
	switch {
	case monitored && age > SilentIntervals*interval:
		return Silent
	case monitored && age > SuspectIntervals*interval:
		return Suspect
	case !m.failedSince.IsZero():
		return Suspect
	default:
		return Alive
	}
}

// healthDue returns the earliest time from now on at which the health changes if no heartbeat
// arrives and no call fails, or the zero time if there is none.
func (m *member) healthDue(now, resumed time.Time, interval time.Duration) time.Time {
	interval *= time.Duration(max(m.healthFactor, 1))
	var due time.Time
	at := func(t time.Time) {
		if !t.Before(now) && (due.IsZero() || t.Before(due)) {
			due = t
		}
	}
	if !m.failedSince.IsZero() {
		at(latest(m.failedSince, resumed).Add(SilentIntervals * interval))
	}
	if m.contact || !m.listed {
		since := latest(m.lastSeen, resumed)
		if m.contact {
			since = latest(since, m.contactSince)
		}
		at(since.Add(SuspectIntervals * interval))
		at(since.Add(SilentIntervals * interval))
	}
	return due
}

// peer returns the member as a Peer with the health.
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
		LastSeen:      m.lastSeen,
		State:         m.state,
	}
}

// publishedIsCurrent reports whether the published Peer equals the member's
// current state with the health. LoadPermille is not compared: it is part of State.
func (m *member) publishedIsCurrent(health Health) bool {
	p := m.published
	return p != nil &&
		p.Health == health &&
		p.LastSeen == m.lastSeen &&
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

// stateSize returns the bytes that are sent in one direction for a state,
// including messageOverhead.
func stateSize(state *entrypb.State) int { return proto.Size(state) + messageOverhead }
