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

const (
	// smallestReserve is the least need, in tokens, that is asked ahead.
	smallestReserve = 0.5
	// smallestHint is the least that a peer is expected to be able to lend.
	smallestHint = 1
)

// need is what one bucket lacks.
type need struct {
	bucket  *Bucket
	holders []string
	reserve float64
	spend   int
	// most is the largest number of tokens that one peer is expected to have.
	most float64
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
	ahead := b.demand.within(horizon) - b.share.Rate*horizon.Seconds() - b.level - b.reserved
	room := float64(b.share.Burst) - b.level - b.reserved
	n := need{
		bucket:  b,
		holders: b.share.Holders,
		reserve: min(ahead, room),
		spend:   max(0, len(b.waiting)-b.spendAsked),
		most:    max(1, float64(b.share.Customer.Burst)/float64(len(l.peers)+1)),
	}
	if n.reserve < smallestReserve {
		n.reserve = 0
	}
	return n
}

// spread divides a need over the peers that may have tokens, nearest first.
func (l *Limiter) spread(now time.Time, n need, peers []*peerState, requests map[*peerState]*LoanRequest) {
	customer := n.bucket.customer
	for _, p := range peers {
		if n.reserve <= 0 && n.spend <= 0 {
			return
		}
		if !p.canAsk(now, customer) || !holds(n.holders, p.Name) {
			continue
		}
		expected := n.most
		if h := p.hints[customer]; h != nil && h.known {
			expected = max(h.remaining, smallestHint)
		}
		item := Item{Customer: customer, Spend: min(float64(n.spend), max(1, float64(int(expected))))}
		item.Reserve = min(n.reserve, max(0, expected-item.Spend))
		if requests[p] == nil {
			requests[p] = &LoanRequest{Peer: p.Name}
		}
		requests[p].Items = append(requests[p].Items, item)
		n.spend -= int(item.Spend)
		n.reserve -= item.Reserve
	}
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
	b.spendAsked += int(item.Spend)
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
		loan.peer.hint(item.Customer).learn(now, item, g)
	}
}

// learn takes in what a peer said of one customer.
func (h *hint) learn(now time.Time, item Item, g Grant) {
	h.remaining = positive(g.Remaining)
	h.known = true
	if g.Reserve+g.Spend+h.remaining < min(smallestReserve, item.Reserve+item.Spend) {
		h.empty.extend(now)
		return
	}
	h.empty.reset()
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
	b.spendAsked = max(0, b.spendAsked-int(item.Spend))
	granted := int(min(positive(g.Spend), item.Spend))
	used := b.serve(granted)
	b.totals.BorrowedSpend += uint64(used)
	b.totals.Dropped += float64(granted - used)
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
