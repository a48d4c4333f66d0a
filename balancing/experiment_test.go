package balancing

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/routing"
)

// Parameters of the overload experiment.
const (
	experimentCustomers = 8
	experimentLarge     = 5
	experimentTime      = 6 * time.Second
	// experimentMargin is the time at the start and at the end that is not measured.
	experimentMargin   = time.Second
	experimentService  = 20 * time.Millisecond
	experimentDeadline = time.Second
	experimentProbe    = 500 * time.Millisecond
)

var full = flag.Bool("experiment.full", false, "run the overload experiment at full length and against round robin")

// length returns the duration of a run, and the margin at its start and at its end that
// is not measured.
func length() (whole, margin time.Duration) {
	if *full {
		return 6 * time.Second, time.Second
	}
	return 3 * time.Second, 500 * time.Millisecond
}

// worker simulates an upstream that serves as many requests as it has slots and queues
// the rest.
type worker struct {
	slots chan struct{}
	// factor multiplies the service time.
	factor float64
}

// serve runs a request and reports whether it completed before ctx ended.
func (w *worker) serve(ctx context.Context, service time.Duration) bool {
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.slots }()
	timer := time.NewTimer(time.Duration(float64(service) * w.factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// policy sends one request and reports whether it got a response.
type policy func(ctx context.Context, customer string, service time.Duration) bool

// scenario describes the faults of the upstreams.
type scenario struct {
	name string
	// slow multiplies the service time of the first upstream.
	slow float64
	// report returns the load that upstream i reports; nil stands for the true load.
	report func(i int) float64
}

var scenarios = []scenario{
	{name: "half say full", slow: 1, report: func(i int) float64 { return float64(i % 2) }},
	{name: "one 5x slow", slow: 5},
}

// fullScenarios run in addition with -experiment.full.
var fullScenarios = []scenario{
	{name: "honest", slow: 1},
	{name: "all say full", slow: 1, report: func(int) float64 { return 1 }},
}

// run is the state of one run of the experiment.
type run struct {
	scenario scenario
	workers  []*worker
	list     []*routing.Upstream
	pool     *Pool
	next     atomic.Uint64
	started  time.Time

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	offered  [experimentCustomers]int
	answered [experimentCustomers]int
	freeSum  float64
	samples  int
}

func newRun(t *testing.T, s scenario) *run {
	r := &run{scenario: s, started: time.Now(), latency: hdrhistogram.New(1, 10_000_000, 3)}
	r.list = upstreams(3, 4, 5, 6, 7, 8, 9, 9, 6, 6, 5, 4)
	for i, u := range r.list {
		w := &worker{slots: make(chan struct{}, u.Slots), factor: 1}
		if i == 0 {
			w.factor = s.slow
		}
		r.workers = append(r.workers, w)
	}
	r.pool = NewPool(PoolOptions{Checker: failOnViolation(t)})
	r.pool.Update(r.list)
	return r
}

func (r *run) slots() int {
	total := 0
	for _, u := range r.list {
		total += u.Slots
	}
	return total
}

// capacity returns the number of requests per second that the upstreams can serve.
func (r *run) capacity() float64 {
	total := 0.0
	for i, w := range r.workers {
		total += float64(r.list[i].Slots) / w.factor
	}
	return total / experimentService.Seconds()
}

func (r *run) sendThroughPool(ctx context.Context, customer string, service time.Duration) bool {
	l, err := r.pool.Acquire(ctx, Ticket{Customer: customer})
	if err != nil {
		return false
	}
	var i int
	fmt.Sscanf(l.Upstream.Name, "u%d", &i)
	ok := r.workers[i].serve(ctx, service)
	result := ResultOK
	if !ok {
		result = ResultFailed
	}
	l.Release(result)
	return ok
}

func (r *run) sendRoundRobin(ctx context.Context, _ string, service time.Duration) bool {
	i := int(r.next.Add(1)) % len(r.workers)
	return r.workers[i].serve(ctx, service)
}

// offer sends requests of one customer at the rate, in requests per second, with
// exponentially distributed intervals and service times.
func (r *run) offer(customer int, rate float64, send policy, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(7, uint64(customer)))
	whole, _ := length()
	end := time.Now().Add(whole)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		service := time.Duration(random.ExpFloat64() * float64(experimentService))
		running.Go(func() { r.request(customer, service, send) })
	}
}

func (r *run) request(customer int, service time.Duration, send policy) {
	ctx, cancel := context.WithTimeout(context.Background(), experimentDeadline)
	defer cancel()
	started := time.Now()
	ok := send(ctx, fmt.Sprint(customer), service)
	if !r.measured(started) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered[customer]++
	if ok {
		r.answered[customer]++
		_ = r.latency.RecordValue(time.Since(started).Microseconds())
	}
}

