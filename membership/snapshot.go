package membership

import (
	"slices"
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// Snapshot returns the current state of all peers. It returns the same pointer
// as before if nothing has changed. It examines the peers that were updated since the
// last call, and all of them at healthDue.
func (r *Registry) Snapshot(now time.Time) *Peers {
	r.detectPause(now)
	r.chooseContacts(now)
	leadersChanged := r.publish(now) || r.selfChanged
	changed := len(r.changed) > 0 || r.selfChanged
	r.selfChanged = false
	switch {
	case r.snapshot == nil || r.indexDirty:
		return r.setSnapshot(r.newSnapshot())
	case !changed:
		return r.snapshot
	case leadersChanged:
		return r.setSnapshot(r.updatedSnapshot(r.snapshot))
	}
	next := r.updatedSnapshot(r.snapshot)
	next.leaders = r.snapshot.leaders
	r.snapshot = next
	return next
}

// newSnapshot returns a snapshot with a new index.
func (r *Registry) newSnapshot() *Peers {
	all := make([]*Peer, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m.published)
	}
	slices.SortFunc(all, comparePeers)
	r.setPositions(all)
	r.indexDirty = false
	r.generation++
	x := newIndex(all)
	x.generation = r.generation
	return &Peers{Self: r.self(), All: all, index: x}
}

// setSnapshot sets the leaders of a new snapshot and makes it the current one.
func (r *Registry) setSnapshot(p *Peers) *Peers {
	p.setLeaders()
	r.updateLeaders(p)
	r.snapshot = p
	return p
}

// updatedSnapshot returns a copy of the snapshot with the peers in r.changed
// replaced.
func (r *Registry) updatedSnapshot(snapshot *Peers) *Peers {
	all := slices.Clone(snapshot.All)
	for _, m := range r.changed {
		all[m.position] = m.published
	}
	return &Peers{Self: r.self(), All: all, index: snapshot.index}
}

// setPositions stores the position of each member in Peers.All, which is the
// same in all snapshots with the same index.
func (r *Registry) setPositions(all []*Peer) {
	r.ordered = r.ordered[:0]
	for i, peer := range all {
		m := r.members[peer.Name]
		m.position = i
		r.ordered = append(r.ordered, m)
	}
}

// publish replaces the Peer of each member that has changed and collects these
// members in r.changed. It reports whether a change may concern the leaders.
func (r *Registry) publish(now time.Time) bool {
	r.changed = r.changed[:0]
	interval := r.Interval()
	due := !r.healthDue.IsZero() && now.After(r.healthDue)
	leaders := false
	switch {
	case r.indexDirty:
		r.healthDue = time.Time{}
		for _, m := range r.members {
			leaders = r.publishMember(m, now, interval) || leaders
		}
	case due || r.healthResumed != r.resumed || r.healthInterval != interval:
		r.healthDue = time.Time{}
		for _, m := range r.ordered {
			leaders = r.publishMember(m, now, interval) || leaders
		}
	default:
		for _, m := range r.touched {
			leaders = r.publishMember(m, now, interval) || leaders
		}
	}
	r.healthResumed, r.healthInterval = r.resumed, interval
	for _, m := range r.touched {
		m.touched = false
	}
	r.touched = r.touched[:0]
	return leaders
}

// touch makes the next snapshot examine the member.
func (r *Registry) touch(m *member) {
	if !m.touched {
		m.touched = true
		r.touched = append(r.touched, m)
	}
}

// publishMember replaces the Peer of the member if that has changed, and reports whether
// the change may concern the leaders.
func (r *Registry) publishMember(m *member, now time.Time, interval time.Duration) bool {
	health := m.health(now, r.resumed, interval)
	due := m.healthDue(now, r.resumed, interval)
	if !due.IsZero() && (r.healthDue.IsZero() || due.Before(r.healthDue)) {
		r.healthDue = due
	}
	if m.publishedIsCurrent(health) {
		return false
	}
	peer, old := m.peer(health), m.published
	m.published = &peer
	r.changed = append(r.changed, m)
	return !sameForLeaders(old, &peer)
}

// SetSelf sets the state that this instance sends in its heartbeats.
func (r *Registry) SetSelf(state *entrypb.State) {
	changed := state.GetLeaving() != r.selfState.GetLeaving() ||
		state.GetStoreAway() != r.selfState.GetStoreAway() ||
		state.GetLoadPermille() != r.selfState.GetLoadPermille()
	r.selfState = state
	r.selfChanged = r.selfChanged || changed
}

func (r *Registry) self() Peer {
	self := r.config.Self
	return Peer{
		Name:          self.GetName(),
		Incarnation:   self.GetIncarnation(),
		Address:       self.GetAddress(),
		RPCAddress:    self.GetRpcAddress(),
		FailureDomain: self.GetFailureDomain(),
		Region:        self.GetRegion(),
		Listed:        true,
		Leaving:       r.selfState.GetLeaving(),
		LoadPermille:  r.selfState.GetLoadPermille(),
		State:         r.selfState,
	}
}

// Evidence holds what is known about whether an instance is gone.
type Evidence struct {
	// Listed is whether the newest list has the instance. It is meaningful
	// only if ListTime is not zero.
	Listed bool
	// AbsentSince is when a list first lacked the instance, for one that is not
	// listed. For an instance that was never listed it is the time of the
	// first list.
	AbsentSince time.Time
	// ListTime is when the newest list was read; zero if none was. The lists
	// show absence from AbsentSince until ListTime, not until now.
	ListTime time.Time
	// LastSeen is when a heartbeat of any incarnation was last received; zero if
	// never.
	LastSeen time.Time
}

// AbsentFor returns the time from AbsentSince to ListTime; 0 if the instance is
// listed or no list was read.
func (e Evidence) AbsentFor() time.Duration {
	if e.Listed || e.ListTime.IsZero() {
		return 0
	}
	return e.ListTime.Sub(e.AbsentSince)
}

// Evidence returns what is known about whether the named instance is gone.
func (r *Registry) Evidence(name string) Evidence {
	e := Evidence{ListTime: r.lastList, AbsentSince: r.firstList}
	m := r.members[name]
	if m == nil {
		return e
	}
	e.Listed = m.listed
	e.LastSeen = m.lastSeen
	if !m.listed && !m.absentSince.IsZero() {
		e.AbsentSince = m.absentSince
	}
	if m.listed {
		e.AbsentSince = time.Time{}
	}
	return e
}

// Replaced reports whether the incarnation is known to be gone because another
// one with its address or name has responded to a call.
func (r *Registry) Replaced(incarnation string) bool { return r.replaced[incarnation] }
