package registry

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// State indicates whether an upstream accepts new work.
type State uint8

// The states of an upstream.
const (
	// Ready means that the upstream accepts new work.
	Ready State = iota
	// Draining means that the upstream completes its running requests and accepts no
	// new ones.
	Draining
)

// String returns the name of the state in logs.
func (s State) String() string { return lo.Ternary(s == Ready, "ready", "draining") }

// Entry is the record that an upstream publishes about itself.
type Entry struct {
	ID string
	// Started is the start time of the process in Unix milliseconds, 0 when unknown.
	Started int64
	// Address is the IP address and port.
	Address       string
	Service       string
	Version       string
	FailureDomain string
	// Slots is the number of requests that the upstream serves concurrently.
	Slots int
	State State
	// ColdFor is how long the caches of the upstream stay cold, counted from the time at
	// which the entry was written.
	ColdFor time.Duration
	// Revision is the revision of the store at which the entry was written.
	Revision int64
}

// Upstream is one registered upstream.
type Upstream struct {
	Entry
	// ColdUntil is the time from which its caches count as warm.
	ColdUntil time.Time
	// lapsed is set while the entry is missing but may still return.
	lapsed bool
}

// Lapsed reports whether the entry is missing but may still return.
func (u *Upstream) Lapsed() bool { return u.lapsed }

// DefaultReturnGrace is the default time after the store is available again within which
// the entries of live upstreams return: the platform guarantees about two seconds.
const DefaultReturnGrace = 2500 * time.Millisecond

// Registry holds the upstreams. It is not safe for concurrent use.
type Registry struct {
	grace     time.Duration
	upstreams map[string]*Upstream
	// availableSince is when the store last became available after an outage, or was
	// restored.
	availableSince time.Time
	unavailable    bool
	// restoredAt is when the store was last restored from a copy.
	restoredAt time.Time
	// removed holds the upstreams whose removal was confirmed, by id.
	removed map[string]removal
	// removals holds the removals of removed and those that later ones replaced, oldest
	// first.
	removals []removal
	// held holds entries of the copy that contradict what was known before the restore,
	// by id. They count at the end of the grace period.
	held map[string]Entry
	// lapsed holds the ids of the lapsed upstreams.
	lapsed map[string]bool
	// changes holds the ids of the upstreams that changed since the last TakeChanges.
	changes map[string]bool
}

// removal is the confirmed removal of one start of an upstream.
type removal struct {
	id      string
	started int64
	at      time.Time
}

// removalMemory is how long removals are remembered. A copy of the store is younger.
const removalMemory = time.Minute

// New returns an empty registry. grace is how long lapsed entries may take to
// return once the store is available again; 0 means DefaultReturnGrace.
func New(grace time.Duration) *Registry {
	return &Registry{
		grace:     cmp.Or(grace, DefaultReturnGrace),
		upstreams: map[string]*Upstream{},
		removed:   map[string]removal{},
		held:      map[string]Entry{},
		lapsed:    map[string]bool{},
		changes:   map[string]bool{},
	}
}

// StoreUnavailable records that the store does not respond.
func (r *Registry) StoreUnavailable() { r.unavailable = true }

// StoreAvailableToPeers records that the store responds to other instances, so that it
// counts as available.
func (r *Registry) StoreAvailableToPeers() { r.unavailable = false }

// StoreAvailable records a response of the store.
func (r *Registry) StoreAvailable(now time.Time) {
	if r.unavailable {
		r.availableSince = now
	}
	r.unavailable = false
}

// StoreRestored records that the store was restored from a copy. Until the grace period
// ends, upstreams that the copy lacks may return, and ones that were draining or removed
// before stay so: their entries are written again.
func (r *Registry) StoreRestored(now time.Time) {
	r.unavailable = false
	r.availableSince = now
	r.restoredAt = now
}

// restoring reports whether entries of a copy may not have been written again yet.
func (r *Registry) restoring(now time.Time) bool {
	return !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < r.grace
}

// ConfirmsRemovals reports whether the store has been available for so long that a
// missing entry confirms that its upstream has left.
func (r *Registry) ConfirmsRemovals(now time.Time) bool { return !r.mayReturn(now) }

// Apply applies the entries of the store that have changed and the ids of those that are
// missing now, and reports whether an upstream changed. An unchanged entry may be among
// the changed ones. confirmed states whether a missing entry means that its upstream has left;
// it is the result of ConfirmsRemovals on the instance that read the entries, which may be
// another one. If it is true, all lapsed upstreams have left.
func (r *Registry) Apply(now time.Time, changed []Entry, missing []string, confirmed bool) bool {
	held := r.held
	r.held = map[string]Entry{}
	for _, entry := range changed {
		delete(held, entry.ID)
	}
	for _, id := range missing {
		delete(held, id)
	}
	updated := false
	for _, entry := range changed {
		updated = r.put(now, entry) || updated
	}
	for _, entry := range held {
		// What contradicted it may be forgotten.
		updated = r.put(now, entry) || updated
	}
	for _, id := range missing {
		u := r.upstreams[id]
		if u == nil || u.lapsed && !confirmed {
			continue
		}
		r.remove(now, u, confirmed)
		updated = true
	}
	if confirmed {
		updated = r.dropLapsed(now) || updated
	}
	return r.Tick(now) || updated
}

// dropLapsed deletes the lapsed upstreams, except those whose entries have returned and are held,
// and reports whether there were any.
func (r *Registry) dropLapsed(now time.Time) bool {
	updated := false
	for id := range r.lapsed {
		if _, held := r.held[id]; !held {
			r.drop(now, r.upstreams[id])
			updated = true
		}
	}
	return updated
}

