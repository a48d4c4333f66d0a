package balancing

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/samber/lo"

	"samphireferry.example/ferry/invariant"
)

// InvariantGrants says that all grants and the owner's own use stay within the
// slots times grantFactor.
const InvariantGrants invariant.Name = "grants_within_slots"

const (
	// grantFactor is the number of relayed and own requests for each slot. The
	// part above 1 waits in the queue of the owner, where each customer gets
	// its fair part.
	grantFactor = 2
	// openFactor is the number of running and waiting requests for each slot up
	// to which requests beyond a grant are accepted.
	openFactor = 1.5
	// demandDecay is the part of a borrower's demand that outlives one division.
	demandDecay = 0.7
	// demandGrowth is the growth of the demand of a borrower that has used up
	// its grant.
	demandGrowth = 2
	// idleDivisions is the number of divisions after which an idle borrower is
	// forgotten.
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

// borrower is one instance that relays requests here.
type borrower struct {
	grant    int
	inFlight int
	// peak and refused are counted since the last division.
	peak    int
	refused int
	demand  float64
	idle    int
}

// NewGrants returns an owner's side without borrowers. The checker may be nil.
func NewGrants(checker *invariant.Checker) *Grants {
	return &Grants{checker: checker, borrowers: map[string]*borrower{}}
}

// Begin accepts or refuses a relayed request of the borrower. It accepts what
// is within the grant, and beyond it as long as the queue is short. An accepted
// request must be ended with End.
func (g *Grants) Begin(name string, load PoolLoad) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.borrower(name)
	room := float64(load.InUse+load.Queued) < openFactor*float64(load.Slots)
	if b.inFlight >= b.grant && !room {
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

// Divide sets all grants by the demand since the last division, and spreads what
// is left evenly. It is called once for each heartbeat.
func (g *Grants) Divide(load PoolLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := lo.Keys(g.borrowers)
	slices.Sort(names)
	wants := make([]int, len(names))
	for i, name := range names {
		wants[i] = g.borrowers[name].want()
	}
	own := g.ownUse(load)
	room := max(0, load.Slots*grantFactor-own)
	shares := maxMinShares(room, wants)
	rest := room - lo.Sum(shares)
	total := 0
	for i, name := range names {
		spare := rest / (len(names) - i)
		rest -= spare
		g.borrowers[name].grant = shares[i] + spare
		total += shares[i] + spare
	}
	g.checker.Check(total == 0 || total+own <= load.Slots*grantFactor, InvariantGrants,
		fmt.Sprintf("%d granted, %d own, %d slots", total, own, load.Slots))
	g.forgetIdle()
}

// ownUse is the number of slots that the owner's own requests use.
func (g *Grants) ownUse(load PoolLoad) int {
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

func (g *Grants) forgetIdle() {
	for name, b := range g.borrowers {
		if b.idle > idleDivisions {
			delete(g.borrowers, name)
		}
	}
}

// want returns the demand and starts a new count. A borrower that has used up its
// grant may need any number more, so it counts twice. An idle one wants nothing:
// it gets a part of what is left, and may always try a few requests.
func (b *borrower) want() int {
	seen := float64(b.peak + b.refused)
	if b.peak >= b.grant {
		seen = max(seen, demandGrowth*float64(b.peak))
	}
	b.demand = max(seen, b.demand*demandDecay)
	if b.peak+b.refused > 0 {
		b.idle = 0
	} else {
		b.idle++
	}
	b.peak = b.inFlight
	b.refused = 0
	return int(math.Round(b.demand))
}

// maxMinShares divides the room so that nobody gets more than it wants and the
// smallest shares are as large as possible.
func maxMinShares(room int, wants []int) []int {
	shares := make([]int, len(wants))
	open := lo.Range(len(wants))
	for room > 0 && len(open) > 0 {
		part := max(1, room/len(open))
		for _, i := range open {
			given := min(part, wants[i]-shares[i], room)
			shares[i] += given
			room -= given
		}
		open = lo.Filter(open, func(i, _ int) bool { return shares[i] < wants[i] })
	}
	return shares
}
