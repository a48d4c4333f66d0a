package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"samphireferry.example/ferry/platform"
)

// Options holds the settings of a Platform. The zero value is ready to use.
type Options struct {
	// Seed is the seed of the random choices of the fault switches.
	Seed uint64
	// WritesPerSecond and ReadsPerSecond limit the rate of accepted calls; calls beyond
	// them fail with platform.ErrUnavailable. 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Instances is the initial list of instances.
	Instances []platform.Instance
	// InstanceLag is the age of the list of instances that is returned.
	InstanceLag time.Duration
}

// Platform is an in-memory store and list of instances.
type Platform struct {
	mu       sync.Mutex
	revision platform.Revision
	// era counts the restores.
	era       int64
	keys      map[string]*history
	leases    map[platform.LeaseID]*lease
	nextLease platform.LeaseID
	// changed is closed and replaced at each write.
	changed chan struct{}
	// silenceCount counts how often watches have been silenced.
	silenceCount int
	faults       Faults
	calls        map[platform.CallKind]uint64
	instances    []instanceList
	random       *rand.Rand
	writes       *rate.Limiter
	reads        *rate.Limiter
}

var (
	_ platform.Store          = (*Platform)(nil)
	_ platform.InstanceLister = (*Platform)(nil)
)

// New returns an empty store with the listed instances.
func New(options Options) *Platform {
	p := &Platform{
		keys:    map[string]*history{},
		leases:  map[platform.LeaseID]*lease{},
		changed: make(chan struct{}),
		calls:   map[platform.CallKind]uint64{},
		faults:  Faults{InstanceLag: Duration(options.InstanceLag)},
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		writes:  limiter(options.WritesPerSecond),
		reads:   limiter(options.ReadsPerSecond),
	}
	p.instances = []instanceList{{rows: options.Instances}}
	return p
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Calls returns the number of calls of each kind so far.
func (p *Platform) Calls() map[platform.CallKind]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[platform.CallKind]uint64{}
	for kind, n := range p.calls {
		counts[kind] = n
	}
	return counts
}

// TotalCalls returns the number of calls of all kinds so far.
func (p *Platform) TotalCalls() uint64 {
	var total uint64
	for _, n := range p.Calls() {
		total += n
	}
	return total
}

// begin counts a call, applies rate limit, delay and outage, and returns the fault
// switches that were set after the delay.
func (p *Platform) begin(ctx context.Context, kind platform.CallKind) (Faults, error) {
	p.mu.Lock()
	p.calls[kind]++
	faults := p.faults
	allowed := p.limiterOf(kind).Allow()
	p.mu.Unlock()
	if !allowed {
		return faults, platform.ErrUnavailable
	}
	if err := sleep(ctx, time.Duration(faults.Delay)); err != nil {
		return faults, err
	}
	faults = p.Faults()
	return faults, faults.outage(ctx)
}

// loseResponse decides at random whether the response to a write that took effect is lost.
func (p *Platform) loseResponse(faults Faults) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < faults.LoseAnswers
}

func (p *Platform) limiterOf(kind platform.CallKind) *rate.Limiter {
	if kind.Writes() {
		return p.writes
	}
	return p.reads
}

// notify wakes the waiting watches. The mutex is held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