// TakeChanges returns the upstreams that are new or changed, and the ids of those that are
// gone, since it was last called. The upstreams must not be modified.
func (r *Registry) TakeChanges() (changed []*Upstream, gone []string) {
	for id := range r.changes {
		if u := r.upstreams[id]; u != nil {
			changed = append(changed, u)
		} else {
			gone = append(gone, id)
		}
	}
	clear(r.changes)
	return changed, gone
}

// set stores an upstream.
func (r *Registry) set(u *Upstream) {
	r.upstreams[u.ID] = u
	r.changes[u.ID] = true
	delete(r.lapsed, u.ID)
	if u.lapsed {
		r.lapsed[u.ID] = true
	}
}

// Forget deletes the upstreams whose entries have been replaced by ones that name none, and
// reports whether there were any. They neither lapse nor count as removed: an upstream may
// write its entry again at any time.
func (r *Registry) Forget(ids ...string) bool {
	known := false
	for _, id := range ids {
		delete(r.held, id)
		if !r.Has(id) {
			continue
		}
		known = true
		delete(r.upstreams, id)
		delete(r.lapsed, id)
		r.changes[id] = true
	}
	return known
}

func (r *Registry) put(now time.Time, entry Entry) bool {
	old := r.upstreams[entry.ID]
	if old != nil && old.Revision >= entry.Revision && !old.lapsed {
		return false
	}
	if r.restoring(now) && r.contradicts(old, entry) {
		r.held[entry.ID] = entry
		return false
	}
	u := &Upstream{Entry: entry, ColdUntil: now.Add(entry.ColdFor)}
	if old != nil && r.restoring(now) && sameExceptRevision(old.Entry, entry) {
		u.ColdUntil = old.ColdUntil
	}
	r.set(u)
	return true
}

// contradicts reports whether the entry of a copy shows an earlier start of the upstream, or
// shows as ready what was draining or removed before.
func (r *Registry) contradicts(old *Upstream, entry Entry) bool {
	if old != nil {
		return entry.Started < old.Started || entry.Started == old.Started && old.State == Draining && entry.State == Ready
	}
	removed, ok := r.removed[entry.ID]
	return ok && entry.Started <= removed.started
}

// sameExceptRevision reports whether two entries differ in their revisions only.
func sameExceptRevision(a, b Entry) bool {
	a.Revision = b.Revision
	return a == b
}

// remove deletes an upstream, or marks it as lapsed if the removal is not confirmed. A
// draining upstream is always deleted, since its entry does not return. If only another
// instance has seen the outage of the store, the grace period begins now.
func (r *Registry) remove(now time.Time, u *Upstream, confirmed bool) {
	if u.State == Ready && !confirmed {
		if !r.mayReturn(now) {
			r.availableSince = now
		}
		kept := *u
		kept.lapsed = true
		r.set(&kept)
		return
	}
	r.drop(now, u)
}

// drop deletes an upstream whose removal is confirmed and remembers the removal.
func (r *Registry) drop(now time.Time, u *Upstream) {
	delete(r.upstreams, u.ID)
	delete(r.lapsed, u.ID)
	r.changes[u.ID] = true
	r.forgetRemovals(now)
	last := removal{id: u.ID, started: u.Started, at: now}
	r.removed[u.ID] = last
	r.removals = append(r.removals, last)
}

// forgetRemovals deletes the removals that are older than removalMemory.
func (r *Registry) forgetRemovals(now time.Time) {
	for len(r.removals) > 0 && now.Sub(r.removals[0].at) > removalMemory {
		oldest := r.removals[0]
		r.removals = r.removals[1:]
		if r.removed[oldest.id] == oldest {
			delete(r.removed, oldest.id)
		}
	}
}

// mayReturn reports whether lapsed entries may still return.
func (r *Registry) mayReturn(now time.Time) bool {
	return r.unavailable || !r.availableSince.IsZero() && now.Sub(r.availableSince) < r.grace
}

// Tick removes the lapsed entries and applies the held ones once the grace period is over.
// It reports whether there were any.
func (r *Registry) Tick(now time.Time) bool {
	if r.mayReturn(now) {
		return false
	}
	changed := false
	for id := range r.lapsed {
		r.drop(now, r.upstreams[id])
		changed = true
	}
	for _, entry := range r.held {
		r.set(&Upstream{Entry: entry, ColdUntil: now.Add(entry.ColdFor)})
		changed = true
	}
	clear(r.held)
	return changed
}

// Has reports whether an upstream has the id.
func (r *Registry) Has(id string) bool { return r.upstreams[id] != nil }

// FailureDomain returns the failure domain of the upstream with the id; empty when there
// is none.
func (r *Registry) FailureDomain(id string) string {
	u := r.upstreams[id]
	if u == nil {
		return ""
	}
	return u.FailureDomain
}

// Get returns the upstream with the id, or nil. It must not be modified.
func (r *Registry) Get(id string) *Upstream { return r.upstreams[id] }

// Each returns an iterator over the upstreams in no particular order. They must not be
// modified.
func (r *Registry) Each() iter.Seq[*Upstream] { return maps.Values(r.upstreams) }

// All returns the upstreams, sorted by id. They must not be modified.
func (r *Registry) All() []*Upstream {
	all := lo.Values(r.upstreams)
	slices.SortFunc(all, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
