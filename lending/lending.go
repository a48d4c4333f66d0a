// Package lending converts token loans between the types of package admission and
// the RPC messages of entry instances, and makes the RPC calls.
package lending

import (
	"context"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Timeout bounds the RPC of one loan request; the limiter abandons a loan earlier,
// after its LoanTimeout.
const Timeout = 500 * time.Millisecond

// Borrow requests tokens from the peer at the address and passes the grants, or the
// loss of the loan, to the limiter. It may run in any goroutine. shareVersion is the
// version of the borrower's share table, 0 without one.
func Borrow(ctx context.Context, peers *entryinstance.Pool, limiter *admission.Limiter, address string, self *entrypb.Identity, shareVersion uint64, request admission.LoanRequest) {
	client, err := peers.Client(address)
	if err != nil {
		limiter.LoanLost(time.Now(), request.ID)
		return
	}
	response, err := client.Lend(ctx, lendRequest(self, shareVersion, request))
	if err != nil {
		limiter.LoanLost(time.Now(), request.ID)
		return
	}
	limiter.Granted(time.Now(), request.ID, grantsOf(response))
}

// Lend grants tokens from the limiter's buckets to a borrower.
func Lend(limiter *admission.Limiter, request *entrypb.LendRequest) *entrypb.LendResponse {
	grants := limiter.Lend(time.Now(), itemsOf(request))
	return &entrypb.LendResponse{
		Grants: lo.Map(grants, func(g admission.Grant, _ int) *entrypb.TokenGrant {
			return &entrypb.TokenGrant{Customer: g.Customer, Reserve: g.Reserve, Spend: g.Spend, Remaining: g.Remaining}
		}),
	}
}

// lendRequest returns the RPC message for a loan request.
func lendRequest(self *entrypb.Identity, shareVersion uint64, request admission.LoanRequest) *entrypb.LendRequest {
	return &entrypb.LendRequest{
		Borrower:     self.GetName(),
		Incarnation:  self.GetIncarnation(),
		ShareVersion: shareVersion,
		Requests: lo.Map(request.Items, func(item admission.Item, _ int) *entrypb.TokenRequest {
			return &entrypb.TokenRequest{Customer: item.Customer, Reserve: item.Reserve, Spend: item.Spend}
		}),
	}
}

// grantsOf returns the grants in a response.
func grantsOf(response *entrypb.LendResponse) []admission.Grant {
	return lo.Map(response.GetGrants(), func(g *entrypb.TokenGrant, _ int) admission.Grant {
		return admission.Grant{
			Customer:  g.GetCustomer(),
			Reserve:   g.GetReserve(),
			Spend:     g.GetSpend(),
			Remaining: g.GetRemaining(),
		}
	})
}

// itemsOf returns the items that a borrower requests.
func itemsOf(request *entrypb.LendRequest) []admission.Item {
	return lo.Map(request.GetRequests(), func(r *entrypb.TokenRequest, _ int) admission.Item {
		return admission.Item{Customer: r.GetCustomer(), Reserve: r.GetReserve(), Spend: r.GetSpend()}
	})
}
