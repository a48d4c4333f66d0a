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

// requestLoans requests the tokens that customers lack at this instance from peers.
func (c *control) requestLoans(now time.Time) {
	for _, request := range c.deps.limiter.PlanLoans(now) {
		peer := c.peerByAddress(request.Peer)
		if peer == nil {
			c.deps.limiter.LoanLost(now, request.ID)
			continue
		}
		address, version := peer.RPCAddress, c.member.Acknowledged()
		c.background(lending.Timeout, func(ctx context.Context) event {
			lending.Borrow(ctx, c.deps.peers, c.deps.limiter, address, c.deps.identity, version, request)
			return nil
		})
	}
}

// maxLenders is the maximum number of peers that are asked for loans.
const maxLenders = 64

// lenders returns the nearest usable peers, at most maxLenders, nearest first.
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
