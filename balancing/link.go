package balancing

import (
	"sync"
	"time"

	"samphireferry.example/ferry/units"
)

const (
	// linkBurst is the time over which a link budget accumulates unused bytes.
	linkBurst = 250 * time.Millisecond
	// deferrableReserve is the fraction of a link budget that deferrable requests leave
	// to other requests.
	deferrableReserve = 0.5
)

// LinkBudget bounds the bytes that one instance sends over the link between two
// regions in one direction. Bytes are charged once their number is known, so that the
// balance can become negative. It is safe for concurrent use.
type LinkBudget struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

// NewLinkBudget returns the budget of one instance: the given share of the bandwidth
// of the link, divided equally among the instances that use it.
func NewLinkBudget(bandwidth units.Bandwidth, share units.Share, instances int, now time.Time) *LinkBudget {
	b := &LinkBudget{last: now}
	b.rate = linkRate(bandwidth, share, instances)
	b.tokens = b.burst()
	return b
}

func linkRate(bandwidth units.Bandwidth, share units.Share, instances int) float64 {
	return bandwidth.BytesPerSecond() * float64(share) / float64(max(instances, 1))
}

// Resize applies a change of the link or of the number of instances.
func (b *LinkBudget) Resize(bandwidth units.Bandwidth, share units.Share, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = linkRate(bandwidth, share, instances)
	b.tokens = min(b.tokens, b.burst())
}

// Open reports whether a request may use the link now. Deferrable requests may do so
// only while more than half of the burst is left.
func (b *LinkBudget) Open(now time.Time, deferrable bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if deferrable {
		return b.tokens > b.burst()*deferrableReserve
	}
	return b.tokens > 0
}

// Charge deducts bytes that were sent from the budget.
func (b *LinkBudget) Charge(now time.Time, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= float64(bytes)
}

func (b *LinkBudget) burst() float64 { return b.rate * linkBurst.Seconds() }

func (b *LinkBudget) refill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.burst(), b.tokens+elapsed*b.rate)
}

// Link is the pair of budgets towards one other region.
type Link struct {
	// Out is for requests, In for responses.
	Out *LinkBudget
	In  *LinkBudget
}

func (l Link) open(now time.Time, deferrable bool) bool {
	if l.Out == nil || l.In == nil {
		return true
	}
	return l.Out.Open(now, deferrable) && l.In.Open(now, deferrable)
}

func (l Link) charge(now time.Time, out, in int64) {
	if l.Out == nil || l.In == nil {
		return
	}
	l.Out.Charge(now, out)
	l.In.Charge(now, in)
}
