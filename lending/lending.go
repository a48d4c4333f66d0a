// Package lending translates loans of tokens between package admission and the
// messages of entry instances, and makes the calls.
package lending

import (
	"context"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Timeout bounds one loan request; the limiter gives up earlier.
const Timeout = 500 * time.Millisecond

// Borrow asks the peer at the address for the tokens of the request and gives
// the answer to the limiter, which takes it from any goroutine. The version is
// that of the share table of the borrower, 0 without one.
func Borrow(ctx context.Context, peers *entryinstance.Pool, limiter *admission.Limiter, address string, self *entrypb.Identity, version uint64, request admission.LoanRequest) {
	client, err := peers.Client(address)
	if err != nil {
		limiter.LoanLost(time.Now(), request.ID)
		return
	}
	response, err := client.Lend(ctx, message(self, version, request))
	if err != nil {
		limiter.LoanLost(time.Now(), request.ID)
		return
	}
	limiter.Granted(time.Now(), request.ID, grantsOf(response))
}

// Lend answers the request of a borrower out of the buckets of the limiter.
func Lend(limiter *admission.Limiter, request *entrypb.LendRequest) *entrypb.LendResponse {
	grants := limiter.Lend(time.Now(), itemsOf(request))
	return &entrypb.LendResponse{
		Grants: lo.Map(grants, func(g admission.Grant, _ int) *entrypb.TokenGrant {
			return &entrypb.TokenGrant{Customer: g.Customer, Reserve: g.Reserve, Spend: g.Spend, Remaining: g.Remaining}
		}),
	}
}

func message(self *entrypb.Identity, version uint64, request admission.LoanRequest) *entrypb.LendRequest {
	return &entrypb.LendRequest{
		Borrower:     self.GetName(),
		Incarnation:  self.GetIncarnation(),
		ShareVersion: version,
		Requests: lo.Map(request.Items, func(item admission.Item, _ int) *entrypb.TokenRequest {
			return &entrypb.TokenRequest{Customer: item.Customer, Reserve: item.Reserve, Spend: item.Spend}
		}),
	}
}

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

func itemsOf(request *entrypb.LendRequest) []admission.Item {
	return lo.Map(request.GetRequests(), func(r *entrypb.TokenRequest, _ int) admission.Item {
		return admission.Item{Customer: r.GetCustomer(), Reserve: r.GetReserve(), Spend: r.GetSpend()}
	})
}