// measured reports whether the time is in the measured part of the run.
func (r *run) measured(at time.Time) bool {
	whole, margin := length()
	age := at.Sub(r.started)
	return age >= margin && age < whole-margin
}

// watch samples the free slots and sends load reports until ctx ends.
func (r *run) watch(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	probed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		used := 0
		for _, w := range r.workers {
			used += len(w.slots)
		}
		if r.measured(time.Now()) {
			r.freeSum += 1 - float64(used)/float64(r.slots())
			r.samples++
		}
		if time.Since(probed) >= experimentProbe {
			probed = time.Now()
			r.probe()
		}
	}
}

func (r *run) probe() {
	for i, u := range r.list {
		load := float64(len(r.workers[i].slots)) / float64(u.Slots)
		if r.scenario.report != nil {
			load = r.scenario.report(i)
		}
		r.pool.Observe(ProbeResult{Upstream: u.Name, Healthy: true, Load: load, At: time.Now()})
	}
}

// outcome holds the measurements of a run.
type outcome struct {
	p50, p99 time.Duration
	// headroom is the mean fraction of free slots.
	headroom float64
	// lowestShare is the lowest fraction that a customer got of its requests or of an
	// equal share of the capacity, whichever is less.
	lowestShare float64
	// withinShare is the fraction of the requests of the customers within their share
	// that got a response.
	withinShare float64
	answered    float64
}

func (r *run) measure(load float64, send policy) outcome {
	capacity := r.capacity()
	baseRate := load * capacity / (experimentCustomers - 1 + experimentLarge)
	ctx, cancel := context.WithCancel(context.Background())
	var running, watching sync.WaitGroup
	watching.Go(func() { r.watch(ctx) })
	for c := range experimentCustomers {
		rate := baseRate
		if c == 0 {
			rate *= experimentLarge
		}
		running.Go(func() { r.offer(c, rate, send, &running) })
	}
	running.Wait()
	cancel()
	watching.Wait()
	return r.outcome(capacity)
}

func (r *run) outcome(capacity float64) outcome {
	o := outcome{lowestShare: 1, headroom: r.freeSum / float64(r.samples)}
	o.p50 = time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond
	o.p99 = time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
	whole, margin := length()
	share := capacity * (whole - 2*margin).Seconds() / experimentCustomers
	var offered, answered, small, smallAnswered float64
	for c := range experimentCustomers {
		o.lowestShare = min(o.lowestShare, float64(r.answered[c])/min(float64(r.offered[c]), share))
		offered += float64(r.offered[c])
		answered += float64(r.answered[c])
		if c > 0 {
			small += float64(r.offered[c])
			smallAnswered += float64(r.answered[c])
		}
	}
	o.withinShare = smallAnswered / small
	o.answered = answered / offered
	return o
}

// TestOverloadExperiment compares a pool with plain round robin in synthetic time, with
// 12 upstreams of 3 to 9 slots and 8 customers, one of which sends 5 times as much as
// each of the others. It logs the measurements. Round robin runs only with
// -experiment.full.
func TestOverloadExperiment(t *testing.T) {
	t.Logf("%-14s %4s %-11s %9s %9s %9s %9s %9s %9s", "scenario", "load", "policy", "p50", "p99", "headroom", "worst", "small", "answered")
	all := scenarios
	if *full {
		all = append(fullScenarios, scenarios...)
	}
	for _, s := range all {
		for _, load := range []float64{0.7, 1, 2} {
			pool := experiment(t, s, load, "pool", func(r *run) policy { return r.sendThroughPool })
			if *full {
				robin := experiment(t, s, load, "round robin", func(r *run) policy { return r.sendRoundRobin })
				assert.Check(t, pool.lowestShare >= robin.lowestShare, "%s at %v", s.name, load)
			}
			if load < 1 {
				assert.Check(t, pool.withinShare >= 0.999, "%s at %v: a customer within its share was refused", s.name, load)
			}
			assert.Check(t, pool.lowestShare >= 0.9, "%s at %v: a customer got less than its share", s.name, load)
		}
	}
}

func experiment(t *testing.T, s scenario, load float64, name string, choose func(r *run) policy) outcome {
	var o outcome
	synctest.Test(t, func(t *testing.T) {
		r := newRun(t, s)
		o = r.measure(load, choose(r))
	})
	t.Logf("%-14s %4.1f %-11s %9v %9v %8.1f%% %8.1f%% %8.1f%% %8.1f%%", s.name, load, name,
		o.p50.Round(10*time.Microsecond), o.p99.Round(10*time.Microsecond), 100*o.headroom, 100*o.lowestShare, 100*o.withinShare, 100*o.answered)
	return o
}

func quantiles(values []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(values)
	at := func(q float64) time.Duration {
		return values[int(q*float64(len(values)-1))].Round(10 * time.Microsecond)
	}
	return at(0.5), at(0.99)
}
