package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/sharetable"
)

// fleet simulates a system of entry instances in virtual time, on one goroutine.
type fleet struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	seq   int

	sites     []site
	nodes     map[string]*node
	customers []sharetable.Customer
	limiter   Settings
	driver    sharetable.DriverSettings
	checker   *invariant.Checker

	value       []byte
	revision    platform.Revision
	storeDown   bool
	listed      map[string]bool
	loss        float64
	duplicate   float64
	delay       func(from, to site) time.Duration
	partitioned func(from, to site) bool
	// afterEvent is called when an event of a node has run.
	afterEvent func(n *node)
	// onDecision is called for each request, with ok when it was admitted.
	onDecision func(n *node, customer int, ok bool)
	messages   int
	writes     int
}

// site is the location at which a process runs.
type site struct{ address, domain, region string }

// storeSite is the site of the platform's store.
var storeSite = site{"store", "a1", "a"}

// node is the process of one entry instance.
type node struct {
	site
	incarnation string
	member      *sharetable.Member
	limiter     *Limiter
	driver      *sharetable.Driver
	customers   []sharetable.Customer
	lastStates  map[string]lastState
	stopped     bool
	leaving     bool
	drivesTable bool
	writing     int
	frozenUntil time.Time
	waiters     map[*Waiter]int
}

// lastState is the newest state received from another node.
type lastState struct {
	answer     sharetable.MemberState
	leaving    bool
	receivedAt time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(t testing.TB, seed uint64, sites []site) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), sites: sites,
		nodes: map[string]*node{}, listed: map[string]bool{},
		partitioned: func(_, _ site) bool { return false },
		afterEvent:  func(*node) {},
		onDecision:  func(*node, int, bool) {},
	}
	f.delay = func(_, _ site) time.Duration { return time.Millisecond }
	f.checker = &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
		t.Fatalf("seed %d, %v: invariant %s: %s", seed, f.elapsed(), name, detail)
	}}
	f.limiter.Checker = f.checker
	f.driver.Checker = f.checker
	return f
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(time.Unix(1_000_000, 0)) }

// schedule runs an event after the delay.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, run})
}

// scheduleOn runs an event at a node after the delay, unless the node has stopped by
// then. While the node is frozen, the event is postponed.
func (f *fleet) scheduleOn(n *node, d time.Duration, run func()) {
	f.schedule(d, func() {
		if n.stopped {
			return
		}
		if f.now.Before(n.frozenUntil) {
			f.scheduleOn(n, n.frozenUntil.Sub(f.now)+f.jitter(2*time.Millisecond), run)
			return
		}
		run()
		f.afterEvent(n)
	})
}

func (f *fleet) jitter(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(d))) }

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// send delivers a message, which may be lost, duplicated or reordered.
func (f *fleet) send(from, to site, deliver func()) {
	f.messages++
	copies := 1
	if f.rng.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		if f.rng.Float64() < f.loss {
			continue
		}
		f.schedule(f.delay(from, to), func() {
			if !f.partitioned(from, to) {
				deliver()
			}
		})
	}
}

// call sends a request to the process at a site and passes the response to the
// caller.
func call[T any](f *fleet, from *node, to site, handle func(n *node) T, reply func(T)) {
	f.send(from.site, to, func() {
		n := f.nodes[to.address]
		if n == nil {
			return
		}
		f.scheduleOn(n, 0, func() {
			result := handle(n)
			f.send(to, from.site, func() { f.scheduleOn(from, 0, func() { reply(result) }) })
		})
	})
}

// start starts a process at the site, which replaces an earlier one.
func (f *fleet) start(s site) *node {
	f.kill(s.address)
	f.seq++
	n := &node{
		site: s, incarnation: fmt.Sprintf("%s#%d", s.address, f.seq), customers: f.customers,
		lastStates: map[string]lastState{}, waiters: map[*Waiter]int{},
	}
	n.member = sharetable.NewMember(sharetable.MemberSettings{Name: s.address, Incarnation: n.incarnation, Checker: f.checker}, f.now)
	n.limiter = NewLimiter(f.limiter, f.now)
	n.driver = sharetable.NewDriver(f.driver)
	f.nodes[s.address] = n
	f.every(n, 250*time.Millisecond, func() { f.controlTick(n) })
	f.every(n, 20*time.Millisecond, func() { f.requestLoans(n) })
	return n
}

