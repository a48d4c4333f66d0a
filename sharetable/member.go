package sharetable

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/invariant"
)

// DefaultMaxPause is the default of MemberSettings.MaxPause.
const DefaultMaxPause = 2 * time.Second

// MemberSettings describe the process of a Member.
type MemberSettings struct {
	// Name is the address that serves callers.
	Name string
	// Incarnation differs between two processes at the same address.
	Incarnation string
	// MaxPause is the longest gap between two calls of Tick after which the member
	// still uses its table. Default DefaultMaxPause.
	MaxPause time.Duration
	// Checker receives violations of invariants; nil drops them.
	Checker *invariant.Checker
}

// MemberState is the state of a member as it reports it when asked.
type MemberState struct {
	Name        string
	Incarnation string
	// Applied is the table version that it has applied; 0 while it is unconfirmed.
	Applied uint64
	// Attests is set when its table is an attestation for others; see Member.Attests.
	Attests bool
	// AskedAt is when the request was sent, by the clock of the process that sent it.
	AskedAt time.Time
}

// Member is the state of one entry instance: which table it has and whether it
// may use its shares. It is not safe for concurrent use.
//
// A change of the table takes effect in three steps: Adopt; the caller puts the
// new limit in force; Applied. The version is acknowledged only after that.
type Member struct {
	settings MemberSettings
	table    *Table
	applied  uint64
	// newest is the highest table version seen from any source.
	newest uint64
	// since is the start of the process, or the end of its last pause.
	since time.Time
	// paused is set by the first pause; after that, being listed with the incarnation
	// doesn't confirm the member any more.
	paused bool
	// hasEvidence is set when a version has come in response to a request sent after
	// since.
	hasEvidence bool
	confirmed   bool
	lastTick    time.Time
}

// NewMember returns the member of a process that starts at now. It is
// unconfirmed and has no table.
func NewMember(settings MemberSettings, now time.Time) *Member {
	if settings.MaxPause <= 0 {
		settings.MaxPause = DefaultMaxPause
	}
	return &Member{settings: settings, since: now, lastTick: now}
}

// Tick must be called at a steady interval. After a gap longer than MaxPause the
// member is unconfirmed, since its shares may have been given to others; Tick then
// returns true.
func (m *Member) Tick(now time.Time) bool {
	gap := elapsed(m.lastTick, now)
	m.lastTick = now
	if gap <= m.settings.MaxPause {
		return false
	}
	m.since = now
	m.paused = true
	m.hasEvidence = false
	m.confirmed = false
	return true
}

// elapsed returns the time between two instants by the monotonic or the wall
// clock, whichever is longer: the monotonic clock may stop while the machine is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Adopt adopts a table from any source if it is newer than the member's. It
// returns whether it did; the caller then puts Limit in force and calls Applied.
func (m *Member) Adopt(t *Table) bool {
	m.newest = max(m.newest, t.Version)
	if m.table != nil && t.Version <= m.table.Version {
		m.confirm()
		return false
	}
	t.checkInvariants(m.settings.Checker, m.table)
	m.table = t
	if _, listed := t.Members[m.settings.Name]; !listed {
		m.confirmed = false
	}
	m.confirm()
	return true
}

// ReadFromStore records that the newest table in the store had the version,
// in response to a read that was sent at askedAt.
func (m *Member) ReadFromStore(askedAt time.Time, version uint64) {
	m.addEvidence(askedAt, version)
}

// ObserveState records the state that another entry instance reported. An attestation
// by a confirmed member of the same witness group confirms this member, once this one
// has a table at least as new.
func (m *Member) ObserveState(a MemberState) {
	if a.Applied == 0 || !a.Attests || !m.isWitness(a) {
		m.newest = max(m.newest, a.Applied)
		return
	}
	m.addEvidence(a.AskedAt, a.Applied)
}

// addEvidence records a version from the store or from an attestation, in response
// to a request that was sent at askedAt.
func (m *Member) addEvidence(askedAt time.Time, version uint64) {
	m.newest = max(m.newest, version)
	if askedAt.After(m.since) {
		m.hasEvidence = true
	}
	m.confirm()
}

// isWitness reports whether the state is from another member of this one's witness
// group.
func (m *Member) isWitness(a MemberState) bool {
	if m.table == nil {
		return false
	}
	self, listed := m.table.Members[m.settings.Name]
	peer, peerListed := m.table.Members[a.Name]
	return listed && peerListed && a.Name != m.settings.Name && self.WitnessGroup == peer.WitnessGroup
}

// confirm marks the member as confirmed if its table lists it, no newer table
// is known, and the table cannot be from before a lowering that was reclaimed.
func (m *Member) confirm() {
	if m.confirmed || m.table == nil || m.table.Version < m.newest {
		return
	}
	entry, listed := m.table.Members[m.settings.Name]
	if !listed {
		return
	}
	incarnationListed := entry.Incarnation == m.settings.Incarnation && !m.paused
	m.confirmed = m.hasEvidence || incarnationListed
}

// Applied records that Limit of the version is in force.
func (m *Member) Applied(version uint64) {
	m.settings.Checker.Check(version >= m.applied, InvariantMonotone,
		fmt.Sprintf("%s: version %d after %d", m.settings.Name, version, m.applied))
	m.applied = max(m.applied, version)
}

// Confirmed reports whether the member may use its limit.
func (m *Member) Confirmed() bool { return m.confirmed }

// Table returns the newest table that the member has, or nil.
func (m *Member) Table() *Table { return m.table }

// Version returns the version of that table, or 0.
func (m *Member) Version() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version
}

// Newest returns the highest version that the member has seen from any source. When
// it is above Version, the member should fetch that table.
func (m *Member) Newest() uint64 { return m.newest }

// Acknowledged returns the version to report to other instances: the one in
// force, or 0 while the member is unconfirmed.
func (m *Member) Acknowledged() uint64 {
	if !m.confirmed {
		return 0
	}
	return m.applied
}

// Attests reports whether this member's table is an attestation for others after
// their restart: the member is confirmed and its limit is not empty. A member with an
// empty limit may be removed at any time, and need not acknowledge versions after that.
func (m *Member) Attests() bool { return len(m.Limit()) > 0 }

// State returns the state that the member reports when asked, without AskedAt.
func (m *Member) State() MemberState {
	return MemberState{
		Name:        m.settings.Name,
		Incarnation: m.settings.Incarnation,
		Applied:     m.Acknowledged(),
		Attests:     m.Attests(),
	}
}

// Limit returns what the member may use: nothing while it is unconfirmed or
// not a member.
func (m *Member) Limit() Ranges {
	if !m.confirmed {
		return nil
	}
	return m.table.Members[m.settings.Name].Limit
}

// Divide returns the shares of the customers that the member may use.
func (m *Member) Divide(customers []Customer) []Share {
	return Divide(m.Limit(), customers, m.table)
}
