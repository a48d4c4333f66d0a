package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// State says whether an upstream takes new work.
type State uint8

// The states of an upstream.
const (
	// Ready takes new work.
	Ready State = iota
	// Draining ends what it runs and takes nothing new.
	Draining
)

// String returns the name of the state in logs.
func (s State) String() string { return lo.Ternary(s == Ready, "ready", "draining") }

// Entry is what an upstream says of itself.
type Entry struct {
	ID string
	// Started is the start of the process in Unix milliseconds, 0 when unknown.
	Started int64
	// Address is the IP address and port.
	Address       string
	Service       string
	Version       string
	FailureDomain string
	// Slots is the number of requests that it serves at once.
	Slots int
	State State
	// ColdFor is the time for which its caches stay cold, counted from the
	// moment at which the entry was written.
	ColdFor time.Duration
	// Revision is that of the store at which the entry was written.
	Revision int64
}

// Upstream is one registered upstream.
type Upstream struct {
	Entry
	// ColdUntil is when its caches are warm.
	ColdUntil time.Time
	// lapsed is set while the entry is missing but may still come back.
	lapsed bool
}

// Lapsed says that the entry is missing and may come back.
func (u *Upstream) Lapsed() bool { return u.lapsed }

// DefaultReturn is the time after the return of the store within which the
// entries of living upstreams are back: the platform promises about two seconds.
const DefaultReturn = 2500 * time.Millisecond

// Registry holds the upstreams. Only one goroutine may use it.
type Registry struct {
	grace     time.Duration
	upstreams map[string]*Upstream
	// returnedAt is when the store last came back after it had been away.
	returnedAt time.Time
	away       bool
}

// New returns an empty registry. grace is the time that lapsed entries have to
// come back; 0 stands for DefaultReturn.
func New(grace time.Duration) *Registry {
	return &Registry{grace: cmp.Or(grace, DefaultReturn), upstreams: map[string]*Upstream{}}
}

// StoreAway notes that the store gives no answers.
func (r *Registry) StoreAway() { r.away = true }

// StoreElsewhere notes that the store answers other instances: it is not away.
func (r *Registry) StoreElsewhere() { r.away = false }

// StoreBack notes an answer of the store.
func (r *Registry) StoreBack(now time.Time) {
	if r.away {
		r.returnedAt = now
	}
	r.away = false
}

// Settled says whether the store has answered for so long that a missing entry
// names an upstream that is gone.
func (r *Registry) Settled(now time.Time) bool { return !r.mayComeBack(now) }

// Replace takes in all entries of the store. settled says whether a missing entry
// names an upstream that is gone: it is that of the instance that read them, which
// may be another one. It returns whether anything changed.
func (r *Registry) Replace(now time.Time, entries []Entry, settled bool) bool {
	present := make(map[string]bool, len(entries))
	changed := false
	for _, entry := range entries {
		present[entry.ID] = true
		changed = r.put(now, entry) || changed
	}
	for id, u := range r.upstreams {
		if present[id] || u.lapsed && !settled {
			continue
		}
		r.remove(now, u, settled)
		changed = true
	}
	return r.Tick(now) || changed
}

func (r *Registry) put(now time.Time, entry Entry) bool {
	old := r.upstreams[entry.ID]
	if old != nil && old.Revision >= entry.Revision && !old.lapsed {
		return false
	}
	u := &Upstream{Entry: entry, ColdUntil: now.Add(entry.ColdFor)}
	r.upstreams[entry.ID] = u
	return true
}

// remove takes an upstream out, or marks it as lapsed where it may come back. When
// it is another instance that has seen the store away, the time for that begins now.
func (r *Registry) remove(now time.Time, u *Upstream, settled bool) {
	if u.State == Ready && !settled {
		if !r.mayComeBack(now) {
			r.returnedAt = now
		}
		kept := *u
		kept.lapsed = true
		r.upstreams[u.ID] = &kept
		return
	}
	delete(r.upstreams, u.ID)
}

func (r *Registry) mayComeBack(now time.Time) bool {
	return r.away || !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < r.grace
}

// Tick removes lapsed entries whose time to come back is over. It returns
// whether there were any.
func (r *Registry) Tick(now time.Time) bool {
	if r.mayComeBack(now) {
		return false
	}
	changed := false
	for id, u := range r.upstreams {
		if u.lapsed {
			delete(r.upstreams, id)
			changed = true
		}
	}
	return changed
}

// All returns the upstreams, sorted by id. They must not be changed.
func (r *Registry) All() []*Upstream {
	all := lo.Values(r.upstreams)
	slices.SortFunc(all, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
