package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/lending"
	"samphireferry.example/ferry/membership"
)

// sendLoans asks peers for the tokens that the customers here lack.
func (c *control) sendLoans(now time.Time) {
	for _, request := range c.parts.limiter.PlanLoans(now) {
		peer := c.peerByAddress(request.Peer)
		if peer == nil {
			c.parts.limiter.LoanLost(now, request.ID)
			continue
		}
		address, version := peer.RPCAddress, c.member.Acknowledged()
		c.background(lending.Timeout, func(ctx context.Context) event {
			lending.Borrow(ctx, c.parts.peers, c.parts.limiter, address, c.parts.identity, version, request)
			return nil
		})
	}
}

// maxLenders bounds the peers that are asked for loans.
const maxLenders = 64

// lenders returns the nearest peers that can be asked for loans.
func lenders(peers *membership.Peers) []admission.Peer {
	var all []admission.Peer
	for _, p := range peers.All {
		if !p.Usable() {
			continue
		}
		all = append(all, admission.Peer{Name: p.Address, Distance: distanceTo(peers, p)})
	}
	slices.SortStableFunc(all, func(a, b admission.Peer) int { return cmp.Compare(a.Distance, b.Distance) })
	return all[:min(len(all), maxLenders)]
}
