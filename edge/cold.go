package edge

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/registry"
)

const (
	// maxColdSenders bounds the instances that send to one cold upstream. Each may send
	// one request at once, so their number bounds the requests that arrive together.
	maxColdSenders = 5
	// coldMargin is added to the time for which an upstream is cold, since the
	// upstream's report may arrive late.
	coldMargin = 500 * time.Millisecond
)

// coldUpstreams holds the upstreams that have a limit because they are cold.
type coldUpstreams struct {
	// until holds the end of the limit of each, by id.
	until map[string]time.Time
	// generation is that of the peers for which the limits were set.
	generation uint64
	// allDirty requests a look at all upstreams: the configuration has changed, or an
	// evacuation has ended.
	allDirty bool
}

// updateCold sets the limits of the upstreams that have changed, or of all when the
// configuration has changed or an evacuation has ended.
func (c *control) updateCold(now time.Time, changed []*registry.Upstream) {
	updated := slices.Values(changed)
	if c.cold.allDirty {
		c.cold.allDirty = false
		updated = c.upstreams.Each()
	}
	peers := c.members.Snapshot(now)
	for u := range updated {
		c.setCold(now, peers, u)
	}
}

// refreshCold follows the changes of the peers that share the rates of the cold upstreams, and
// removes the limits that are over.
func (c *control) refreshCold(now time.Time) {
	peers := c.members.Snapshot(now)
	changed := peers.Generation() != c.cold.generation
	c.cold.generation = peers.Generation()
	for id, until := range c.cold.until {
		if u := c.upstreams.Get(id); u != nil && (changed || !now.Before(until)) {
			c.setCold(now, peers, u)
		}
	}
}

// setCold sets the limit of an upstream if it is cold, or removes it.
func (c *control) setCold(now time.Time, peers *membership.Peers, u *registry.Upstream) {
	limit, cold := c.coldLimit(now, peers, u)
	_, known := c.cold.until[u.ID]
	switch {
	case cold:
		c.cold.until[u.ID] = limit.Until
		c.deps.pool.SetCold(u.ID, limit)
	case known:
		delete(c.cold.until, u.ID)
		c.deps.pool.SetCold(u.ID, placement.ColdLimit{})
	}
}

// coldLimit returns the limit of this instance for the upstream, or false if that is not cold.
// The nearest instances, up to maxColdSenders, share the upstream's cold rate.
func (c *control) coldLimit(now time.Time, peers *membership.Peers, u *registry.Upstream) (placement.ColdLimit, bool) {
	if c.table == nil {
		return placement.ColdLimit{}, false
	}
	service := c.table.Service(u.Service)
	if service == nil || service.ColdRate <= 0 {
		return placement.ColdLimit{}, false
	}
	// An entry that shows the upstream as warm says nothing about the time before, so there is no
	// margin for it either. With one, an instance that had just read all entries refused most
	// requests for coldMargin.
	var until time.Time
	if u.ColdFor > 0 {
		until = u.ColdUntil
	}
	if ended, ok := c.evacuationEnded[u.FailureDomain]; ok {
		until = latest(until, ended.Add(service.ColdFor))
	}
	until = until.Add(coldMargin)
	if !now.Before(until) {
		return placement.ColdLimit{}, false
	}
	limit := placement.ColdLimit{Until: until}
	if senders, sends := coldSenders(peers, c.deps.settings.Domains, u); sends {
		limit.Rate = service.ColdRate / float64(senders)
	}
	return limit, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldSenders returns the number of instances that send to the cold upstream, and
// whether this instance is one of them.
func coldSenders(peers *membership.Peers, regions map[string]string, u *registry.Upstream) (int, bool) {
	distance := func(p *membership.Peer) int {
		switch {
		case p.FailureDomain == u.FailureDomain:
			return 0
		case p.Region == regions[u.FailureDomain]:
			return 1
		}
		return 2
	}
	rank := func(p *membership.Peer) uint64 { return xxhash.Sum64String(p.Name + u.ID) }
	selfDistance, selfRank := distance(&peers.Self), rank(&peers.Self)
	nearer := 0
	for _, p := range peers.All {
		if d := distance(p); d < selfDistance || d == selfDistance && rank(p) < selfRank {
			nearer++
		}
		if nearer == maxColdSenders {
			break
		}
	}
	return min(len(peers.All)+1, maxColdSenders), nearer < maxColdSenders
}
