package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/quota"
	"samphireferry.example/ferry/sharetable"
)

const (
	fleetInstances = 70
	fleetDomains   = 6
	fleetTick      = 20 * time.Millisecond
	rateWindow     = 5 * time.Second
	loanWait       = 120 * time.Millisecond
	// loanDelay is the time between the plan of a loan and its grant.
	loanDelay = 20 * time.Millisecond
	// maxReturnWait is the longest time that a refused caller waits before it returns: a third of
	// a deadline of 2 s. It returns maxReturns times.
	maxReturnWait = 667 * time.Millisecond
	maxReturns    = 2
)

// rateKind is a customer of a rateFleet.
type rateKind struct {
	name      string
	rate      float64
	perSecond func(elapsed time.Duration) float64
}

// rateOutcome counts the requests of one customer.
type rateOutcome struct {
	// callers counts the requests that are no returns.
	requests, callers, admitted, refused, held int
	heldFor                                    time.Duration
	// admittedAt are the times of the admissions, largestWindow the most in one window.
	admittedAt    []time.Time
	largestWindow int
	retryAfter    map[time.Duration]bool
}

// rateFleet is a fleet of instances in simulated time that divide rates by announced demand and
// lend tokens. As in a large fleet, demand passes from one failure domain to another as sums,
// which takes three exchanges.
type rateFleet struct {
	now   time.Time
	start time.Time
	// arrivals draws the new requests, which so are the same for all settings, random the rest.
	arrivals *rand.Rand
	random   *rand.Rand
	kinds    []rateKind
	limiters []*admission.Limiter
	dividers []*quota.Divider
	// sums are the demands of the failure domains, as of the last two exchanges.
	sums, olderSums []quota.Demand
	pending         map[time.Time][]func()
	outcomes        map[string]*rateOutcome
	// cut is set for the failure domains that are cut off from the others.
	cut map[int]bool
	// countFrom is the elapsed time from which requests are counted.
	countFrom time.Duration
}

func newRateFleet(seed uint64, settings admission.Settings, kinds []rateKind) *rateFleet {
	f := &rateFleet{
		now: time.Unix(1_000_000, 0), start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 5)), arrivals: rand.New(rand.NewPCG(seed, 6)), kinds: kinds,
		pending: map[time.Time][]func(){}, outcomes: map[string]*rateOutcome{}, cut: map[int]bool{},
		sums: make([]quota.Demand, fleetDomains), olderSums: make([]quota.Demand, fleetDomains),
	}
	settings.MaxWait, settings.MessagesPerSecond, settings.Jitter = loanWait, 40, f.random.Float64
	var customers []quota.Customer
	for _, k := range kinds {
		f.outcomes[k.name] = &rateOutcome{retryAfter: map[time.Duration]bool{}}
		customers = append(customers, quota.Windowed(quota.Customer{Name: k.name, Rate: k.rate, Burst: k.rate}, quota.Tolerance{Window: rateWindow, Excess: 0.05, Slack: 10}))
	}
	for i := range fleetInstances {
		f.limiters = append(f.limiters, admission.NewLimiter(settings, f.now))
		d := quota.New()
		d.Configure(customers)
		f.dividers = append(f.dividers, d)
		var peers []admission.Peer
		for other := range fleetInstances {
			if other == i {
				continue
			}
			distance := admission.OtherRegion
			if other%fleetDomains == i%fleetDomains {
				distance = admission.SameDomain
			}
			peers = append(peers, admission.Peer{Name: fmt.Sprint(other), Distance: distance})
		}
		f.limiters[i].SetPeers(peers)
	}
	return f
}

func (f *rateFleet) after(d time.Duration, run func()) {
	at := f.now.Add(d.Truncate(fleetTick) + fleetTick)
	f.pending[at] = append(f.pending[at], run)
}

