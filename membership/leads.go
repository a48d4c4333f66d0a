package membership

import (
	"cmp"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Leader returns the leader of the failure domain, or nil if no instance there is
// usable. The leader reads the store for its domain and exchanges the domain's
// state with other domains. All instances with the same view of the peers choose
// the same leader. While their views differ, a domain may have several
// leaders, which costs additional calls but affects no result.
func (p *Peers) Leader(domain string) *Peer {
	name, ok := p.leaders[domain]
	switch {
	case !ok:
		return nil
	case name == p.Self.Name:
		return &p.Self
	}
	return p.ByName(name)
}

// IsLeader reports whether this instance is the leader of its failure domain. It
// also reports true if the domain has no leader.
func (p *Peers) IsLeader() bool {
	leader, ok := p.leaders[p.Self.FailureDomain]
	return !ok || leader == p.Self.Name
}

// LeaderCount returns the number of failure domains that have a leader.
func (p *Peers) LeaderCount() int { return len(p.leaders) }

// IsReader reports whether this instance is one of the readers of a small set of records that
// at least count instances read: the leaders, and where those are fewer, the next usable
// instances in the order of compareLeaders.
func (p *Peers) IsReader(count int) bool {
	if p.IsLeader() {
		return true
	}
	missing := count - len(p.leaders)
	if missing <= 0 || p.Self.Leaving {
		return false
	}
	before := 0
	for _, peer := range p.All {
		if peer.Usable() && p.leaders[peer.FailureDomain] != peer.Name && compareLeaders(peer, &p.Self) < 0 {
			before++
		}
	}
	return before < missing
}

// IsFirstLeader reports whether this instance is the first of the leaders in the order of
// compareLeaders, which does what one instance of the fleet is enough for. Instances whose views
// differ may each be the first one.
func (p *Peers) IsFirstLeader() bool {
	if !p.IsLeader() {
		return false
	}
	for _, name := range p.leaders {
		leader := p.ByName(name)
		if leader != nil && name != p.Self.Name && compareLeaders(leader, &p.Self) < 0 {
			return false
		}
	}
	return true
}

// FullMesh reports whether every instance exchanges heartbeats with every other.
func (p *Peers) FullMesh() bool { return len(p.All) <= FullMeshLimit }

// setLeaders sets the leader of each domain: the first usable instance in the
// order of compareLeaders.
func (p *Peers) setLeaders() {
	first := map[string]*Peer{}
	self := &p.Self
	if !self.Leaving {
		first[self.FailureDomain] = self
	}
	for _, peer := range p.All {
		if !peer.Usable() {
			continue
		}
		best := first[peer.FailureDomain]
		if best == nil || compareLeaders(peer, best) < 0 {
			first[peer.FailureDomain] = peer
		}
	}
	p.leaders = make(map[string]string, len(first))
	for domain, peer := range first {
		p.leaders[domain] = peer.Name
	}
}

// sameForLeaders reports whether the two states of a peer make no difference to
// which instance leads its domain.
func sameForLeaders(a, b *Peer) bool {
	return a != nil && a.Usable() == b.Usable() && storeRank(a) == storeRank(b)
}

// compareLeaders orders instances that reach the store before those that do
// not, then by the hash of the name, then by the name.
func compareLeaders(a, b *Peer) int {
	return cmp.Or(
		cmp.Compare(storeRank(a), storeRank(b)),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// storeRank returns 0 if the store is available to the peer, else 1.
func storeRank(p *Peer) int {
	if p.State.GetStoreAway() {
		return 1
	}
	return 0
}

// updateLeaders stores the leaders of a new snapshot. If a leader has changed,
// the contacts are chosen again, because the leaders are contacts of each other.
func (r *Registry) updateLeaders(peers *Peers) {
	if maps.Equal(r.leaders, peers.leaders) {
		return
	}
	r.leaders = peers.leaders
	r.contactsDirty = true
}

// chooseLeaders adds the leaders of the other domains to the contacts if this
// instance is the leader of its domain.
func (r *Registry) chooseLeaders(chosen map[*member]int) {
	self := r.config.Self
	if r.leaders[self.GetFailureDomain()] != self.GetName() {
		return
	}
	for domain, name := range r.leaders {
		m := r.members[name]
		if m != nil && domain != self.GetFailureDomain() {
			chosen[m] = 1
		}
	}
}
