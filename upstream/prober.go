package upstream

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/balancing"
)

// Defaults of ProberOptions.
const (
	defaultProbeTimeout  = 500 * time.Millisecond
	defaultProbeInterval = 500 * time.Millisecond
	defaultProbeWorkers  = 16
	// probeJitter is the largest random deviation from the interval, as a fraction
	// of it.
	probeJitter = 0.1
	// maxProbeFailures is the number of consecutive failed probes after which an
	// upstream is reported unhealthy.
	maxProbeFailures = 2
)

// ProbeTarget is one upstream with the endpoints to probe.
type ProbeTarget struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Address is the IP address and port.
	Address    string
	HealthPath string
	// LoadPath is empty when there is no load endpoint.
	LoadPath string
	// Interval is the average time between two probes. Default 500 ms.
	Interval time.Duration
}

// ProberOptions are the settings of a Prober. Zero values stand for the defaults.
type ProberOptions struct {
	// Timeout bounds one probe, both endpoints together. Default 500 ms.
	Timeout time.Duration
	// Workers bounds the probes that run concurrently. Default 16.
	Workers int
	// OnResult receives the results, except the first of consecutive failures and
	// those of removed targets. It is called from several goroutines.
	OnResult func(balancing.ProbeResult)
	// Rand is the source of the jitter. Default: a source with a fixed seed.
	Rand *rand.Rand
}

// Prober probes the health and load endpoints of upstreams with one scheduling
// goroutine and a bounded number of workers.
type Prober struct {
	options ProberOptions
	client  *http.Client
	wake    chan struct{}
	workers chan struct{}

	mu     sync.Mutex
	probes map[string]*probe
}

// probe is the schedule of one target.
type probe struct {
	target  ProbeTarget
	due     time.Time
	running bool
	// failures counts consecutive failures.
	failures int
}

// NewProber returns a prober without targets.
func NewProber(options ProberOptions) *Prober {
	options.Timeout = cmp.Or(options.Timeout, defaultProbeTimeout)
	options.Workers = cmp.Or(options.Workers, defaultProbeWorkers)
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(1, 1))
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     defaultIdleTimeout,
		DisableCompression:  true,
	}
	return &Prober{
		options: options,
		client:  &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		wake:    make(chan struct{}, 1),
		workers: make(chan struct{}, options.Workers),
		probes:  map[string]*probe{},
	}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return errors.New("probe was redirected")
}

// Update replaces the targets. New and changed ones are probed at once.
func (p *Prober) Update(targets []ProbeTarget) {
	p.mu.Lock()
	old := p.probes
	p.probes = make(map[string]*probe, len(targets))
	for _, t := range targets {
		t.Interval = cmp.Or(t.Interval, defaultProbeInterval)
		if kept := old[t.Upstream]; kept != nil && kept.target == t {
			p.probes[t.Upstream] = kept
			continue
		}
		p.probes[t.Upstream] = &probe{target: t}
	}
	p.mu.Unlock()
	p.signal()
}

// signal wakes Run up.
func (p *Prober) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run probes until ctx ends, and returns when all running probes have returned.
func (p *Prober) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer p.client.CloseIdleConnections()
	defer running.Wait()
	for {
		due, next := p.takeDue(time.Now())
		for _, pr := range due {
			if !p.acquireWorker(ctx) {
				return
			}
			running.Go(func() { p.runProbe(ctx, pr) })
		}
		if !p.sleep(ctx, next) {
			return
		}
	}
}

func (p *Prober) acquireWorker(ctx context.Context) bool {
	select {
	case p.workers <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for the duration or a signal. It returns false when ctx ends first.
func (p *Prober) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// takeDue marks the due probes as running and returns them with the time until
// the next one is due.
func (p *Prober) takeDue(now time.Time) ([]*probe, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*probe
	next := time.Second
	for _, pr := range p.probes {
		if pr.running {
			continue
		}
		if wait := pr.due.Sub(now); wait > 0 {
			next = min(next, wait)
			continue
		}
		pr.running = true
		due = append(due, pr)
	}
	return due, next
}

// runProbe queries the endpoints of the target and reports the result.
func (p *Prober) runProbe(ctx context.Context, pr *probe) {
	defer func() { <-p.workers }()
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	health, err := fetchReport[HealthReport](ctx, p.client, pr.target.Address, pr.target.HealthPath)
	load := LoadReport{Load: -1}
	if err == nil && pr.target.LoadPath != "" {
		load = p.fetchLoad(ctx, pr.target)
	}
	result := balancing.ProbeResult{
		Upstream: pr.target.Upstream,
		Draining: health.Draining,
		Cold:     health.Cold,
		Load:     load.Load,
		At:       started,
	}
	if p.finish(pr, err == nil, &result) {
		p.options.OnResult(result)
	}
}

// fetchLoad returns the load report of the target; Load is -1 when there is none
// that is valid.
func (p *Prober) fetchLoad(ctx context.Context, t ProbeTarget) LoadReport {
	report, err := fetchReport[LoadReport](ctx, p.client, t.Address, t.LoadPath)
	if err != nil || !report.valid() {
		return LoadReport{Load: -1}
	}
	return report
}

// finish schedules the next probe and reports whether to deliver the result:
// the first of consecutive failures and the result of a removed target are not.
func (p *Prober) finish(pr *probe, ok bool, result *balancing.ProbeResult) bool {
	defer p.signal()
	p.mu.Lock()
	defer p.mu.Unlock()
	pr.running = false
	jitter := 1 + probeJitter*(2*p.options.Rand.Float64()-1)
	pr.due = result.At.Add(time.Duration(float64(pr.target.Interval) * jitter))
	if ok {
		pr.failures = 0
	} else {
		pr.failures++
	}
	result.Healthy = ok
	current := p.probes[pr.target.Upstream] == pr
	return current && p.options.OnResult != nil && (ok || pr.failures >= maxProbeFailures)
}