func (f *rateFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		elapsed := f.now.Sub(f.start)
		if elapsed%time.Second == 0 {
			f.exchange()
		}
		if elapsed%(240*time.Millisecond) == 0 {
			f.divide()
		}
		for _, run := range f.pending[f.now] {
			run()
		}
		delete(f.pending, f.now)
		for _, k := range f.kinds {
			for mean := k.perSecond(elapsed) * fleetTick.Seconds(); mean > 0; mean-- {
				if f.arrivals.Float64() < mean {
					f.request(k, f.arrivals.IntN(fleetInstances), 0)
				}
			}
		}
		for i := range f.limiters {
			f.lend(i)
		}
	}
}

func (f *rateFleet) divide() {
	for i, d := range f.dividers {
		peers := quota.Peers{Instances: fleetInstances, Complete: !f.anyCut() && f.olderSums[0] != nil, Convergence: quota.RelayedConvergence}
		for other := range fleetInstances {
			if other != i && other%fleetDomains == i%fleetDomains {
				peers.Direct = append(peers.Direct, fmt.Sprint(other))
			}
		}
		for domain := range fleetDomains {
			if domain != i%fleetDomains {
				peers.Domains = append(peers.Domains, fmt.Sprint("domain ", domain))
			}
		}
		d.SetPeers(peers)
		l := f.limiters[i]
		d.Tick(f.now, func(name string) uint64 {
			b := l.Bucket(name)
			if b == nil {
				return 0
			}
			totals := b.Totals()
			return totals.Admitted + totals.BorrowedSpend + totals.Refused
		})
		var shares []sharetable.Share
		for _, a := range d.Allocations() {
			shares = append(shares, sharetable.Share{
				Customer: sharetable.Customer{Name: a.Customer.Name, Rate: a.Customer.Rate, Burst: int(a.Customer.Burst)},
				Rate:     a.Rate, Burst: a.Burst, Oversubscribed: a.Oversubscribed,
			})
		}
		l.Tick(f.now)
		l.Configure(f.now, shares, true)
	}
}

func (f *rateFleet) anyCut() bool { return f.cut[0] }

// exchange passes the demands on, those of other failure domains as the sums of the exchange
// before the last.
func (f *rateFleet) exchange() {
	sums := make([]quota.Demand, fleetDomains)
	for i, d := range f.dividers {
		domain := i % fleetDomains
		if sums[domain] == nil {
			sums[domain] = quota.Demand{}
		}
		for id, perSecond := range d.Demand() {
			sums[domain][id] += perSecond
		}
		for other := domain; other < fleetInstances; other += fleetDomains {
			if other != i {
				f.dividers[other].RecordDemand(f.now, fmt.Sprint(i), d.Demand())
			}
		}
	}
	for i, d := range f.dividers {
		for domain, demand := range f.olderSums {
			if domain != i%fleetDomains && f.connected(domain, i%fleetDomains) && demand != nil {
				d.RecordDemand(f.now, fmt.Sprint("domain ", domain), demand)
			}
		}
	}
	f.sums, f.olderSums = sums, f.sums
}

func (f *rateFleet) connected(a, b int) bool { return f.cut[a] == f.cut[b] }

func (f *rateFleet) lend(i int) {
	for _, request := range f.limiters[i].PlanLoans(f.now) {
		var lender int
		_, _ = fmt.Sscan(request.Peer, &lender)
		if !f.connected(lender%fleetDomains, i%fleetDomains) {
			continue
		}
		f.after(loanDelay, func() {
			f.limiters[i].Granted(f.now, request.ID, f.limiters[lender].Lend(f.now, request.Items))
		})
	}
}

