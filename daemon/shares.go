package daemon

import (
	"time"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/sharetable"
)

// heardShares takes in the share table version of a peer.
func (c *control) heardShares(now time.Time, answer sharetable.Answer) {
	confirmed := c.member.Confirmed()
	c.member.Heard(answer)
	c.shareDriver.Ack(now, answer)
	if c.member.Confirmed() != confirmed {
		c.applyShares(now)
	}
}

// adoptShares takes in a stored share table from any source.
func (c *control) adoptShares(now time.Time, data []byte) {
	table, err := sharetable.Decode(data)
	if err != nil {
		c.parts.log.Error("share table cannot be read", errorField(err))
		return
	}
	confirmed := c.member.Confirmed()
	if c.member.Adopt(table) || c.member.Confirmed() != confirmed {
		c.applyShares(now)
		c.dirty = true
	}
}

// sharesReadFromStore reports that the store itself had no newer share table.
func (c *control) sharesReadFromStore(now, asked time.Time) {
	if c.member.Table() == nil || c.member.Confirmed() {
		return
	}
	c.member.ReadFromStore(asked, c.member.Version())
	if c.member.Confirmed() {
		c.applyShares(now)
	}
}

// setShareView tells the driver which instances are there.
func (c *control) setShareView(now time.Time) {
	self := c.parts.identity
	candidates := []sharetable.Candidate{{
		Name:         self.GetAddress(),
		Incarnation:  self.GetIncarnation(),
		WitnessGroup: c.witnessGroup(self.GetFailureDomain(), self.GetRegion()),
		Listed:       c.listed[self.GetAddress()],
		Reachable:    true,
		Leaving:      c.leaving,
	}}
	for _, p := range c.owners.peers.All {
		candidates = append(candidates, c.shareCandidate(p))
	}
	listRead := !c.listRead.IsZero() && now.Sub(c.listRead) < 3*listInterval
	c.shareDriver.SetMembers(now, sharetable.View{Candidates: candidates, ListRead: listRead})
	answer := c.member.Answer()
	answer.AskedAt = now
	c.shareDriver.Ack(now, answer)
}

// shareCandidate describes a peer to the driver. One that has never been heard
// is not reachable, but the platform's list may show that it is there.
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

// witnessGroup names the instances that vouch for each other's tables: those of
// the region in a small fleet, where a failure domain may have a single
// instance, and those of the failure domain in a large one.
func (c *control) witnessGroup(domain, region string) string {
	if len(c.owners.peers.All) < membership.FullMeshLimit {
		return "region/" + region
	}
	return "domain/" + domain
}

// peerByAddress returns the peer with the caller address, or nil.
func (c *control) peerByAddress(address string) *membership.Peer {
	for _, p := range c.owners.peers.All {
		if p.Address == address {
			return p
		}
	}
	return nil
}
