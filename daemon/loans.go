package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// loanTimeout bounds one loan request; the limiter gives up earlier.
const loanTimeout = 500 * time.Millisecond

// sendLoans asks peers for the tokens that the customers here lack.
func (c *control) sendLoans(now time.Time) {
	for _, request := range c.parts.limiter.PlanLoans(now) {
		peer := c.peerByAddress(request.Peer)
		if peer == nil {
			c.parts.limiter.LoanLost(now, request.ID)
			continue
		}
		message := loanMessage(c.parts.identity, c.member.Acknowledged(), request)
		address := peer.RPCAddress
		c.background(loanTimeout, func(ctx context.Context) event {
			c.borrow(ctx, address, request.ID, message)
			return nil
		})
	}
}

// borrow makes one loan request. The limiter takes answers from any goroutine.
func (c *control) borrow(ctx context.Context, address string, id uint64, message *entrypb.LendRequest) {
	client, err := c.parts.peers.Client(address)
	if err != nil {
		c.parts.limiter.LoanLost(time.Now(), id)
		return
	}
	response, err := client.Lend(ctx, message)
	if err != nil {
		c.parts.limiter.LoanLost(time.Now(), id)
		return
	}
	c.parts.limiter.Granted(time.Now(), id, grantsOf(response))
}

func loanMessage(self *entrypb.Identity, version uint64, request admission.LoanRequest) *entrypb.LendRequest {
	message := &entrypb.LendRequest{
		Borrower:     self.GetName(),
		Incarnation:  self.GetIncarnation(),
		ShareVersion: version,
	}
	for _, item := range request.Items {
		message.Requests = append(message.Requests, &entrypb.TokenRequest{
			Customer: item.Customer,
			Reserve:  item.Reserve,
			Spend:    item.Spend,
		})
	}
	return message
}

func grantsOf(response *entrypb.LendResponse) []admission.Grant {
	grants := make([]admission.Grant, 0, len(response.GetGrants()))
	for _, g := range response.GetGrants() {
		grants = append(grants, admission.Grant{
			Customer:  g.GetCustomer(),
			Reserve:   g.GetReserve(),
			Spend:     g.GetSpend(),
			Remaining: g.GetRemaining(),
		})
	}
	return grants
}

func itemsOf(request *entrypb.LendRequest) []admission.Item {
	items := make([]admission.Item, 0, len(request.GetRequests()))
	for _, r := range request.GetRequests() {
		items = append(items, admission.Item{
			Customer: r.GetCustomer(),
			Reserve:  r.GetReserve(),
			Spend:    r.GetSpend(),
		})
	}
	return items
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