// request simulates one request; returned is the number of refusals before.
func (f *rateFleet) request(k rateKind, instance, returned int) {
	l := f.limiters[instance]
	w, decision := l.Wait(f.now, l.Bucket(k.name), time.Time{})
	if w == nil {
		f.decide(k, returned, decision, 0)
		return
	}
	since := f.now
	var poll func()
	poll = func() {
		ended := false
		select {
		case <-w.Admitted():
			ended = true
		case <-w.Futile():
			ended = true
		default:
		}
		if !ended && f.now.Sub(since) < loanWait {
			f.after(0, poll)
			return
		}
		decision.Admitted = l.Leave(w)
		f.decide(k, returned, decision, f.now.Sub(since))
	}
	f.after(0, poll)
}

func (f *rateFleet) decide(k rateKind, returned int, d admission.Decision, held time.Duration) {
	o := f.outcomes[k.name]
	if counted := f.now.Sub(f.start) >= f.countFrom; counted {
		o.requests++
		if returned == 0 {
			o.callers++
		}
		switch {
		case d.Admitted:
			o.admitted++
			o.admittedAt = append(o.admittedAt, f.now)
			for f.now.Sub(o.admittedAt[0]) >= rateWindow {
				o.admittedAt = o.admittedAt[1:]
			}
			o.largestWindow = max(o.largestWindow, len(o.admittedAt))
		default:
			o.refused++
			o.heldFor += held
			o.retryAfter[d.RetryAfter] = true
			if held > 0 {
				o.held++
			}
		}
	}
	if !d.Admitted && returned < maxReturns {
		f.after(min(d.RetryAfter, maxReturnWait), func() { f.request(k, f.random.IntN(fleetInstances), returned+1) })
	}
}

func (o *rateOutcome) String() string {
	return fmt.Sprintf("%d requests of %d callers, %d admitted, %d refused, %d of them held for %v in all, %d values of Retry-After, at most %d in a window", o.requests, o.callers, o.admitted, o.refused, o.held, o.heldFor, len(o.retryAfter), o.largestWindow)
}

