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

// ownership divides the upstreams among the live instances, holds the pools of
// those that this instance owns, and orders the owners for requests.
type ownership struct {
	deps  *dependencies
	table *routing.Table
	peers *membership.Peers
	// pools holds the upstreams that this instance owns.
	pools *balancing.Pools
	// choosers order the owners of each version for requests of this instance. The
	// map is replaced, never modified.
	choosers map[balancing.VersionKey]*balancing.Chooser
	links    *linkSet
	owned    []*routing.Upstream
	// live holds the instances among which the upstreams were divided.
	live []balancing.Instance
	// division is the number of divisions so far.
	division uint64
}

func newOwnership(deps *dependencies) *ownership {
	return &ownership{
		deps:  deps,
		peers: &membership.Peers{},
		pools: balancing.NewPools(balancing.PoolOptions{Checker: deps.invariants}),
		links: newLinkSet(),
	}
}

func (o *ownership) setTable(table *routing.Table) {
	o.table = table
	o.divide()
	o.updateChoosers()
}

// setPeers divides the upstreams again if the set of live instances has changed.
func (o *ownership) setPeers(peers *membership.Peers) {
	o.peers = peers
	live := liveInstances(peers)
	if !slices.Equal(live, o.live) {
		o.live = live
		o.divide()
	}
	o.updateChoosers()
}

func (o *ownership) divide() {
	if o.table == nil {
		return
	}
	o.division++
	o.owned = nil
	for _, service := range o.table.Services {
		o.owned = append(o.owned, balancing.Owned(o.peers.Self.Name, service.Upstreams, o.live)...)
	}
	o.pools.Update(o.table, o.owned)
	o.links.update(o.table, o.peers, time.Now())
	o.setChoosers()
	o.deps.upstreams.Retain(o.owned)
	o.deps.prober.Update(upstream.ProbeTargets(o.table, o.owned))
}

// setChoosers keeps one chooser for each version of each service: it creates the
// missing ones and drops the others.
func (o *ownership) setChoosers() {
	next := map[balancing.VersionKey]*balancing.Chooser{}
	for _, service := range o.table.Services {
		for _, version := range service.Versions {
			key := balancing.VersionKey{Service: service.Name, Version: version}
			next[key] = o.choosers[key]
			if next[key] == nil {
				next[key] = balancing.NewChooser(balancing.ChooserOptions{Self: selfInstance(o.peers), Links: o.links.budgets})
			}
		}
	}
	o.choosers = next
}

// updateChoosers passes the loads in the newest heartbeats to the choosers.
func (o *ownership) updateChoosers() {
	loads := map[balancing.VersionKey][]balancing.OwnerLoad{}
	for _, p := range o.peers.All {
		if !p.Usable() {
			continue
		}
		for _, load := range p.State.GetLoads() {
			key := keyOf(load)
			loads[key] = append(loads[key], ownerLoad(p, load))
		}
	}
	for key, chooser := range o.choosers {
		chooser.Update(loads[key])
	}
}

func keyOf(load *entrypb.ServiceLoad) balancing.VersionKey {
	return balancing.VersionKey{Service: load.GetService(), Version: load.GetVersion()}
}

func ownerLoad(p *membership.Peer, load *entrypb.ServiceLoad) balancing.OwnerLoad {
	return balancing.OwnerLoad{
		Instance: balancing.Instance{Name: p.Name, FailureDomain: p.FailureDomain, Region: p.Region},
		Slots:    int(load.GetSlots()),
		InUse:    int(load.GetInUse()),
		Granted:  int(load.GetGranted()),
		At:       p.LastSeen,
	}
}

// loads returns the loads of the pools for a heartbeat, without grants.
func (o *ownership) loads() []*entrypb.ServiceLoad {
	var loads []*entrypb.ServiceLoad
	for _, vp := range o.pools.All() {
		load := vp.Pool.Load()
		if load.Slots == 0 && load.InUse == 0 {
			continue
		}
		loads = append(loads, &entrypb.ServiceLoad{
			Service: vp.Key.Service,
			Version: vp.Key.Version,
			Slots:   uint32(load.Slots),
			InUse:   uint32(load.InUse),
		})
	}
	return loads
}

// loadPermille returns the used and queued slots of all pools as a fraction of all
// slots, in thousandths, at most 1000.
func (o *ownership) loadPermille() uint32 {
	slots, inUse := 0, 0
	for _, vp := range o.pools.All() {
		load := vp.Pool.Load()
		slots += load.Slots
		inUse += load.InUse + load.Queued
	}
	if slots == 0 {
		return 0
	}
	return uint32(min(1000, 1000*inUse/slots))
}

func selfInstance(peers *membership.Peers) balancing.Instance {
	self := peers.Self
	return balancing.Instance{Name: self.Name, FailureDomain: self.FailureDomain, Region: self.Region}
}

// liveInstances returns the instances that can own upstreams: this one and all
// peers that are neither silent nor leaving.
func liveInstances(peers *membership.Peers) []balancing.Instance {
	instances := []balancing.Instance{selfInstance(peers)}
	for _, p := range peers.All {
		if p.Health != membership.Silent && !p.Leaving {
			instances = append(instances, balancing.Instance{Name: p.Name, FailureDomain: p.FailureDomain, Region: p.Region})
		}
	}
	return instances
}
