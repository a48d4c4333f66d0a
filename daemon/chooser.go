package daemon

import (
	"slices"
	"time"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/relay"
	"samphireferry.example/ferry/routing"
)

// chooser selects the version and the targets of each request. It implements
// dispatch.Chooser.
type chooser struct {
	views *views
	local *localTarget
	relay *relay.Client
}

// Choose implements dispatch.Chooser.
func (c *chooser) Choose(request *dispatch.Request) dispatch.Choice {
	v := c.views.load()
	service := request.Route.Service
	version, fallback := chooseVersion(v, service, request.Route.Name)
	domain, _ := v.splits.Domain(service.Name, v.peers.Self.FailureDomain)
	return dispatch.Choice{
		Version:  version,
		Fallback: fallback,
		Targets: func(version string) []dispatch.Target {
			return c.targets(c.views.load(), service, version, domain)
		},
	}
}

// chooseVersion returns the version for one request, and the version to fall
// back to when that one has no capacity.
func chooseVersion(v *view, service *routing.Service, route string) (version, fallback string) {
	split := v.splits.Version(service.Name)
	if split == nil {
		return service.StableVersion, ""
	}
	version, isNew := split.Next(route)
	if !isNew {
		return version, ""
	}
	return version, split.From
}

// targets returns the targets that serve the version, best first. Targets in the
// selected failure domain come first.
func (c *chooser) targets(v *view, service *routing.Service, version, domain string) []dispatch.Target {
	key := balancing.VersionKey{Service: service.Name, Version: version}
	chooser := v.choosers[key]
	if chooser == nil {
		return nil
	}
	var localLoad balancing.PoolLoad
	if owned := v.pools.Get(key); owned != nil {
		localLoad = owned.Pool.Load()
	}
	names := chooser.Order(time.Now(), localLoad, service.Deferrable)
	names = withLocalFallback(v, names, localLoad.Slots > 0)
	if domain == v.peers.Self.FailureDomain {
		names = withoutDestinations(v, names, service.Name)
	} else {
		names = domainFirst(v.peers, names, domain)
	}
	targets := make([]dispatch.Target, 0, len(names))
	for _, name := range names {
		if name == v.peers.Self.Name {
			targets = append(targets, c.local)
			continue
		}
		if p := v.peers.ByName(name); p != nil {
			targets = append(targets, &remoteTarget{relay: c.relay, chooser: chooser, name: name, address: p.RPCAddress})
		}
	}
	return targets
}

// withLocalFallback appends this instance if it owns upstreams of the version and
// is not in names: its queue may accept the request when all peers refuse it.
func withLocalFallback(v *view, names []string, ownsUpstreams bool) []string {
	self := v.peers.Self.Name
	if ownsUpstreams && !slices.Contains(names, self) {
		names = append(names, self)
	}
	return names
}

// withoutDestinations removes the instances of failure domains that are the
// destination of a move, so that requests that were not selected for the move do
// not exceed its share. If no other instance serves the version, the list is
// returned unchanged.
func withoutDestinations(v *view, names []string, service string) []string {
	self := v.peers.Self
	kept := make([]string, 0, len(names))
	for _, name := range names {
		p := v.peers.ByName(name)
		if p == nil || !v.splits.IsDestination(service, self.FailureDomain, p.FailureDomain) {
			kept = append(kept, name)
		}
	}
	if len(kept) == 0 {
		return names
	}
	return kept
}

// domainFirst returns the names with the instances of the failure domain first.
func domainFirst(peers *membership.Peers, names []string, domain string) []string {
	sorted := slices.Clone(names)
	rank := func(name string) int {
		p := peers.ByName(name)
		if p != nil && p.FailureDomain == domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(sorted, func(a, b string) int { return rank(a) - rank(b) })
	return sorted
}

// distanceTo returns the distance class of a peer.
func distanceTo(peers *membership.Peers, p *membership.Peer) admission.Distance {
	switch {
	case p.FailureDomain == peers.Self.FailureDomain:
		return admission.SameDomain
	case p.Region == peers.Self.Region:
		return admission.SameRegion
	default:
		return admission.OtherRegion
	}
}
