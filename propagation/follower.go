package propagation

import (
	"math/rand/v2"
	"time"

	"samphireferry.example/ferry/platform"
)

const (
	// maxReads bounds the concurrent reads of peers.
	maxReads = 3
	// maxDoubt bounds the time for which announcements of a peer are ignored.
	maxDoubt = time.Minute
)

// Distance orders the sources of a change.
type Distance uint8

// The distances of a peer.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Store is the name of the store as a source.
const Store = ""

// source is a peer that has announced a change.
type source struct {
	distance Distance
	revision platform.Revision
	// requested is the revision at the start of the last read.
	requested platform.Revision
	toldAt    time.Time
	failedAt  time.Time
	running   bool
}

// Follower decides from where an instance reads the operator's records that it lacks.
type Follower struct {
	budget Budget
	random *rand.Rand
	// covered is the revision up to which every record of the operator is known.
	covered platform.Revision
	// peers holds the peers that have announced a revision above covered.
	peers map[string]*source
	store source
	// doubted holds the peers that have announced what the store did not have.
	doubted map[string]doubt
	// behindSince is when a revision above covered was first announced; zero if none is.
	behindSince time.Time
	startedAt   time.Time
	reads       int
}

// doubt states until when announcements of a peer are ignored.
type doubt struct {
	until time.Time
	// pause is the time for which they were ignored last; it doubles each time.
	pause time.Duration
}

// NewFollower returns a follower that knows nothing. random chooses among equal sources.
func NewFollower(budget Budget, random *rand.Rand) *Follower {
	return &Follower{budget: budget, random: random, peers: map[string]*source{}, doubted: map[string]doubt{}}
}

// SetBudget replaces the budget.
func (f *Follower) SetBudget(b Budget) { f.budget = b }

// Announced records that the peer has every record of the operator up to the revision. It is
// ignored for a while after the store did not have what the peer had announced.
func (f *Follower) Announced(now time.Time, peer string, distance Distance, revision platform.Revision) {
	if revision <= f.covered || now.Before(f.doubted[peer].until) {
		return
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	s := f.peers[peer]
	if s == nil {
		s = &source{}
		f.peers[peer] = s
	}
	if revision > s.revision {
		s.revision, s.toldAt = revision, now
	}
	s.distance = distance
}

// Covered records that every record of the operator up to the revision is known here.
func (f *Follower) Covered(revision platform.Revision) {
	if revision <= f.covered {
		return
	}
	f.covered = revision
	f.dropSources(func(s *source) bool { return s.revision <= f.covered })
}

// dropSources removes the peers of which drop returns true.
func (f *Follower) dropSources(drop func(s *source) bool) {
	f.behindSince = time.Time{}
	for name, s := range f.peers {
		if drop(s) {
			delete(f.peers, name)
			continue
		}
		if f.behindSince.IsZero() || s.toldAt.Before(f.behindSince) {
			f.behindSince = s.toldAt
		}
	}
}

// Behind returns for how long this instance has known of a change that it lacks; 0 if it
// knows of none.
func (f *Follower) Behind(now time.Time) time.Duration {
	if f.behindSince.IsZero() {
		return 0
	}
	return now.Sub(f.behindSince)
}

// Next returns the source to read now: a peer or Store. It returns false when there is
// nothing to read now; then it is to be called again after the next event and within
// Budget.Hedge. readsStore states that the instance watches the store itself, so that
// the change is expected from there first. The caller reports the end of the read to Done.
func (f *Follower) Next(now time.Time, readsStore bool) (string, bool) {
	if f.behindSince.IsZero() {
		return "", false
	}
	waited := now.Sub(f.behindSince)
	if waited >= f.budget.StoreAfter() && f.readable(now, &f.store) {
		f.start(now, &f.store)
		return Store, true
	}
	recent := f.reads > 0 && now.Sub(f.startedAt) < f.budget.Hedge()
	if f.reads >= maxReads || recent || readsStore && waited < f.budget.Hedge() {
		return "", false
	}
	name, s := f.nearest(now, waited)
	if s == nil {
		return "", false
	}
	s.requested = s.revision
	f.start(now, s)
	return name, true
}

// nearest returns a peer of the smallest distance, any of several, or nil. Peers of other
// failure domains are asked once those of the own one had time to respond.
func (f *Follower) nearest(now time.Time, waited time.Duration) (string, *source) {
	var name string
	var best *source
	ties := 0
	for candidate, s := range f.peers {
		if !f.readable(now, s) || s.distance != SameDomain && waited < f.budget.Hedge() {
			continue
		}
		switch {
		case best == nil || s.distance < best.distance:
			name, best, ties = candidate, s, 1
		case s.distance == best.distance:
			ties++
			if f.random.IntN(ties) == 0 {
				name, best = candidate, s
			}
		}
	}
	return name, best
}

// readable reports whether the source may be read: no read of it is running, and none has
// failed within StoreAfter.
func (f *Follower) readable(now time.Time, s *source) bool {
	return !s.running && (s.failedAt.IsZero() || now.Sub(s.failedAt) >= f.budget.StoreAfter())
}

func (f *Follower) start(now time.Time, s *source) {
	s.running = true
	f.startedAt = now
	if s != &f.store {
		f.reads++
	}
}

// Done records the end of the read of a source that began at started. A successful read
// must have been reported to Covered before. What was announced before a successful read
// of the store and is not in it does not exist.
func (f *Follower) Done(now time.Time, name string, started time.Time, err error) {
	if name == Store {
		f.store.running = false
		f.store.failedAt = time.Time{}
		if err != nil {
			f.store.failedAt = now
			return
		}
		for peer, s := range f.peers {
			if !s.toldAt.After(started) {
				f.doubt(now, peer)
			}
		}
		f.dropSources(func(s *source) bool { return !s.toldAt.After(started) })
		return
	}
	f.reads--
	s := f.peers[name]
	if err == nil && (s == nil || s.requested <= f.covered) {
		delete(f.doubted, name)
	}
	if s == nil {
		return
	}
	s.running = false
	s.failedAt = time.Time{}
	if err != nil || s.requested > f.covered {
		s.failedAt = now
	}
}

// doubt ignores the announcements of a peer for a while.
func (f *Follower) doubt(now time.Time, peer string) {
	pause := min(max(2*f.doubted[peer].pause, f.budget.Total()), maxDoubt)
	f.doubted[peer] = doubt{until: now.Add(pause), pause: pause}
}
