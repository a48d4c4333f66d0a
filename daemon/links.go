package daemon

import (
	"sync/atomic"
	"time"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/units"
)

// defaultLinkShare is the part of a link that requests may use.
const defaultLinkShare units.Share = 0.5

// linkSet holds the budgets of the links to other regions. Traffic goroutines
// read it while the control goroutine updates it.
type linkSet struct {
	current atomic.Pointer[map[string]balancing.Link]
}

func newLinkSet() *linkSet {
	s := &linkSet{}
	s.current.Store(&map[string]balancing.Link{})
	return s
}

// to returns the budgets of the link to the region; the zero value has no bound.
func (s *linkSet) to(region string) balancing.Link { return (*s.current.Load())[region] }

// update follows the configured links and the number of instances of the own
// region, which share them equally.
func (s *linkSet) update(table *routing.Table, peers *membership.Peers, now time.Time) {
	region := peers.Self.Region
	instances := 1
	for _, p := range peers.All {
		if p.Region == region && p.Usable() {
			instances++
		}
	}
	old := *s.current.Load()
	next := map[string]balancing.Link{}
	for _, l := range table.Set.Links {
		other, ok := otherEnd(l, region)
		if ok {
			next[other] = resized(old[other], l, instances, now)
		}
	}
	s.current.Store(&next)
}

func otherEnd(l dynamic.Link, region string) (string, bool) {
	switch region {
	case l.Between[0]:
		return l.Between[1], true
	case l.Between[1]:
		return l.Between[0], true
	}
	return "", false
}

func resized(link balancing.Link, l dynamic.Link, instances int, now time.Time) balancing.Link {
	share := l.Share
	if share == 0 {
		share = defaultLinkShare
	}
	if link.Out == nil {
		link.Out = balancing.NewLinkBudget(l.Bandwidth, share, instances, now)
		link.In = balancing.NewLinkBudget(l.Bandwidth, share, instances, now)
		return link
	}
	link.Out.Resize(l.Bandwidth, share, instances, now)
	link.In.Resize(l.Bandwidth, share, instances, now)
	return link
}
