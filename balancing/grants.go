package balancing

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/samber/lo"

	"samphireferry.example/ferry/invariant"
)

// InvariantGrants is the invariant that all grants together with the owner's own use
// stay within the slots times grantsPerSlot.
const InvariantGrants invariant.Name = "grants_within_slots"

const (
	// grantsPerSlot is the number of relayed and local requests per slot. The excess over 1
	// waits in the queue of the owner, where each customer gets its fair share.
	grantsPerSlot = 2
	// maxLoadBeyondGrant is the number of running and waiting requests per slot up to
	// which requests beyond a grant are accepted.
	maxLoadBeyondGrant = 1.5
	// demandDecay is the fraction of a borrower's demand that remains after each division.
	demandDecay = 0.7
	// demandGrowth is the factor by which the demand of a borrower grows when it has used
	// up its grant.
	demandGrowth = 2
	// idleDivisions is the number of divisions after which an idle borrower is removed.
	idleDivisions = 20
)

// Grants divides the slots of one service version that an instance owns among
// the instances that relay requests to it. It is safe for concurrent use.
type Grants struct {
	checker *invariant.Checker

	mu        sync.Mutex
	borrowers map[string]*borrower
	inFlight  int
}

// borrower is one instance that relays requests to this owner.
type borrower struct {
	grant    int
	inFlight int
	// peak is the largest inFlight and refused the number of refused requests
	// since the last division.
	peak    int
	refused int
	demand  float64
	idle    int
}

// NewGrants returns grants without borrowers. The checker may be nil.
func NewGrants(checker *invariant.Checker) *Grants {
	return &Grants{checker: checker, borrowers: map[string]*borrower{}}
}

// Begin reports whether a relayed request of the borrower is accepted. Requests within
// the grant are accepted always, and those beyond it while the queue is short. An
// accepted request must be ended with End.
func (g *Grants) Begin(name string, load PoolLoad) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.borrower(name)
	hasCapacity := float64(load.InUse+load.Queued) < maxLoadBeyondGrant*float64(load.Slots)
	if b.inFlight >= b.grant && !hasCapacity {
		b.refused++
		return false
	}
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	g.inFlight++
	return true
}

// End ends a relayed request that Begin has accepted.
func (g *Grants) End(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.borrower(name).inFlight--
	g.inFlight--
}

// Granted returns the number of requests that the borrower may have in flight.
func (g *Grants) Granted(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.borrower(name).grant
}

// Divide sets all grants by the demand since the last division and spreads the remaining
// capacity evenly. It is called once per heartbeat.
func (g *Grants) Divide(load PoolLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := lo.Keys(g.borrowers)
	slices.Sort(names)
	demands := make([]int, len(names))
	for i, name := range names {
		demands[i] = g.borrowers[name].nextDemand()
	}
	localUse := g.localUse(load)
	capacity := max(0, load.Slots*grantsPerSlot-localUse)
	shares := maxMinShares(capacity, demands)
	remaining := capacity - lo.Sum(shares)
	total := 0
	for i, name := range names {
		extra := remaining / (len(names) - i)
		remaining -= extra
		g.borrowers[name].grant = shares[i] + extra
		total += shares[i] + extra
	}
	g.checker.Check(total == 0 || total+localUse <= load.Slots*grantsPerSlot, InvariantGrants,
		fmt.Sprintf("%d granted, %d local, %d slots", total, localUse, load.Slots))
	g.removeIdle()
}

// localUse returns the number of slots that the owner's local requests use.
func (g *Grants) localUse(load PoolLoad) int {
	return min(max(0, load.InUse+load.Queued-g.inFlight), load.InUse)
}

func (g *Grants) borrower(name string) *borrower {
	b := g.borrowers[name]
	if b == nil {
		b = &borrower{}
		g.borrowers[name] = b
	}
	return b
}

func (g *Grants) removeIdle() {
	for name, b := range g.borrowers {
		if b.idle > idleDivisions {
			delete(g.borrowers, name)
		}
	}
}

// nextDemand returns the demand and starts a new measuring period. A borrower that has
// used up its grant may need any number more, so its peak is multiplied by demandGrowth.
// The demand of an idle one decays to zero: it gets a share of the remaining capacity,
// and may always try a few requests.
func (b *borrower) nextDemand() int {
	observed := float64(b.peak + b.refused)
	if b.peak >= b.grant {
		observed = max(observed, demandGrowth*float64(b.peak))
	}
	b.demand = max(observed, b.demand*demandDecay)
	if b.peak+b.refused > 0 {
		b.idle = 0
	} else {
		b.idle++
	}
	b.peak = b.inFlight
	b.refused = 0
	return int(math.Round(b.demand))
}

// maxMinShares divides the capacity max-min fairly: no share exceeds its demand, and the
// smallest shares are as large as possible.
func maxMinShares(capacity int, demands []int) []int {
	shares := make([]int, len(demands))
	unsatisfied := lo.Range(len(demands))
	for capacity > 0 && len(unsatisfied) > 0 {
		equalShare := max(1, capacity/len(unsatisfied))
		for _, i := range unsatisfied {
			given := min(equalShare, demands[i]-shares[i], capacity)
			shares[i] += given
			capacity -= given
		}
		unsatisfied = lo.Filter(unsatisfied, func(i, _ int) bool { return shares[i] < demands[i] })
	}
	return shares
}