func (f *fleet) kill(address string) {
	if n := f.nodes[address]; n != nil {
		n.stopped = true
		delete(f.nodes, address)
	}
}

func (f *fleet) every(n *node, d time.Duration, run func()) {
	f.scheduleOn(n, f.jitter(d), func() {
		run()
		f.every(n, d, run)
	})
}

func (f *fleet) controlTick(n *node) {
	paused := n.member.Tick(f.now)
	if n.limiter.Tick(f.now) || paused {
		f.apply(n)
	}
	for _, s := range f.sites {
		if s.address != n.address {
			f.exchangeHeartbeat(n, s)
		}
	}
	if f.rng.IntN(3) == 0 {
		f.readStore(n)
	}
	n.driver.Ack(f.now, f.answerOf(n, f.now))
	n.driver.SetMembers(f.now, f.view(n))
	if n.drivesTable && n.writing == 0 {
		f.planTable(n)
	}
}

func (f *fleet) answerOf(n *node, askedAt time.Time) sharetable.MemberState {
	a := n.member.State()
	a.AskedAt = askedAt
	return a
}

// exchangeHeartbeat sends a heartbeat to a site. The response carries the state of
// the peer, and its table if that is newer.
func (f *fleet) exchangeHeartbeat(n *node, s site) {
	askedAt, version := f.now, n.member.Version()
	type reply struct {
		answer  sharetable.MemberState
		leaving bool
		table   *sharetable.Table
	}
	call(f, n, s, func(peer *node) reply {
		r := reply{answer: f.answerOf(peer, askedAt), leaving: peer.leaving}
		if peer.member.Version() > version {
			r.table = peer.member.Table()
		}
		return r
	}, func(r reply) {
		if old, known := n.lastStates[s.address]; !known || askedAt.After(old.answer.AskedAt) {
			n.lastStates[s.address] = lastState{r.answer, r.leaving, f.now}
		}
		n.driver.Ack(f.now, r.answer)
		f.adoptAndConfirm(n, r.table, func() { n.member.ObserveState(r.answer) })
	})
}

// adoptAndConfirm adopts a table, which may be nil, and records evidence, and
// applies the shares if they change.
func (f *fleet) adoptAndConfirm(n *node, t *sharetable.Table, evidence func()) {
	confirmed := n.member.Confirmed()
	adopted := t != nil && n.member.Adopt(t)
	evidence()
	if adopted || n.member.Confirmed() != confirmed {
		f.apply(n)
	}
}

func (f *fleet) apply(n *node) {
	n.limiter.Configure(f.now, n.member.Divide(n.customers), n.member.Confirmed())
	n.member.Applied(n.member.Version())
	var peers []Peer
	for _, s := range f.sites {
		if s.address != n.address {
			peers = append(peers, Peer{s.address, distance(n.site, s)})
		}
	}
	n.limiter.SetPeers(peers)
}

func distance(a, b site) Distance {
	switch {
	case a.domain == b.domain:
		return SameDomain
	case a.region == b.region:
		return SameRegion
	}
	return OtherRegion
}

func (f *fleet) view(n *node) sharetable.View {
	view := sharetable.View{ListRead: !f.storeDown && !f.partitioned(n.site, storeSite)}
	for _, s := range f.sites {
		c := sharetable.Candidate{Name: s.address, WitnessGroup: s.region, Listed: f.listed[s.address]}
		if last, known := n.lastStates[s.address]; known && f.now.Sub(last.receivedAt) < time.Second {
			c.Incarnation, c.Leaving, c.Reachable = last.answer.Incarnation, last.leaving, true
		}
		if s.address == n.address {
			c.Incarnation, c.Leaving, c.Reachable = n.incarnation, n.leaving, true
		}
		view.Candidates = append(view.Candidates, c)
	}
	return view
}

