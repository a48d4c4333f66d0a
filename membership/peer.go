package membership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// Health is the state of a peer as derived from heartbeats, calls and the
// platform's list.
type Health uint8

// The health states of a peer.
const (
	// Alive is a peer whose heartbeats came in time, or that the platform lists
	// and to which no call has failed.
	Alive Health = iota
	// Suspect is a peer that missed heartbeats or failed a call.
	Suspect
	// Silent is a peer from which nothing was received for SilentIntervals heartbeat
	// intervals. It may be gone or cut off.
	Silent
)

// String returns the name of the state.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "silent"
	}
}

// Peer describes another entry instance at one point in time. It is immutable.
type Peer struct {
	Name string
	// Incarnation identifies the process. It is empty while the peer is known
	// from the platform's list only.
	Incarnation string
	// Address is the host and port for callers, RPCAddress that for entry
	// instances.
	Address       string
	RPCAddress    string
	FailureDomain string
	Region        string
	Health        Health
	Leaving       bool
	// Listed is whether the platform's newest list contains the peer.
	Listed bool
	// LoadPermille is the fraction of its capacity in use, in thousandths.
	LoadPermille uint32
	// LastSeen is when a heartbeat of this incarnation was last received; zero
	// if never.
	LastSeen time.Time
	// State is the newest heartbeat, or nil. It must not be changed.
	State *entrypb.State
}

// Usable reports whether new work may be sent to the peer.
func (p *Peer) Usable() bool { return p.Health == Alive && !p.Leaving }

const (
	incarnationSeparator = "_"
	incarnationBase      = 36
)

// NewIncarnation returns the incarnation of a process that starts with the
// name. The number must be random, so that no two processes use the same one.
func NewIncarnation(name string, random uint64) string {
	return name + incarnationSeparator + strconv.FormatUint(random, incarnationBase)
}

// nameOf returns the name in an incarnation made by NewIncarnation.
func nameOf(incarnation string) string {
	i := strings.LastIndex(incarnation, incarnationSeparator)
	return incarnation[:max(i, 0)]
}

// Peers is an immutable snapshot of the other entry instances. The zero value
// holds none.
type Peers struct {
	// Self describes this instance.
	Self Peer
	// All holds every other instance, sorted by failure domain, then by name.
	All []*Peer

	index index
	// leaders maps a failure domain to the name of its leader. Snapshots with the
	// same leaders share it.
	leaders map[string]string
}

// index maps keys to positions in Peers.All. Snapshots with the same instances,
// incarnations and domains share its maps.
type index struct {
	generation    uint64
	byName        map[string]int
	byIncarnation map[string]int
	byDomain      map[string]span
}

// span is a range of positions, including start and excluding end.
type span struct{ start, end int }

func newIndex(all []*Peer) index {
	x := index{
		byName:        make(map[string]int, len(all)),
		byIncarnation: make(map[string]int, len(all)),
		byDomain:      map[string]span{},
	}
	for i, peer := range all {
		x.byName[peer.Name] = i
		if peer.Incarnation != "" {
			x.byIncarnation[peer.Incarnation] = i
		}
		domain, ok := x.byDomain[peer.FailureDomain]
		if !ok {
			domain.start = i
		}
		domain.end = i + 1
		x.byDomain[peer.FailureDomain] = domain
	}
	return x
}

// NewPeers returns a snapshot of the given instances, for programs that don't
// use a Registry.
func NewPeers(self Peer, all []*Peer) *Peers {
	sorted := slices.SortedFunc(slices.Values(all), comparePeers)
	p := &Peers{Self: self, All: sorted, index: newIndex(sorted)}
	p.setLeaders()
	return p
}

func comparePeers(a, b *Peer) int {
	return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
}

// Generation returns a number that is the same in snapshots of one Registry that have the same
// instances, incarnations and failure domains.
func (p *Peers) Generation() uint64 { return p.index.generation }

// ByName returns the peer with the name, or nil.
func (p *Peers) ByName(name string) *Peer { return p.at(p.index.byName, name) }

// ByIncarnation returns the peer with the incarnation, or nil. A peer whose
// incarnation is not known, because only the platform's list contains it, is found by
// the name in the incarnation, if NewIncarnation made it.
func (p *Peers) ByIncarnation(incarnation string) *Peer {
	if peer := p.at(p.index.byIncarnation, incarnation); peer != nil {
		return peer
	}
	peer := p.ByName(nameOf(incarnation))
	if peer == nil || peer.Incarnation != "" {
		return nil
	}
	return peer
}

// Ring returns the names of the usable peers in the order of All, and the position in it
// that self would have.
func (p *Peers) Ring() (names []string, position int) {
	for _, peer := range p.All {
		if !peer.Usable() {
			continue
		}
		if comparePeers(peer, &p.Self) < 0 {
			position++
		}
		names = append(names, peer.Name)
	}
	return names, position
}

func (p *Peers) at(positions map[string]int, key string) *Peer {
	i, ok := positions[key]
	if !ok {
		return nil
	}
	return p.All[i]
}

// InDomain returns the peers of the failure domain, sorted by name. The slice
// must not be changed.
func (p *Peers) InDomain(domain string) []*Peer {
	s := p.index.byDomain[domain]
	return p.All[s.start:s.end]
}
