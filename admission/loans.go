package admission

import (
	"slices"
	"time"
)

// LoanRequest is one message to one peer.
type LoanRequest struct {
	// ID identifies the loan in Granted and LoanLost.
	ID uint64
	// Peer is the Name of the Peer to ask.
	Peer  string
	Items []Item
}

// loan is an outstanding loan request.
type loan struct {
	request LoanRequest
	peer    *peerState
	sentAt  time.Time
}

// PlanLoans serves waiting requests from this instance's buckets and returns the
// loan requests to send now. It must be called at a steady interval of a few tens of
// milliseconds, and without waiting for it after Wanted signals. Loans without a
// response within LoanTimeout are lost.
func (l *Limiter) PlanLoans(now time.Time) []LoanRequest {
	if !l.usable(now) || l.settings.NoLoans {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoans(now)
	peers := l.rotatedPeers()
	requests := map[*peerState]*LoanRequest{}
	for _, b := range l.buckets.Load().list {
		if !b.active.Load() {
			continue
		}
		n := l.need(now, b)
		if n.reserve > 0 || n.spend > 0 {
			l.distribute(now, n, peers, requests)
		}
	}
	return l.recordLoans(now, peers, requests)
}

// Wanted returns a channel that signals when a request waits that no plan has
// covered yet.
func (l *Limiter) Wanted() <-chan struct{} { return l.wanted }

// distribute divides a need among the peers that may have tokens, in few messages:
// it asks the nearest peer that can probably lend all of it, or else the one that can
// lend most, and repeats this for the rest.
func (l *Limiter) distribute(now time.Time, n need, peers []*peerState, requests map[*peerState]*LoanRequest) {
	for n.reserve > roundingTolerance || n.spend > roundingTolerance {
		p, expected := bestLender(now, n, peers, requests)
		if p == nil {
			return
		}
		item := Item{Customer: n.bucket.customer, Spend: min(n.spend, expected)}
		item.Reserve = min(n.reserve, expected-item.Spend)
		if requests[p] == nil {
			requests[p] = &LoanRequest{Peer: p.Name}
		}
		requests[p].Items = append(requests[p].Items, item)
		n.spend = nonNegative(n.spend - item.Spend)
		n.reserve = nonNegative(n.reserve - item.Reserve)
		if n.reserve < minRequestTokens {
			n.reserve = 0
		}
	}
}

// bestLender returns the peer to ask for a need, or nil, and the number of tokens
// to expect of it.
func bestLender(now time.Time, n need, peers []*peerState, requests map[*peerState]*LoanRequest) (*peerState, float64) {
	var lender *peerState
	most := n.minExpected()
	for _, p := range peers {
		if !p.canAsk(now) || !isHolder(n.holders, p.Name) || hasItem(requests[p], n.bucket.customer) {
			continue
		}
		expected := p.hint(now, n).expected(now, n)
		if expected >= n.reserve+n.spend {
			return p, expected
		}
		if expected >= most {
			lender, most = p, expected
		}
	}
	return lender, most
}

// hasItem reports whether the request has an item of the customer. Only the last
// item can be it, since customers are planned one after the other.
func hasItem(request *LoanRequest, customer string) bool {
	return request != nil && request.Items[len(request.Items)-1].Customer == customer
}

// isHolder reports whether the peer may own tokens: it is among the holders, or the
// customer has no list of holders.
func isHolder(holders []string, name string) bool {
	return holders == nil || slices.Contains(holders, name)
}

// recordLoans records the requests that the message rate allows as outstanding
// loans, and returns them. The others are dropped.
func (l *Limiter) recordLoans(now time.Time, peers []*peerState, requests map[*peerState]*LoanRequest) []LoanRequest {
	var sent []LoanRequest
	for _, p := range peers {
		request := requests[p]
		if request == nil || !l.messages.AllowN(now, 1) {
			continue
		}
		l.lastLoan++
		request.ID = l.lastLoan
		l.loans[request.ID] = &loan{request: *request, peer: p, sentAt: now}
		p.loanOutstanding = true
		for _, item := range request.Items {
			l.reserveItem(item)
		}
		sent = append(sent, *request)
	}
	return sent
}

// reserveItem reserves capacity for one item of a loan, less than requested if the
// share was cut since the plan.
func (l *Limiter) reserveItem(item Item) {
	b := l.Bucket(item.Customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	capacity := float64(b.share.Burst) - b.level - b.reserved
	b.reserve(min(item.Reserve, nonNegative(capacity)))
	b.spendRequested += item.Spend
}

// Granted records the response to a loan request. A response to a loan that is
// not outstanding is dropped.
func (l *Limiter) Granted(now time.Time, id uint64, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := l.removeLoan(id)
	if loan == nil {
		return
	}
	loan.peer.backoff.reset()
	byCustomer := make(map[string]Grant, len(grants))
	for _, g := range grants {
		byCustomer[g.Customer] = g
	}
	for _, item := range loan.request.Items {
		g := byCustomer[item.Customer]
		l.observeYield(now, item, g)
		l.completeItem(now, item, g)
		if h := loan.peer.hints[item.Customer]; h != nil {
			h.update(now, g)
		}
	}
}

// LoanLost abandons a loan whose response did not arrive. A response that arrives
// later is dropped, and the tokens in it are lost.
func (l *Limiter) LoanLost(now time.Time, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLoan(now, id)
}

// failLoan ends a loan without grants and extends the backoff of its peer.
func (l *Limiter) failLoan(now time.Time, id uint64) {
	loan := l.removeLoan(id)
	if loan == nil {
		return
	}
	loan.peer.backoff.extend(now)
	for _, item := range loan.request.Items {
		l.completeItem(now, item, Grant{})
	}
}

// removeLoan removes a loan from those outstanding. It returns nil if the loan isn't
// among them.
func (l *Limiter) removeLoan(id uint64) *loan {
	loan := l.loans[id]
	if loan == nil {
		return nil
	}
	delete(l.loans, id)
	loan.peer.loanOutstanding = false
	return loan
}

// completeItem releases the reservation of one item and uses the granted tokens.
func (l *Limiter) completeItem(now time.Time, item Item, g Grant) {
	b := l.Bucket(item.Customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.deposit(nonNegative(g.Reserve), item.Reserve)
	b.spendRequested = nonNegative(b.spendRequested - item.Spend)
	b.serveFromLoans(min(nonNegative(g.Spend), item.Spend))
	b.serveFromBucket()
	l.endFutileWaits(now, b)
	l.settings.Checker.Check(b.withinBurst(), InvariantWithinBurst, b.customer)
}

// expireLoans fails the loans without a response within LoanTimeout.
func (l *Limiter) expireLoans(now time.Time) {
	for id, loan := range l.loans {
		if now.Sub(loan.sentAt) >= l.settings.LoanTimeout {
			l.failLoan(now, id)
		}
	}
}

// dropLoans drops all outstanding loans. Their reservations end with
// Bucket.empty.
func (l *Limiter) dropLoans() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.loans {
		l.removeLoan(id)
	}
}
