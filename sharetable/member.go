package sharetable

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/invariant"
)

// DefaultMaxPause is the longest gap between two ticks after which a member
// still trusts its table.
const DefaultMaxPause = 2 * time.Second

// MemberSettings describe the process that a Member stands for.
type MemberSettings struct {
	// Name is the address that serves callers.
	Name string
	// Incarnation differs between two processes at the same address.
	Incarnation string
	// MaxPause is the longest gap between two calls of Tick that is not a
	// pause. Default DefaultMaxPause.
	MaxPause time.Duration
	// Checker receives violations of invariants; nil drops them.
	Checker *invariant.Checker
}

// Answer is what an instance said when it was asked for its state.
type Answer struct {
	Name        string
	Incarnation string
	// Applied is the version that it has applied; 0 while it is unconfirmed.
	Applied uint64
	// Vouches is set when others may rely on it; see Member.Vouches.
	Vouches bool
	// AskedAt is when the question was sent, by the clock of the one who asked.
	AskedAt time.Time
}

// Member is the side of one entry instance: which table it has and whether it
// may use its shares. It is used by the control goroutine alone.
//
// A change of the table takes effect in three steps: Adopt, then the new
// limits are put in force, then Applied. The version is acknowledged only
// after that.
type Member struct {
	settings MemberSettings
	table    *Table
	applied  uint64
	// newest is the highest version heard of.
	newest uint64
	// since is the start of the process, or the end of its last pause.
	since     time.Time
	paused    bool
	evidence  bool
	confirmed bool
	lastTick  time.Time
}

// NewMember returns the member of a process that starts now. It is
// unconfirmed and has no table.
func NewMember(settings MemberSettings, now time.Time) *Member {
	if settings.MaxPause <= 0 {
		settings.MaxPause = DefaultMaxPause
	}
	return &Member{settings: settings, since: now, lastTick: now}
}

// Tick is called at a steady interval. After a gap longer than MaxPause the
// member is unconfirmed, since its shares may have been given away; Tick then
// returns true.
func (m *Member) Tick(now time.Time) bool {
	gap := elapsed(m.lastTick, now)
	m.lastTick = now
	if gap <= m.settings.MaxPause {
		return false
	}
	m.since = now
	m.paused = true
	m.evidence = false
	m.confirmed = false
	return true
}

// elapsed returns the time between two instants by the monotonic or the wall
// clock, whichever went further: the monotonic clock may stand still while the
// machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Adopt takes a table from any source if it is newer than the member's. It
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

// ReadFromStore reports that the newest table in the store had the version,
// in answer to a read that was sent at askedAt.
func (m *Member) ReadFromStore(askedAt time.Time, version uint64) {
	m.hear(askedAt, version)
}

// Heard reports the answer of another entry instance. A confirmed member of
// the same witness group that vouches confirms this one, once this one has a
// table at least as new.
func (m *Member) Heard(a Answer) {
	if a.Applied == 0 || !a.Vouches || !m.isWitness(a) {
		m.newest = max(m.newest, a.Applied)
		return
	}
	m.hear(a.AskedAt, a.Applied)
}

func (m *Member) hear(askedAt time.Time, version uint64) {
	m.newest = max(m.newest, version)
	if askedAt.After(m.since) {
		m.evidence = true
	}
	m.confirm()
}

func (m *Member) isWitness(a Answer) bool {
	if m.table == nil {
		return false
	}
	self, listed := m.table.Members[m.settings.Name]
	peer, peerListed := m.table.Members[a.Name]
	return listed && peerListed && a.Name != m.settings.Name && self.WitnessGroup == peer.WitnessGroup
}

// confirm makes the member confirmed when its table lists it, no newer table
// is known, and the table cannot be from before a settled lowering.
func (m *Member) confirm() {
	if m.confirmed || m.table == nil || m.table.Version < m.newest {
		return
	}
	entry, listed := m.table.Members[m.settings.Name]
	if !listed {
		return
	}
	listedItself := entry.Incarnation == m.settings.Incarnation && !m.paused
	m.confirmed = m.evidence || listedItself
}

// Applied reports that Limit of the version is in force.
func (m *Member) Applied(version uint64) {
	m.settings.Checker.Check(version >= m.applied, InvariantMonotone,
		fmt.Sprintf("%s: version %d after %d", m.settings.Name, version, m.applied))
	m.applied = max(m.applied, version)
}

// Confirmed says whether the member may use its limit.
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

// Newest returns the highest version that the member has heard of. When it is
// above Version, the member should fetch that table.
func (m *Member) Newest() uint64 { return m.newest }

// Acknowledged returns the version to report to other instances: the one in
// force, or 0 while the member is unconfirmed.
func (m *Member) Acknowledged() uint64 {
	if !m.confirmed {
		return 0
	}
	return m.applied
}

// Vouches says whether others may rely on this member's table after a restart:
// it is confirmed and its limit is not empty. A member with an empty limit may
// be removed at any time, and is not asked to acknowledge after that.
func (m *Member) Vouches() bool { return len(m.Limit()) > 0 }

// Answer returns what the member says when it is asked for its state, without
// the time of the question.
func (m *Member) Answer() Answer {
	return Answer{
		Name:        m.settings.Name,
		Incarnation: m.settings.Incarnation,
		Applied:     m.Acknowledged(),
		Vouches:     m.Vouches(),
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
