package admission

import (
	"slices"
	"time"
)

// LoanRequest is one message to one peer.
type LoanRequest struct {
	// ID names the loan in Granted and LoanLost.
	ID    uint64
	Peer  string
	Items []Item
}

// loan is a request that has not been answered.
type loan struct {
	request LoanRequest
	peer    *peerState
	at      time.Time
}

// PlanLoans serves waiting requests from the own buckets and returns the loan
// requests to send now. It is called at a steady interval of a few tens of
// milliseconds, and at once after Wanted signals. Loans that were not answered
// within LoanTimeout count as lost.
func (l *Limiter) PlanLoans(now time.Time) []LoanRequest {
	if !l.usable(now) || l.settings.NoLoans {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoans(now)
	peers := l.inTurn()
	requests := map[*peerState]*LoanRequest{}
	for _, b := range l.buckets.Load().list {
		if !b.active.Load() {
			continue
		}
		n := l.need(now, b)
		if n.reserve > 0 || n.spend > 0 {
			l.spread(now, n, peers, requests)
		}
	}
	return l.send(now, peers, requests)
}

// Wanted receives when a request waits that no plan has covered yet.
func (l *Limiter) Wanted() <-chan struct{} { return l.wake }

// spread divides a need over the peers that may have tokens, in few messages:
// the nearest peer that can probably lend all of it, or else the one that can
// lend most, and so on for the rest.
func (l *Limiter) spread(now time.Time, n need, peers []*peerState, requests map[*peerState]*LoanRequest) {
	for n.reserve > rounding || n.spend > rounding {
		p, expected := best(now, n, peers, requests)
		if p == nil {
			return
		}
		item := Item{Customer: n.bucket.customer, Spend: min(n.spend, expected)}
		item.Reserve = min(n.reserve, expected-item.Spend)
		if requests[p] == nil {
			requests[p] = &LoanRequest{Peer: p.Name}
		}
		requests[p].Items = append(requests[p].Items, item)
		n.spend = positive(n.spend - item.Spend)
		n.reserve = positive(n.reserve - item.Reserve)
		if n.reserve < smallestAsked {
			n.reserve = 0
		}
	}
}

// best returns the peer to ask for a need, and what to expect of it.
func best(now time.Time, n need, peers []*peerState, requests map[*peerState]*LoanRequest) (*peerState, float64) {
	var found *peerState
	most := n.least()
	for _, p := range peers {
		if !p.canAsk(now) || !holds(n.holders, p.Name) || asks(requests[p], n.bucket.customer) {
			continue
		}
		expected := p.hint(now, n).expected(now, n)
		if expected >= n.reserve+n.spend {
			return p, expected
		}
		if expected >= most {
			found, most = p, expected
		}
	}
	return found, most
}

// asks says whether the request has an item of the customer, which is the last
// one if there is any.
func asks(request *LoanRequest, customer string) bool {
	return request != nil && request.Items[len(request.Items)-1].Customer == customer
}

func holds(holders []string, name string) bool {
	return holders == nil || slices.Contains(holders, name)
}

// send records the requests that the message rate allows as outstanding loans.
func (l *Limiter) send(now time.Time, peers []*peerState, requests map[*peerState]*LoanRequest) []LoanRequest {
	var sent []LoanRequest
	for _, p := range peers {
		request := requests[p]
		if request == nil || !l.messages.AllowN(now, 1) {
			continue
		}
		l.lastLoan++
		request.ID = l.lastLoan
		l.loans[request.ID] = &loan{request: *request, peer: p, at: now}
		p.asked = true
		for _, item := range request.Items {
			l.reserve(item)
		}
		sent = append(sent, *request)
	}
	return sent
}

// reserve keeps the room of one item of a loan. A share that was cut since the
// plan leaves less room.
func (l *Limiter) reserve(item Item) {
	b := l.Bucket(item.Customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	room := float64(b.share.Burst) - b.level - b.reserved
	b.reserve(min(item.Reserve, positive(room)))
	b.spendAsked += item.Spend
}

// Granted takes in the answer to a loan request. An answer to a loan that is
// not outstanding is dropped.
func (l *Limiter) Granted(now time.Time, id uint64, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loan := l.end(id)
	if loan == nil {
		return
	}
	loan.peer.silent.reset()
	byCustomer := make(map[string]Grant, len(grants))
	for _, g := range grants {
		byCustomer[g.Customer] = g
	}
	for _, item := range loan.request.Items {
		g := byCustomer[item.Customer]
		l.settle(now, item, g)
		if h := loan.peer.hints[item.Customer]; h != nil {
			h.learn(now, g)
		}
	}
}

// LoanLost gives up a loan whose answer did not come. An answer that comes
// later is dropped, and the tokens in it are lost.
func (l *Limiter) LoanLost(now time.Time, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose(now, id)
}

func (l *Limiter) lose(now time.Time, id uint64) {
	loan := l.end(id)
	if loan == nil {
		return
	}
	loan.peer.silent.extend(now)
	for _, item := range loan.request.Items {
		l.settle(now, item, Grant{})
	}
}

// end removes a loan from those outstanding.
func (l *Limiter) end(id uint64) *loan {
	loan := l.loans[id]
	if loan == nil {
		return nil
	}
	delete(l.loans, id)
	loan.peer.asked = false
	return loan
}

// settle ends the reservation of one item and uses what was granted.
func (l *Limiter) settle(now time.Time, item Item, g Grant) {
	b := l.Bucket(item.Customer)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.deposit(positive(g.Reserve), item.Reserve)
	b.spendAsked = positive(b.spendAsked - item.Spend)
	b.serveSpend(min(positive(g.Spend), item.Spend))
	b.serveOwn()
	l.settings.Checker.Check(b.within(), InvariantRoom, b.customer)
}

func (l *Limiter) expireLoans(now time.Time) {
	for id, loan := range l.loans {
		if now.Sub(loan.at) >= l.settings.LoanTimeout {
			l.lose(now, id)
		}
	}
}

// forgetLoans drops all outstanding loans.
func (l *Limiter) forgetLoans() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.loans {
		l.end(id)
	}
}
