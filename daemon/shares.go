package daemon

import (
	"time"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/sharetable"
)

// receiveShareVersion applies the share table version in a peer's response.
func (c *control) receiveShareVersion(now time.Time, response sharetable.MemberState) {
	confirmed := c.member.Confirmed()
	c.member.ObserveState(response)
	c.shareDriver.Ack(now, response)
	if c.member.Confirmed() != confirmed {
		c.applyShares(now)
	}
}

// adoptShares adopts a stored share table, which may come from the store or a peer.
func (c *control) adoptShares(now time.Time, data []byte) {
	table, err := sharetable.Decode(data)
	if err != nil {
		c.deps.log.Error("share table cannot be read", errorField(err))
		return
	}
	confirmed := c.member.Confirmed()
	if c.member.Adopt(table) || c.member.Confirmed() != confirmed {
		c.applyShares(now)
		c.dirty = true
	}
}

// sharesReadFromStore reports to the member that the store, read at requestedAt,
// had no newer share table.
func (c *control) sharesReadFromStore(now, requestedAt time.Time) {
	if c.member.Table() == nil || c.member.Confirmed() {
		return
	}
	c.member.ReadFromStore(requestedAt, c.member.Version())
	if c.member.Confirmed() {
		c.applyShares(now)
	}
}

// setShareView passes the instances of the fleet to the driver of the share table.
func (c *control) setShareView(now time.Time) {
	self := c.deps.identity
	candidates := []sharetable.Candidate{{
		Name:         self.GetAddress(),
		Incarnation:  self.GetIncarnation(),
		WitnessGroup: c.witnessGroup(self.GetFailureDomain(), self.GetRegion()),
		Listed:       c.listedAddresses[self.GetAddress()],
		Reachable:    true,
		Leaving:      c.leaving,
	}}
	for _, p := range c.ownership.peers.All {
		candidates = append(candidates, c.shareCandidate(p))
	}
	listRead := !c.listReadAt.IsZero() && now.Sub(c.listReadAt) < 3*listInterval
	c.shareDriver.SetMembers(now, sharetable.View{Candidates: candidates, ListRead: listRead})
	response := c.member.State()
	response.AskedAt = now
	c.shareDriver.Ack(now, response)
}

// shareCandidate describes a peer to the driver. A peer without any heartbeat yet
// is not reachable, but the platform's list may show that it exists.
func (c *control) shareCandidate(p *membership.Peer) sharetable.Candidate {
	return sharetable.Candidate{
		Name:         p.Address,
		Incarnation:  p.Incarnation,
		WitnessGroup: c.witnessGroup(p.FailureDomain, p.Region),
		Listed:       p.Listed,
		Reachable:    p.Usable() && p.Incarnation != "",
		Leaving:      p.Leaving,
	}
}

// witnessGroup returns the name of the group of instances that attest each other's
// tables: the region in a small fleet, where a failure domain may have a single
// instance, and the failure domain in a large fleet.
func (c *control) witnessGroup(domain, region string) string {
	if len(c.ownership.peers.All) < membership.FullMeshLimit {
		return "region/" + region
	}
	return "domain/" + domain
}

// peerByAddress returns the peer with the given caller address, or nil.
func (c *control) peerByAddress(address string) *membership.Peer {
	for _, p := range c.ownership.peers.All {
		if p.Address == address {
			return p
		}
	}
	return nil
}
