package registry

import (
	"cmp"
	"maps"
	"time"
)

// model is a Registry that goes through all entries at each change.
type model struct {
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
	// held holds entries of the copy that contradict what was known before the restore,
	// by id. They count at the end of the grace period.
	held map[string]Entry
}

// newModel returns an empty model. grace is how long lapsed entries may take to
// return once the store is available again; 0 means DefaultReturnGrace.
func newModel(grace time.Duration) *model {
	return &model{grace: cmp.Or(grace, DefaultReturnGrace), upstreams: map[string]*Upstream{}, removed: map[string]removal{}, held: map[string]Entry{}}
}

// StoreUnavailable records that the store does not respond.
func (r *model) StoreUnavailable() { r.unavailable = true }

// StoreAvailableToPeers records that the store responds to other instances, so that it
// counts as available.
func (r *model) StoreAvailableToPeers() { r.unavailable = false }

// StoreAvailable records a response of the store.
func (r *model) StoreAvailable(now time.Time) {
	if r.unavailable {
		r.availableSince = now
	}
	r.unavailable = false
}

// StoreRestored records that the store was restored from a copy. Until the grace period
// ends, upstreams that the copy lacks may return, and ones that were draining or removed
// before stay so: their entries are written again.
func (r *model) StoreRestored(now time.Time) {
	r.unavailable = false
	r.availableSince = now
	r.restoredAt = now
}

// restoring reports whether entries of a copy may not have been written again yet.
func (r *model) restoring(now time.Time) bool {
	return !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < r.grace
}

// ConfirmsRemovals reports whether the store has been available for so long that a
// missing entry confirms that its upstream has left.
func (r *model) ConfirmsRemovals(now time.Time) bool { return !r.mayReturn(now) }

// Replace applies the complete set of entries of the store and reports whether anything
// changed. confirmed states whether a missing entry means that its upstream has left; it
// is the result of ConfirmsRemovals on the instance that read the entries, which may be
// another one.
func (r *model) Replace(now time.Time, entries []Entry, confirmed bool) bool {
	present := make(map[string]bool, len(entries))
	changed := false
	clear(r.held)
	for _, entry := range entries {
		present[entry.ID] = true
		changed = r.put(now, entry) || changed
	}
	for id, u := range r.upstreams {
		if present[id] || u.lapsed && !confirmed {
			continue
		}
		r.remove(now, u, confirmed)
		changed = true
	}
	return r.Tick(now) || changed
}

func (r *model) put(now time.Time, entry Entry) bool {
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
	r.upstreams[entry.ID] = u
	return true
}

// contradicts reports whether the entry of a copy shows an earlier start of the upstream, or
// shows as ready what was draining or removed before.
func (r *model) contradicts(old *Upstream, entry Entry) bool {
	if old != nil {
		return entry.Started < old.Started || entry.Started == old.Started && old.State == Draining && entry.State == Ready
	}
	removed, ok := r.removed[entry.ID]
	return ok && entry.Started <= removed.started
}

// remove deletes an upstream, or marks it as lapsed if the removal is not confirmed. A
// draining upstream is always deleted, since its entry does not return. If only another
// instance has seen the outage of the store, the grace period begins now.
func (r *model) remove(now time.Time, u *Upstream, confirmed bool) {
	if u.State == Ready && !confirmed {
		if !r.mayReturn(now) {
			r.availableSince = now
		}
		kept := *u
		kept.lapsed = true
		r.upstreams[u.ID] = &kept
		return
	}
	r.drop(now, u)
}

// drop deletes an upstream whose removal is confirmed and remembers the removal.
func (r *model) drop(now time.Time, u *Upstream) {
	delete(r.upstreams, u.ID)
	maps.DeleteFunc(r.removed, func(_ string, m removal) bool { return now.Sub(m.at) > removalMemory })
	r.removed[u.ID] = removal{id: u.ID, started: u.Started, at: now}
}

// mayReturn reports whether lapsed entries may still return.
func (r *model) mayReturn(now time.Time) bool {
	return r.unavailable || !r.availableSince.IsZero() && now.Sub(r.availableSince) < r.grace
}

// Tick removes the lapsed entries and applies the held ones once the grace period is over.
// It reports whether there were any.
func (r *model) Tick(now time.Time) bool {
	if r.mayReturn(now) {
		return false
	}
	changed := false
	for _, u := range r.upstreams {
		if u.lapsed {
			r.drop(now, u)
			changed = true
		}
	}
	for id, entry := range r.held {
		r.upstreams[id] = &Upstream{Entry: entry, ColdUntil: now.Add(entry.ColdFor)}
		changed = true
	}
	clear(r.held)
	return changed
}
