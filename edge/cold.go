package edge

import (
	"cmp"
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

// coldLimits returns the limits of this instance for each cold upstream by its ID. The
// nearest instances, up to maxColdSenders, share the upstream's cold rate.
func (c *control) coldLimits(now time.Time) map[string]placement.ColdLimit {
	limits := map[string]placement.ColdLimit{}
	if c.table == nil {
		return limits
	}
	peers := c.members.Snapshot(now)
	for _, u := range c.upstreams.All() {
		service := c.table.Service(u.Service)
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		until := u.ColdUntil
		if ended, ok := c.evacuationEnded[u.FailureDomain]; ok {
			until = latest(until, ended.Add(service.ColdFor))
		}
		until = until.Add(coldMargin)
		if !now.Before(until) {
			continue
		}
		limit := placement.ColdLimit{Until: until}
		if senders, sends := coldSenders(peers, c.deps.settings.Domains, u); sends {
			limit.Rate = service.ColdRate / float64(senders)
		}
		limits[u.ID] = limit
	}
	return limits
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
	all := append([]*membership.Peer{&peers.Self}, peers.All...)
	distance := func(p *membership.Peer) int {
		switch {
		case p.FailureDomain == u.FailureDomain:
			return 0
		case p.Region == regions[u.FailureDomain]:
			return 1
		}
		return 2
	}
	slices.SortFunc(all, func(a, b *membership.Peer) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(xxhash.Sum64String(a.Name+u.ID), xxhash.Sum64String(b.Name+u.ID)),
		)
	})
	senders := min(len(all), maxColdSenders)
	return senders, slices.Contains(all[:senders], &peers.Self)
}
