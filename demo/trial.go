package demo

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/daemon"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
)

const (
	// stopTimeout bounds the graceful end of one entry instance.
	stopTimeout = 60 * time.Second
	// settleTimeout bounds each wait after the harms have ended.
	settleTimeout = 60 * time.Second
	// settlePoll is the pause between two looks at what is waited for.
	settlePoll = 100 * time.Millisecond
	// stepTime is the time between two steps of a schedule.
	stepTime = 400 * time.Millisecond
	// trialEntries is the number of entry instances at the start of a trial.
	trialEntries = 10
	// minRunning is the number of entry instances below which none is stopped.
	minRunning = 6
)

// TrialReporter receives what a trial finds. *testing.T is one.
type TrialReporter interface {
	// Errorf reports a promise that was broken.
	Errorf(format string, args ...any)
	// Logf reports the course of the trial.
	Logf(format string, args ...any)
}

// TrialOptions are the settings of a trial. Zero values stand for the defaults.
type TrialOptions struct {
	// Seed draws the harms.
	Seed uint64
	// Steps is the number of steps at which harms begin. Default 35.
	Steps int
	// MaxHarm is the longest time that one harm lasts. Default 4 s.
	MaxHarm time.Duration
}

// node is one run of an entry instance.
type node struct {
	*daemon.Instance
	settings *static.Settings
	stopping bool
}

// trial is one run of a system with its harms.
type trial struct {
	ctx    context.Context
	report TrialReporter
	s      *System
	start  time.Time

	faults  faultState
	ledger  *callerLedger
	history *history

	operators sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// named counts the entry instances that were ever started.
	named int
	// clients are those of the callers.
	clients []*http.Client
}

// RunTrial starts a small system, harms it in many ways at once, as drawn from a
// seed, while callers and operators use it, and reports each promise that is
// broken. It returns an error when the system could not be started.
func RunTrial(ctx context.Context, options TrialOptions, report TrialReporter) error {
	options.Steps = cmp.Or(options.Steps, 35)
	options.MaxHarm = cmp.Or(options.MaxHarm, 4*time.Second)
	r := &trial{ctx: ctx, report: report, start: time.Now(), ledger: newCallerLedger(), history: newHistory()}
	err := r.provision()
	if err == nil {
		r.run(options)
	}
	return errors.CombineErrors(err, r.cleanup())
}

func (r *trial) run(options TrialOptions) {
	plan := newSchedule(options.Seed, options.Steps, options.MaxHarm)
	ctx, stopCallers := context.WithCancel(r.ctx)
	defer stopCallers()
	callers := r.startCallers(ctx, options.Seed)
	observing, stopObserver := context.WithCancel(r.ctx)
	defer stopObserver()
	observed := r.startObserver(observing)
	r.harm(plan)
	r.report.Logf("harms ended after %s: %v", time.Since(r.start).Round(time.Millisecond), plan.counts())
	r.operators.Wait()
	r.checkNewestVersion()
	r.checkEveryInstanceServes()
	r.settleFilings()
	r.checkShiftsEnd()
	stopCallers()
	callers.Wait()
	r.checkDrained()
	r.checkWithdrawnKeys()
	stopObserver()
	observed.Wait()
	r.checkStreams()
	r.checkFilings()
	r.checkRates()
	r.checkKeysUnseen()
	r.summarize()
}

func (r *trial) provision() error {
	var err error
	r.s, err = Start(Options{
		Entries: trialEntries,
		Change:  trialObjects,
		OnViolation: func(name invariant.Name, detail string) {
			r.report.Errorf("invariant %s: %s", name, detail)
		},
	})
	if err != nil {
		return err
	}
	for n := range r.s.domains {
		err = r.s.AddUpstream(sizes[0], secondVersion, n)
		if err != nil {
			return err
		}
	}
	for i, instance := range r.s.Entries {
		r.nodes = append(r.nodes, &node{Instance: instance, settings: r.s.settings[i]})
	}
	r.named = len(r.nodes)
	r.faults.init()
	return r.s.WaitReady(r.ctx)
}

func (r *trial) cleanup() error {
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	r.s.Entries = r.running()
	return r.s.Stop()
}

// trialObjects adds customers whose rates and keys operators change.
func trialObjects(set *dynamic.Set) {
	for _, c := range randomCustomers {
		set.Customers = append(set.Customers, dynamic.Customer{Name: c.name, Rate: c.rates[0].rate, Burst: c.rates[0].burst})
		for _, key := range c.keys {
			set.Keys = append(set.Keys, dynamic.Key{Name: key, Customer: c.name, SHA256: hashOf(key)})
		}
	}
}

// waitFor polls until the condition holds, which otherwise says what is missing.
func (r *trial) waitFor(timeout time.Duration, condition func() (missing string, ok bool)) {
	deadline := time.Now().Add(timeout)
	for {
		missing, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) || r.ctx.Err() != nil {
			r.report.Errorf("not so after %s: %s", timeout, missing)
			return
		}
		time.Sleep(settlePoll)
	}
}

func missing(format string, args ...any) (string, bool) { return fmt.Sprintf(format, args...), false }

// running returns the entry instances that have not been told to stop.
func (r *trial) running() []*daemon.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*daemon.Instance
	for _, n := range r.nodes {
		if !n.stopping {
			all = append(all, n.Instance)
		}
	}
	return all
}

// stopOne stops an entry instance gracefully and returns its settings, or nil
// when too few are running.
func (r *trial) stopOne(pick int) *static.Settings {
	n := r.choose(pick)
	if n == nil {
		return nil
	}
	r.s.listEntry(n.settings, platform.InstanceLeaving)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := n.Cleanup(ctx)
	if err != nil {
		r.report.Errorf("planned stop of %s after %s: %v", n.settings.Name, time.Since(begin), err)
	}
	r.s.Platform.RemoveInstance(n.settings.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.nodes {
		if other == n {
			r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
			break
		}
	}
	return n.settings
}

func (r *trial) choose(pick int) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []*node
	for _, n := range r.nodes {
		if !n.stopping {
			live = append(live, n)
		}
	}
	if len(live) <= minRunning {
		return nil
	}
	n := live[pick%len(live)]
	n.stopping = true
	return n
}

// startOne starts an entry instance: at the address of the earlier one, or at a
// new address in its failure domain.
func (r *trial) startOne(earlier *static.Settings, sameAddress bool) {
	settings := *earlier
	if !sameAddress {
		r.mu.Lock()
		n := r.named
		r.named++
		r.mu.Unlock()
		fresh, err := r.s.entrySettings(n, dynamic.FailureDomain{Name: earlier.FailureDomain, Region: earlier.Region})
		if err != nil {
			r.report.Errorf("%v", err)
			return
		}
		settings = *fresh
	}
	instance, err := r.s.startEntry(&settings)
	if sameAddress && errors.Is(err, syscall.EADDRINUSE) {
		// A connection of another process has got the port meanwhile.
		r.report.Logf("%s starts at a new address: %v", settings.Name, err)
		r.startOne(earlier, false)
		return
	}
	if err != nil {
		r.report.Errorf("start of %s: %v", settings.Name, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, &node{Instance: instance, settings: &settings})
}

// addresses returns the caller addresses of all entry instances that run or stop.
func (r *trial) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]string, len(r.nodes))
	for i, n := range r.nodes {
		all[i] = n.CallerAddress()
	}
	return all
}

// newClient returns a client with connections of its own.
func (r *trial) newClient() *http.Client {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients = append(r.clients, client)
	return client
}
