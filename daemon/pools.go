package daemon

import (
	"slices"
	"time"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/upstream"
)

// poolSet keeps the pools of the upstreams that this instance owns.
type poolSet struct {
	parts *parts
	table *routing.Table
	peers *membership.Peers
	// all is replaced, never changed, so that views can share it.
	all map[poolKey]*balancing.Pool
	// grants divide each pool among the instances that relay to it; choosers
	// order the owners for requests from here. Both are replaced, never changed.
	grants   map[poolKey]*balancing.Grants
	choosers map[poolKey]*balancing.Chooser
	links    *linkSet
	// owned are the upstreams of all pools.
	owned   []*routing.Upstream
	leaving map[string]bool
	// live are the instances among which the upstreams were divided.
	live []balancing.Instance
	// division numbers the divisions of the upstreams.
	division uint64
}

func newPoolSet(p *parts) *poolSet {
	return &poolSet{
		parts: p,
		peers: &membership.Peers{},
		all:   map[poolKey]*balancing.Pool{},
		links: newLinkSet(),
	}
}

func (s *poolSet) setTable(table *routing.Table) {
	s.table = table
	s.update()
	s.updateChoosers()
}

// setPeers divides the upstreams anew when the set of live instances changed.
func (s *poolSet) setPeers(peers *membership.Peers) {
	s.peers = peers
	live := liveInstances(peers)
	if !slices.Equal(live, s.live) {
		s.live = live
		s.update()
	}
	s.updateChoosers()
}

// setLeaving takes the names of the upstreams that the platform lists as leaving.
func (s *poolSet) setLeaving(names map[string]bool) {
	s.leaving = names
	for _, pool := range s.all {
		pool.SetLeaving(names)
	}
}

// observe passes the result of a probe to the pool of the upstream.
func (s *poolSet) observe(result balancing.ProbeResult) {
	for _, u := range s.owned {
		if u.Name == result.Upstream {
			s.all[poolKey{u.Service, u.Version}].Observe(result)
			return
		}
	}
}

// update divides the upstreams among the live instances anew.
func (s *poolSet) update() {
	if s.table == nil {
		return
	}
	s.division++
	next := map[poolKey]*balancing.Pool{}
	grants := map[poolKey]*balancing.Grants{}
	choosers := map[poolKey]*balancing.Chooser{}
	s.owned = nil
	s.links.update(s.table, s.peers, time.Now())
	for _, service := range s.table.Services {
		owned := balancing.Owned(s.peers.Self.Name, service.Upstreams, s.live)
		s.owned = append(s.owned, owned...)
		for _, version := range service.Versions {
			key := poolKey{service.Name, version}
			next[key] = s.pool(key, service)
			next[key].Update(ofVersion(owned, version))
			grants[key] = s.grantsOf(key)
			choosers[key] = s.chooserOf(key)
		}
	}
	s.all, s.grants, s.choosers = next, grants, choosers
	s.parts.upstreams.Retain(s.owned)
	s.parts.prober.Update(s.probeTargets())
}

func (s *poolSet) pool(key poolKey, service *routing.Service) *balancing.Pool {
	if pool := s.all[key]; pool != nil {
		return pool
	}
	pool := balancing.NewPool(balancing.PoolOptions{
		QueueTimeout: service.QueueTimeout,
		Checker:      s.parts.invariants,
	})
	pool.SetLeaving(s.leaving)
	return pool
}

func (s *poolSet) grantsOf(key poolKey) *balancing.Grants {
	if grants := s.grants[key]; grants != nil {
		return grants
	}
	return balancing.NewGrants(s.parts.invariants)
}

func (s *poolSet) chooserOf(key poolKey) *balancing.Chooser {
	if chooser := s.choosers[key]; chooser != nil {
		return chooser
	}
	self := s.parts.identity
	return balancing.NewChooser(balancing.ChooserOptions{
		Self:  balancing.Instance{Name: self.GetName(), FailureDomain: self.GetFailureDomain(), Region: self.GetRegion()},
		Links: s.links.to,
	})
}

// updateChoosers tells the choosers what the newest heartbeats say.
func (s *poolSet) updateChoosers() {
	loads := map[poolKey][]balancing.OwnerLoad{}
	for _, p := range s.peers.All {
		if !p.Usable() {
			continue
		}
		for _, load := range p.State.GetLoads() {
			key := poolKey{load.GetService(), load.GetVersion()}
			loads[key] = append(loads[key], ownerLoad(p, load))
		}
	}
	for key, chooser := range s.choosers {
		chooser.Update(loads[key])
	}
}

func ownerLoad(p *membership.Peer, load *entrypb.ServiceLoad) balancing.OwnerLoad {
	return balancing.OwnerLoad{
		Instance: balancing.Instance{Name: p.Name, FailureDomain: p.FailureDomain, Region: p.Region},
		Slots:    int(load.GetSlots()),
		InUse:    int(load.GetInUse()),
		Granted:  int(load.GetGranted()),
		At:       p.LastHeard,
	}
}

// divideGrants follows the demand of the instances that relay to this one.
func (s *poolSet) divideGrants() {
	for key, grants := range s.grants {
		grants.Divide(s.all[key].Load())
	}
}

// probeTargets lists the upstreams to probe.
func (s *poolSet) probeTargets() []upstream.ProbeTarget {
	targets := make([]upstream.ProbeTarget, 0, len(s.owned))
	for _, u := range s.owned {
		service := s.table.Service(u.Service)
		targets = append(targets, upstream.ProbeTarget{
			Upstream:   u.Name,
			Address:    u.Address,
			HealthPath: service.HealthPath,
			LoadPath:   service.LoadPath,
			Interval:   service.HealthInterval,
		})
	}
	return targets
}

// loads describes the pools in a heartbeat, without grants.
func (s *poolSet) loads() []*entrypb.ServiceLoad {
	var loads []*entrypb.ServiceLoad
	for key, pool := range s.all {
		load := pool.Load()
		if load.Slots == 0 && load.InUse == 0 {
			continue
		}
		loads = append(loads, &entrypb.ServiceLoad{
			Service: key.service,
			Version: key.version,
			Slots:   uint32(load.Slots),
			InUse:   uint32(load.InUse),
		})
	}
	return loads
}

func ofVersion(upstreams []*routing.Upstream, version string) []*routing.Upstream {
	var matching []*routing.Upstream
	for _, u := range upstreams {
		if u.Version == version {
			matching = append(matching, u)
		}
	}
	return matching
}

// liveInstances returns the instances that can own upstreams: this one and all
// that are neither silent nor leaving.
func liveInstances(peers *membership.Peers) []balancing.Instance {
	self := peers.Self
	instances := []balancing.Instance{{Name: self.Name, FailureDomain: self.FailureDomain, Region: self.Region}}
	for _, p := range peers.All {
		if p.Health != membership.Silent && !p.Leaving {
			instances = append(instances, balancing.Instance{Name: p.Name, FailureDomain: p.FailureDomain, Region: p.Region})
		}
	}
	return instances
}
