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
	// remoteDelay is how long an instance waits for a peer of its own failure
	// domain to have a revision before it pulls from another domain.
	remoteDelay = 1 * time.Second
	// repeatDelay is the least time between two pulls from one peer.
	repeatDelay = 500 * time.Millisecond
	// pullTimeout ends a pull whose result was never reported.
	pullTimeout = 5 * time.Second
)

// PeerState is what a heartbeat shows of a peer.
type PeerState struct {
	Name          string
	FailureDomain string
	// Revision is the one up to which the peer has every record.
	Revision platform.Revision
}

// Pull is one request to a peer for its newer records.
type Pull struct {
	Peer string
	// After is the revision up to which this instance has every record.
	After platform.Revision
	// Asked is when the request was planned.
	Asked time.Time
}

// Puller decides from which peer to pull and when. One pull runs at a time.
type Puller struct {
	self   string
	domain string
	peers  map[string]*pullPeer
	// running is the pull under way, or nil.
	running *Pull
	pulls   uint64
}

// pullPeer is one peer with a newer revision.
type pullPeer struct {
	PeerState
	// newerSince is when the peer was first seen to be ahead.
	newerSince time.Time
	// notBefore is the earliest time of the next pull.
	notBefore time.Time
}

// NewPuller returns a puller for the instance in the failure domain.
func NewPuller(self, domain string) *Puller {
	return &Puller{self: self, domain: domain, peers: map[string]*pullPeer{}}
}

// Observe takes in the heartbeat of a peer. Complete is the revision up to
// which this instance has every record.
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

// Behind says whether a peer is known to have newer records.
func (p *Puller) Behind(complete platform.Revision) bool {
	for _, peer := range p.peers {
		if peer.Revision > complete {
			return true
		}
	}
	return false
}

// Forget drops a peer that is gone.
func (p *Puller) Forget(peer string) { delete(p.peers, peer) }

// Plan returns the next pull, or false when none is due. The caller reports
// its end with Done.
func (p *Puller) Plan(complete platform.Revision, now time.Time) (Pull, bool) {
	if p.running != nil && now.Sub(p.running.Asked) < pullTimeout {
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
	p.running = &Pull{Peer: chosen.Name, After: complete, Asked: now}
	return *p.running, true
}

// Done reports the end of a pull. Its peer is left alone for a while, so that
// one that fails, or has less than it said, is not asked again at once.
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

// compare prefers the own failure domain, then spreads the instances over the
// peers, with another order at each pull.
func (p *Puller) compare(a, b *pullPeer) int {
	return cmp.Or(
		cmp.Compare(p.distance(a), p.distance(b)),
		cmp.Compare(p.order(a), p.order(b)),
		cmp.Compare(a.Name, b.Name),
	)
}

func (p *Puller) distance(peer *pullPeer) int {
	if peer.FailureDomain == p.domain {
		return 0
	}
	return 1
}

func (p *Puller) order(peer *pullPeer) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(p.pulls)
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(p.self + "\x00" + peer.Name)
	return digest.Sum64()
}
