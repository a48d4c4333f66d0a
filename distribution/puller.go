package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/platform"
)

// The delays of pulls.
const (
	// remoteDelay is how long an instance waits for a peer in its own failure
	// domain to reach a newer revision before it pulls from another domain.
	remoteDelay = 1 * time.Second
	// repeatDelay is the minimum time between two pulls from one peer.
	repeatDelay = 500 * time.Millisecond
	// pullTimeout is the time after which a pull without a reported result is
	// abandoned.
	pullTimeout = 5 * time.Second
)

// PeerState is the state of a peer as reported by its heartbeat.
type PeerState struct {
	Name          string
	FailureDomain string
	// Revision is the revision up to which the peer has every record.
	Revision platform.Revision
}

// Pull is one request to a peer for newer records.
type Pull struct {
	Peer string
	// After is the revision up to which this instance has every record.
	After platform.Revision
	// PlannedAt is when the request was planned.
	PlannedAt time.Time
}

// Puller decides from which peer to pull and when. At most one pull runs at a
// time.
type Puller struct {
	self   string
	domain string
	peers  map[string]*pullPeer
	// running is the pull in progress, or nil.
	running *Pull
	pulls   uint64
}

// pullPeer is one peer with a newer revision.
type pullPeer struct {
	PeerState
	// newerSince is when the peer was first seen with a newer revision.
	newerSince time.Time
	// notBefore is the earliest time of the next pull.
	notBefore time.Time
}

// NewPuller returns a puller for the instance with the name self in the failure
// domain.
func NewPuller(self, domain string) *Puller {
	return &Puller{self: self, domain: domain, peers: map[string]*pullPeer{}}
}

// Observe records the state of a peer. Complete is the revision up to which
// this instance has every record.
func (p *Puller) Observe(peer PeerState, complete platform.Revision, now time.Time) {
	if peer.Revision <= complete {
		delete(p.peers, peer.Name)
		return
	}
	known := p.peers[peer.Name]
	if known == nil {
		known = &pullPeer{newerSince: now}
		p.peers[peer.Name] = known
	}
	known.PeerState = peer
}

// Behind reports whether a peer is known to have newer records.
func (p *Puller) Behind(complete platform.Revision) bool {
	for _, peer := range p.peers {
		if peer.Revision > complete {
			return true
		}
	}
	return false
}

// Forget removes a peer that no longer exists.
func (p *Puller) Forget(peer string) { delete(p.peers, peer) }

// Plan returns the next pull, or false if none is due. The caller must report
// the end of the pull with Done.
func (p *Puller) Plan(complete platform.Revision, now time.Time) (Pull, bool) {
	if p.running != nil && now.Sub(p.running.PlannedAt) < pullTimeout {
		return Pull{}, false
	}
	var due []*pullPeer
	for name, peer := range p.peers {
		if peer.Revision <= complete {
			delete(p.peers, name)
			continue
		}
		if p.isDue(peer, now) {
			due = append(due, peer)
		}
	}
	if len(due) == 0 {
		return Pull{}, false
	}
	p.pulls++
	chosen := slices.MinFunc(due, p.compare)
	p.running = &Pull{Peer: chosen.Name, After: complete, PlannedAt: now}
	return *p.running, true
}

// Done reports the end of a pull. The next pull from the same peer is delayed by
// repeatDelay, so that a peer that fails, or has fewer records than it
// announced, is not retried at once.
func (p *Puller) Done(pull Pull, now time.Time) {
	if p.running != nil && *p.running == pull {
		p.running = nil
	}
	if peer := p.peers[pull.Peer]; peer != nil {
		peer.notBefore = now.Add(repeatDelay)
	}
}

func (p *Puller) isDue(peer *pullPeer, now time.Time) bool {
	if now.Before(peer.notBefore) {
		return false
	}
	return peer.FailureDomain == p.domain || now.Sub(peer.newerSince) >= remoteDelay
}

// compare prefers peers in the local failure domain, then spreads the instances
// over the peers, with a different order at each pull.
func (p *Puller) compare(a, b *pullPeer) int {
	return cmp.Or(
		cmp.Compare(p.distance(a), p.distance(b)),
		cmp.Compare(p.tieBreak(a), p.tieBreak(b)),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *Puller) distance(peer *pullPeer) int {
	if peer.FailureDomain == p.domain {
		return 0
	}
	return 1
}

func (p *Puller) tieBreak(peer *pullPeer) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(p.pulls)
	// WriteString on a digest never fails.
	_, _ = digest.WriteString(p.self + "\x00" + peer.Name)
	return digest.Sum64()
}
