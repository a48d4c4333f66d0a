package admission

import (
	"cmp"
	"slices"
	"time"
)

// Distance is the distance to another entry instance. Nearer ones are asked first.
type Distance uint8

// The distances, nearest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Peer is an entry instance that may be asked for tokens.
type Peer struct {
	// Name is the member name in the share table.
	Name     string
	Distance Distance
}

// The bounds of the wait before a peer is asked again after a lost response.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 1 * time.Second
)

// backoff is a wait that doubles with each extension, from minBackoff to maxBackoff.
type backoff struct {
	until time.Time
	last  time.Duration
}

func (b *backoff) extend(now time.Time) {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	b.until = now.Add(b.last)
}

func (b *backoff) reset() { *b = backoff{} }

// peerState is the state of one peer as a lender.
type peerState struct {
	Peer
	// loanOutstanding limits the peer to one outstanding loan at a time.
	loanOutstanding bool
	// backoff is the wait after a lost response.
	backoff backoff
	// hints is keyed by customer.
	hints map[string]*hint
}

// canAsk reports whether the peer may be asked now.
func (p *peerState) canAsk(now time.Time) bool {
	return !p.loanOutstanding && !now.Before(p.backoff.until)
}

// SetPeers replaces the peers; those that stay keep their state. Call it when
// membership changes, with the nearest instances and those that hold tokens of
// customers with small bursts.
func (l *Limiter) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := map[string]*peerState{}
	for _, p := range l.peers {
		old[p.Name] = p
	}
	next := make([]*peerState, 0, len(peers))
	for _, peer := range peers {
		p := old[peer.Name]
		if p == nil {
			p = &peerState{hints: map[string]*hint{}}
		}
		p.Peer = peer
		next = append(next, p)
	}
	slices.SortFunc(next, func(a, b *peerState) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Name, b.Name))
	})
	l.peers = next
}

// rotatedPeers returns the peers sorted by distance. Within a distance the first one
// changes from plan to plan, so that requests are spread.
func (l *Limiter) rotatedPeers() []*peerState {
	l.rotation++
	ordered := make([]*peerState, 0, len(l.peers))
	for start := 0; start < len(l.peers); {
		end := start + 1
		for end < len(l.peers) && l.peers[end].Distance == l.peers[start].Distance {
			end++
		}
		same := l.peers[start:end]
		first := l.rotation % len(same)
		ordered = append(ordered, same[first:]...)
		ordered = append(ordered, same[:first]...)
		start = end
	}
	return ordered
}
