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

// smallestAsked is the least number of tokens that is asked for.
const smallestAsked = 0.2

// loanTrip is the time of a loan for which room is left for the own rate.
const loanTrip = 50 * time.Millisecond

// The time between two requests to a peer that has too little, for a customer
// whose demand may be within its rate and for one whose demand is not.
const (
	gainPeriod     = 40 * time.Millisecond
	gainPeriodOver = 250 * time.Millisecond
)

// need is what one bucket lacks.
type need struct {
	bucket  *Bucket
	holders []string
	reserve float64
	spend   float64
	// equalBurst and equalRate are an equal part of the customer's burst and
	// rate for each instance that owns tokens.
	equalBurst float64
	equalRate  float64
	// over is set when the demand here alone exceeds the customer's rate.
	over bool
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
		n := l.need(now, b)
		if n.reserve > 0 || n.spend > 0 {
			l.spread(now, n, peers, requests)
		}
	}
	return l.send(now, peers, requests)
}

// Wanted receives when a request waits that no plan has covered yet.
func (l *Limiter) Wanted() <-chan struct{} { return l.wake }

// need serves the bucket's waiting requests and returns what it lacks.
func (l *Limiter) need(now time.Time, b *Bucket) need {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.demand.update(now)
	b.serveOwn()
	horizon := l.settings.Horizon
	b.serveSpend(0)
	waiting := float64(len(b.waiting)) - b.spendAsked - b.change
	ahead := max(waiting, b.wanted(horizon)) - b.level - b.reserved
	room := float64(b.share.Burst) - b.level - b.reserved - b.share.Rate*loanTrip.Seconds()
	owners := float64(len(l.peers) + 1)
	if b.share.Holders != nil {
		owners = float64(len(b.share.Holders))
	}
	n := need{
		bucket:     b,
		holders:    b.share.Holders,
		reserve:    positive(min(ahead, room)),
		equalBurst: max(1, float64(b.share.Customer.Burst)/owners),
		equalRate:  b.share.Customer.Rate / owners,
		over:       b.demand.perSecond > b.share.Customer.Rate,
	}
	n.spend = positive(waiting - b.level - b.reserved - n.reserve)
	if n.reserve < smallestAsked {
		n.reserve = 0
	}
	if n.spend > rounding {
		n.spend = max(n.spend, smallestAsked)
	}
	return n
}

// wanted returns the tokens that the bucket should have for the demand of the
// period: what its own rate will not bring, and one for the next request.
func (b *Bucket) wanted(period time.Duration) float64 {
	if b.demand.perSecond <= b.share.Rate {
		return 0
	}
	return b.demand.within(period) - b.share.Rate*period.Seconds() + 1
}

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

// least returns the fewest tokens for which a peer is asked that cannot meet
// the need: what it gains in the time between two requests.
func (n need) least() float64 {
	period := gainPeriod
	if n.over {
		period = gainPeriodOver
	}
	return max(smallestAsked, min(n.equalRate*period.Seconds(), n.equalBurst/2))
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
