package admission

import (
	"cmp"
	"slices"
	"time"
)

// Distance is how far another entry instance is. Nearer ones are asked first.
type Distance uint8

// The distances.
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

// The waits after a peer gave no answer.
const (
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 1 * time.Second
)

// backoff is a wait that doubles each time it is extended.
type backoff struct {
	until time.Time
	last  time.Duration
}

func (b *backoff) extend(now time.Time) {
	b.last = min(max(2*b.last, shortestBackoff), longestBackoff)
	b.until = now.Add(b.last)
}

func (b *backoff) reset() { *b = backoff{} }

// peerState is what is known of one peer.
type peerState struct {
	Peer
	// asked is set while a loan from the peer is outstanding.
	asked bool
	// silent is the wait after a lost answer.
	silent backoff
	// hints are by customer.
	hints map[string]*hint
}

// canAsk says whether the peer may be asked now.
func (p *peerState) canAsk(now time.Time) bool {
	return !p.asked && !now.Before(p.silent.until)
}

// SetPeers replaces the peers. It is called when membership changes, with the
// nearest instances and those that hold tokens of customers with small bursts.
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

// inTurn returns the peers by distance. Within a distance the first one
// changes from plan to plan, so that requests are spread.
func (l *Limiter) inTurn() []*peerState {
	l.turn++
	ordered := make([]*peerState, 0, len(l.peers))
	for start := 0; start < len(l.peers); {
		end := start + 1
		for end < len(l.peers) && l.peers[end].Distance == l.peers[start].Distance {
			end++
		}
		same := l.peers[start:end]
		first := l.turn % len(same)
		ordered = append(ordered, same[first:]...)
		ordered = append(ordered, same[:first]...)
		start = end
	}
	return ordered
}
