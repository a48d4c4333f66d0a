package daemon

import (
	"cmp"
	"context"
	"slices"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/relay"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

// maxRelays bounds the other instances that are tried for one request.
const maxRelays = 3

// chooser decides where each request goes. It implements dispatch.Chooser.
type chooser struct {
	views *views
	local *localTarget
	relay *relay.Client
}

// remoteTarget sends requests to another entry instance.
type remoteTarget struct {
	relay   *relay.Client
	address string
}

// Send implements dispatch.Target.
func (t *remoteTarget) Send(ctx context.Context, request *dispatch.Request, version string) (*dispatch.Answer, error) {
	return t.relay.Send(ctx, t.address, request, version)
}

// Choose implements dispatch.Chooser.
func (c *chooser) Choose(request *dispatch.Request) dispatch.Choice {
	v := c.views.load()
	service := request.Route.Service
	version, fallback := chooseVersion(v, service, request.Route.Name)
	domain, _ := v.splits.Domain(service.Name, v.peers.Self.FailureDomain)
	choice := dispatch.Choice{Version: version, Targets: c.targets(v, service.Name, version, domain)}
	if fallback != "" {
		choice.Fallback = fallback
		choice.FallbackTargets = c.targets(v, service.Name, fallback, domain)
	}
	return choice
}

// chooseVersion returns the version for one request, and the version to fall
// back to when that one has no room.
func chooseVersion(v *view, service *routing.Service, route string) (version, fallback string) {
	split := v.splits.Version(service.Name)
	if split == nil {
		return stableVersion(service), ""
	}
	version, isNew := split.Next(route)
	if !isNew {
		return version, ""
	}
	return version, split.From
}

// stableVersion is the version of a service without a roll-out: the only one,
// or the first by name.
func stableVersion(service *routing.Service) string {
	if len(service.Versions) == 0 {
		return ""
	}
	return service.Versions[0]
}

// targets returns the places that serve the version, nearest first, beginning
// with the failure domain that was chosen.
func (c *chooser) targets(v *view, service, version, domain string) []dispatch.Target {
	var targets []dispatch.Target
	pool := v.pools[poolKey{service, version}]
	own := pool != nil && pool.Load().Slots > 0
	if own && domain == v.peers.Self.FailureDomain {
		targets = append(targets, c.local)
	}
	for _, p := range relayPeers(v.peers, service, version, domain) {
		targets = append(targets, &remoteTarget{relay: c.relay, address: p.RPCAddress})
	}
	if own && domain != v.peers.Self.FailureDomain {
		targets = append(targets, c.local)
	}
	return targets
}

type candidate struct {
	peer     *membership.Peer
	distance admission.Distance
	chosen   bool
	free     int
}

// relayPeers returns the instances that own upstreams of the version, those of
// the chosen failure domain first, then the nearest, then those with most room.
func relayPeers(peers *membership.Peers, service, version, domain string) []*membership.Peer {
	var candidates []candidate
	for _, p := range peers.All {
		load := loadOf(p, service, version)
		if load == nil || load.GetSlots() == 0 || !p.Usable() {
			continue
		}
		candidates = append(candidates, candidate{
			peer:     p,
			distance: distanceTo(peers, p),
			chosen:   p.FailureDomain == domain,
			free:     int(load.GetSlots()) - int(load.GetInUse()),
		})
	}
	slices.SortFunc(candidates, compareCandidates)
	var chosen []*membership.Peer
	for _, c := range candidates[:min(len(candidates), maxRelays)] {
		chosen = append(chosen, c.peer)
	}
	return chosen
}

func compareCandidates(a, b candidate) int {
	if a.chosen != b.chosen {
		if a.chosen {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.free, a.free))
}

func loadOf(p *membership.Peer, service, version string) *entrypb.ServiceLoad {
	for _, load := range p.State.GetLoads() {
		if load.GetService() == service && load.GetVersion() == version {
			return load
		}
	}
	return nil
}

// distanceTo returns how far a peer is.
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
