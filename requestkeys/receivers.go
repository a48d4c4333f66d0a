package requestkeys

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/membership"
)

// receivers returns the peers that may take over the claims of a home, in the
// order in which they are tried: those of its failure domain, then those of its
// region, each by rendezvous hash. All instances compute the same order, so that
// the claims are found after the home has left.
func receivers(peers *membership.Peers, incarnation, domain, region string) []*membership.Peer {
	inDomain := rankByHash(peers.InDomain(domain), incarnation)
	sameRegion := []*membership.Peer{}
	for _, p := range peers.All {
		if p.Region == region && p.FailureDomain != domain {
			sameRegion = append(sameRegion, p)
		}
	}
	return append(inDomain, rankByHash(sameRegion, incarnation)...)
}

// rankByHash returns the peers that are not silent and not the home itself, by
// descending hash.
func rankByHash(peers []*membership.Peer, incarnation string) []*membership.Peer {
	type scored struct {
		peer *membership.Peer
		hash uint64
	}
	candidates := make([]scored, 0, len(peers))
	for _, p := range peers {
		if p.Health != membership.Silent && p.Incarnation != incarnation {
			candidates = append(candidates, scored{p, xxhash.Sum64String(incarnation + "\x00" + p.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.peer.Name, b.peer.Name))
	})
	sorted := make([]*membership.Peer, len(candidates))
	for i, c := range candidates {
		sorted[i] = c.peer
	}
	return sorted
}
