package placement

import (
	"time"

	"samphireferry.example/ferry/registry"
)

// departureMemory is how long the statement of an upstream that it leaves is kept when the
// pool no longer has the upstream: its entry may lapse and return, or come back from a copy
// of the store.
const departureMemory = 10 * time.Minute

// departure is the statement of an upstream, in a response, that it leaves.
type departure struct {
	started  int64
	address  string
	statedAt time.Time
}

// covers reports whether the statement holds for the upstream: unless that has started
// later, or has another address since the same start.
func (d departure) covers(u *registry.Upstream) bool {
	return u.Started < d.started || u.Started == d.started && u.Address == d.address
}

// RecordLeaving records that the upstream has stated in a response that it leaves. It
// returns false when that was known. The upstream gets no further request until an entry
// shows a later start or another address.
func (l *Lease) RecordLeaving(now time.Time) bool {
	p, t := l.pool, l.target
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.leaving {
		return false
	}
	t.leaving = true
	p.forgetDepartures(now)
	id := t.upstream.ID
	if known, ok := p.departures[id]; ok && known.started > t.upstream.Started {
		return true
	}
	p.departures[id] = departure{started: t.upstream.Started, address: t.upstream.Address, statedAt: now}
	if current := p.targets[id]; current != nil {
		current.leaving = p.departures[id].covers(current.upstream)
	}
	return true
}

// MaySend reports whether the upstream still accepts requests: since the lease was acquired,
// it may have become known to leave, or have refused another request.
func (l *Lease) MaySend(now time.Time) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.target.accepts() && !now.Before(l.target.shedUntil)
}

// departed reports whether the upstream has stated that it leaves. An entry that takes the
// statement back ends it.
func (p *Pool) departed(u *registry.Upstream) bool {
	d, ok := p.departures[u.ID]
	if ok && !d.covers(u) {
		delete(p.departures, u.ID)
		return false
	}
	return ok
}

// forgetDepartures removes old statements of upstreams that the pool no longer has.
func (p *Pool) forgetDepartures(now time.Time) {
	for id, d := range p.departures {
		if p.targets[id] == nil && now.Sub(d.statedAt) > departureMemory {
			delete(p.departures, id)
		}
	}
}