func (f *fleet) storeCall(n *node, handle func() error, reply func(error)) {
	responded := false
	f.send(n.site, storeSite, func() {
		if f.storeDown {
			return
		}
		err := handle()
		f.send(storeSite, n.site, func() {
			f.scheduleOn(n, 0, func() {
				if !responded {
					responded = true
					reply(err)
				}
			})
		})
	})
	f.scheduleOn(n, 500*time.Millisecond, func() {
		if !responded {
			responded = true
			reply(platform.ErrUnavailable)
		}
	})
}

func (f *fleet) readStore(n *node) {
	askedAt := f.now
	var entry platform.Entry
	f.storeCall(n, func() error {
		entry = platform.Entry{Key: platform.KeyShares, Value: f.value, Revision: f.revision}
		return nil
	}, func(err error) {
		if err != nil || entry.Revision == 0 {
			return
		}
		t, decodeErr := sharetable.Decode(entry.Value)
		if decodeErr != nil {
			f.t.Fatal(decodeErr)
		}
		n.driver.Observe(entry)
		f.adoptAndConfirm(n, t, func() { n.member.ReadFromStore(askedAt, t.Version) })
	})
}

func (f *fleet) planTable(n *node) {
	write, ok := n.driver.Plan(f.now)
	if !ok {
		return
	}
	n.writing++
	var revision platform.Revision
	f.storeCall(n, func() error {
		if write.Expected != f.revision {
			return platform.ErrConflict
		}
		f.revision++
		f.value, revision = write.Value, f.revision
		f.writes++
		return nil
	}, func(err error) {
		n.writing--
		n.driver.Done(write, revision, err)
		f.readStore(n)
	})
}

// requestLoans sends the planned loan requests.
func (f *fleet) requestLoans(n *node) {
	for _, request := range n.limiter.PlanLoans(f.now) {
		to := f.site(request.Peer)
		call(f, n, to, func(peer *node) []Grant {
			return peer.limiter.Lend(f.now, request.Items)
		}, func(grants []Grant) {
			n.limiter.Granted(f.now, request.ID, grants)
			f.endGrantedWaits(n)
		})
	}
	f.endGrantedWaits(n)
}

// endGrantedWaits ends the waits of the requests that have received a token.
func (f *fleet) endGrantedWaits(n *node) {
	for w := range n.waiters {
		select {
		case <-w.Admitted():
			f.endWait(n, w)
		default:
		}
	}
}

func (f *fleet) site(address string) site {
	for _, s := range f.sites {
		if s.address == address {
			return s
		}
	}
	return site{}
}

// request simulates the arrival of one request of a customer at a node.
func (f *fleet) request(n *node, customer int) {
	b := n.limiter.Bucket(f.customers[customer].Name)
	if b == nil {
		f.onDecision(n, customer, false)
		return
	}
	w, decision := n.limiter.Wait(f.now, b, time.Time{})
	if w == nil {
		f.onDecision(n, customer, decision.Admitted)
		return
	}
	n.waiters[w] = customer
	f.scheduleOn(n, DefaultMaxWait, func() { f.endWait(n, w) })
	// A waiting request triggers a plan at once, as in Exchange.
	f.scheduleOn(n, 0, func() { f.requestLoans(n) })
}

func (f *fleet) endWait(n *node, w *Waiter) {
	customer, waits := n.waiters[w]
	if !waits {
		return
	}
	delete(n.waiters, w)
	f.onDecision(n, customer, n.limiter.Leave(w))
}

// generateLoad generates Poisson arrivals of a customer's requests at a site while a
// process runs there; perSecond is called for each arrival.
func (f *fleet) generateLoad(s site, customer int, perSecond func() float64) {
	rate := perSecond()
	wait := 100 * time.Millisecond
	if rate > 0 {
		wait = time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	}
	f.schedule(wait, func() {
		if n := f.nodes[s.address]; n != nil && rate > 0 {
			f.scheduleOn(n, 0, func() { f.request(n, customer) })
		}
		f.generateLoad(s, customer, perSecond)
	})
}
