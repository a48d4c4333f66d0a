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

// defaultLinkShare is the share of a link's bandwidth that requests may use,
// unless the link sets one.
const defaultLinkShare units.Share = 0.5

// linkSet holds the budgets of the links from the local region to other regions.
// Traffic goroutines read it while the control goroutine updates it.
type linkSet struct {
	current atomic.Pointer[map[string]balancing.Link]
}

func newLinkSet() *linkSet {
	s := &linkSet{}
	s.current.Store(&map[string]balancing.Link{})
	return s
}

// budgets returns the budgets of the link to the region; the zero value has no
// limit.
func (s *linkSet) budgets(region string) balancing.Link { return (*s.current.Load())[region] }

// update resizes the budgets to the configured links and the number of usable
// instances in the local region, which share each link equally.
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
			next[other] = resizedLink(old[other], l, instances, now)
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

func resizedLink(link balancing.Link, l dynamic.Link, instances int, now time.Time) balancing.Link {
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