func constantly(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// TestCustomerOverItsRateIsRefusedAtOnce guards against requests of a customer that sends four to
// eight times its rate being held for a loan that nobody can give, in the seconds before the
// announced demand shows it. The refusals of customers within their rate must not rise.
func TestCustomerOverItsRateIsRefusedAtOnce(t *testing.T) {
	const (
		over, seeds = 8 * time.Second, 2
		// maxHeldShare bounds the time for which requests were held before they were refused, against that without
		// the rule.
		maxHeldShare = 0.2
		// mostInWindow, which the rule must not exceed where it held without it, is what the window allows the customer: rate x window + burst, a twentieth of it, and 10.
		mostInWindow = (30*5+30)*105/100 + 10
		// maxMoreUnserved bounds by how much the share of the callers of customers within their rate that
		// are not served may be above that without the rule.
		maxMoreUnserved = 0.01
	)
	for _, c := range []struct {
		factor float64
		// usual is the time before the demand rises.
		usual time.Duration
		// cut is set when two of the failure domains are cut off from the others.
		cut bool
	}{{4, 12 * time.Second, false}, {8, 12 * time.Second, false}, {4, 0, false}, {8, 0, false}, {8, 12 * time.Second, true}} {
		t.Run(fmt.Sprintf("%g times after %v, cut off %t", c.factor, c.usual, c.cut), func(t *testing.T) {
			kinds := []rateKind{{"greedy", 30, func(elapsed time.Duration) float64 {
				if elapsed < c.usual {
					return 20
				}
				return 30 * c.factor
			}}}
			for n, rate := range []float64{8, 15, 30, 60} {
				kinds = append(kinds, rateKind{fmt.Sprint("within ", n), rate, constantly(0.75 * rate)})
			}
			run := func(settings admission.Settings) (greedy, within *rateOutcome) {
				greedy, within = &rateOutcome{retryAfter: map[time.Duration]bool{}}, &rateOutcome{retryAfter: map[time.Duration]bool{}}
				for seed := range uint64(seeds) {
					f := newRateFleet(seed, settings, kinds)
					f.countFrom = c.usual
					f.run(c.usual)
					f.cut[0], f.cut[1] = c.cut, c.cut
					f.run(over)
					for name, o := range f.outcomes {
						if name == "greedy" {
							greedy.add(o)
						} else {
							within.add(o)
						}
					}
				}
				return greedy, within
			}
			greedyBefore, withinBefore := run(admission.Settings{})
			greedy, within := run(admission.Settings{RefuseFutile: true})
			t.Logf("over the rate, before: %v", greedyBefore)
			t.Logf("over the rate, after:  %v", greedy)
			t.Logf("within the rate, before: %v", withinBefore)
			t.Logf("within the rate, after:  %v", within)
			assert.Assert(t, greedy.heldFor.Seconds() <= maxHeldShare*greedyBefore.heldFor.Seconds(), "%v", greedy)
			assert.Assert(t, greedy.largestWindow <= max(mostInWindow, greedyBefore.largestWindow), "%d requests in a window", greedy.largestWindow)
			assert.Assert(t, greedy.admitted >= greedyBefore.admitted*9/10, "%v", greedy)
			assert.Assert(t, within.unserved() <= withinBefore.unserved()+maxMoreUnserved, "%v", within)
		})
	}
}

func (o *rateOutcome) add(other *rateOutcome) {
	o.requests += other.requests
	o.callers += other.callers
	o.admitted += other.admitted
	o.refused += other.refused
	o.held += other.held
	o.heldFor += other.heldFor
	o.largestWindow = max(o.largestWindow, other.largestWindow)
	for after := range other.retryAfter {
		o.retryAfter[after] = true
	}
}

// unserved returns the share of the callers whose requests were all refused.
func (o *rateOutcome) unserved() float64 {
	return float64(o.callers-o.admitted) / float64(max(o.callers, 1))
}

// TestReturnsOfACustomerOverItsRateAreSpread guards against callers that are refused together and
// return together: over a rate of 1 in 10 they return evenly over the next tokens.
func TestReturnsOfACustomerOverItsRateAreSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	jitter := 0.0
	l := admission.NewLimiter(admission.Settings{NoLoans: true, Jitter: func() float64 { return jitter }}, now)
	l.Configure(now, []sharetable.Share{{Customer: sharetable.Customer{Name: "acme", Rate: 10, Burst: 10}, Rate: 1, Burst: 2}}, true)
	b := l.Bucket("acme")
	assert.Equal(t, l.Admit(now, b).RetryAfter, time.Second)
	jitter = 1
	assert.Equal(t, l.Admit(now, b).RetryAfter, time.Second*5/4)
}

// TestRequestWaitsForATokenOfItsOwnBucket guards against a refusal at once where no peer has a token but
// the bucket itself has one within the wait: three callers, one after the other, got 429 at a third of the
// rate of their customer each.
func TestRequestWaitsForATokenOfItsOwnBucket(t *testing.T) {
	for _, test := range []struct {
		rate  float64
		waits bool
	}{{100, true}, {1, false}} {
		now := time.Unix(1_000_000, 0)
		l := admission.NewLimiter(admission.Settings{RefuseFutile: true, MaxWait: loanWait}, now)
		l.Configure(now, []sharetable.Share{{Customer: sharetable.Customer{Name: "acme", Rate: 300, Burst: 6}, Rate: test.rate, Burst: 2}}, true)
		l.SetPeers([]admission.Peer{{Name: "1"}, {Name: "2"}})
		b := l.Bucket("acme")
		for range 40 {
			now = now.Add(time.Millisecond)
			l.Tick(now)
			w, _ := l.Wait(now, b, time.Time{})
			for _, request := range l.PlanLoans(now) {
				l.Granted(now, request.ID, nil)
			}
			if w != nil {
				l.Leave(w)
			}
		}
		w, decision := l.Wait(now, b, time.Time{})
		assert.Equal(t, w != nil, test.waits, "%v", decision)
		assert.Equal(t, decision.OverRate, !test.waits)
	}
}
