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
	// stopTimeout limits the graceful shutdown of one entry instance.
	stopTimeout = 60 * time.Second
	// convergenceTimeout limits each wait after the faults have ended.
	convergenceTimeout = 60 * time.Second
	// convergencePollInterval is the time between two polls of a condition.
	convergencePollInterval = 100 * time.Millisecond
	// stepInterval is the time between two steps of a schedule.
	stepInterval = 400 * time.Millisecond
	// trialEntries is the number of entry instances at the start of a trial.
	trialEntries = 10
	// minRunningEntries is the number of running entry instances that are always kept.
	minRunningEntries = 6
)

// TrialReporter receives the reports of a trial. *testing.T implements it.
type TrialReporter interface {
	// Errorf reports a violated guarantee.
	Errorf(format string, args ...any)
	// Logf reports the progress of the trial.
	Logf(format string, args ...any)
}

// TrialOptions are the settings of a trial. Zero values of Steps and
// MaxFaultDuration mean the defaults.
type TrialOptions struct {
	// Seed seeds the random choice of the faults.
	Seed uint64
	// Steps is the number of steps at which faults begin. It defaults to 35.
	Steps int
	// MaxFaultDuration is the longest duration of one fault. It defaults to 4 s and
	// must be longer than minFaultDuration.
	MaxFaultDuration time.Duration
}

// entryRun is one run of an entry instance, from its start until it has stopped.
type entryRun struct {
	*daemon.Instance
	settings *static.Settings
	stopping bool
}

// trial is one run of a system under fault injection.
type trial struct {
	ctx       context.Context
	reporter  TrialReporter
	system    *System
	startedAt time.Time

	activeFaults activeFaults
	ledger       *callerLedger
	history      *history

	operators sync.WaitGroup

	mu        sync.Mutex
	entryRuns []*entryRun
	// namedEntries counts the entry instances that have been given a name. The
	// next name is numbered by it.
	namedEntries int
	// clients are those of the callers.
	clients []*http.Client
}

// RunTrial starts a small system, injects concurrent faults drawn from a seed while
// callers and operators use it, and reports each violated guarantee. It returns an
// error when the system could not be started or stopped.
func RunTrial(ctx context.Context, options TrialOptions, reporter TrialReporter) error {
	options.Steps = cmp.Or(options.Steps, 35)
	options.MaxFaultDuration = cmp.Or(options.MaxFaultDuration, 4*time.Second)
	r := &trial{ctx: ctx, reporter: reporter, startedAt: time.Now(), ledger: newCallerLedger(), history: newHistory()}
	err := r.provision()
	if err == nil {
		r.run(options)
	}
	return errors.CombineErrors(err, r.cleanup())
}

func (r *trial) run(options TrialOptions) {
	drawn := newSchedule(options.Seed, options.Steps, options.MaxFaultDuration)
	ctx, stopCallers := context.WithCancel(r.ctx)
	defer stopCallers()
	runningCallers := r.startCallers(ctx, options.Seed)
	observerCtx, stopObserver := context.WithCancel(r.ctx)
	defer stopObserver()
	observer := r.startObserver(observerCtx)
	r.injectFaults(drawn)
	r.reporter.Logf("faults ended after %s: %v", time.Since(r.startedAt).Round(time.Millisecond), drawn.counts())
	r.operators.Wait()
	r.checkNewestVersion()
	r.checkEveryInstanceServes()
	r.completeFilings()
	r.checkShiftsEnd()
	stopCallers()
	runningCallers.Wait()
	r.checkDrainedUpstreams()
	r.checkWithdrawnKeys()
	stopObserver()
	observer.Wait()
	r.checkStreams()
	r.checkFilings()
	r.checkRates()
	r.checkNoKeyForwarded()
	r.summarize()
}

func (r *trial) provision() error {
	var err error
	r.system, err = Start(Options{
		Entries: trialEntries,
		Change:  addTrialCustomers,
		OnViolation: func(name invariant.Name, detail string) {
			r.reporter.Errorf("invariant %s: %s", name, detail)
		},
	})
	if err != nil {
		return err
	}
	for n := range r.system.domains {
		err = r.system.AddUpstream(serviceSizes[0], secondVersion, n)
		if err != nil {
			return err
		}
	}
	for i, instance := range r.system.Entries {
		r.entryRuns = append(r.entryRuns, &entryRun{Instance: instance, settings: r.system.settings[i]})
	}
	r.namedEntries = len(r.entryRuns)
	r.activeFaults.init()
	return r.system.WaitReady(r.ctx)
}

func (r *trial) cleanup() error {
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	r.system.Entries = r.runningEntries()
	return r.system.Stop()
}

// addTrialCustomers adds customers whose rates and keys operators change.
func addTrialCustomers(set *dynamic.Set) {
	for _, c := range trialCustomers {
		set.Customers = append(set.Customers, dynamic.Customer{Name: c.name, Rate: c.rates[0].rate, Burst: c.rates[0].burst})
		for _, key := range c.keys {
			set.Keys = append(set.Keys, dynamic.Key{Name: key, Customer: c.name, SHA256: hashOf(key)})
		}
	}
}

// waitFor polls until the condition holds. Until then the condition returns what is
// unmet, which is reported when the timeout passes.
func (r *trial) waitFor(timeout time.Duration, condition func() (unmet string, ok bool)) {
	deadline := time.Now().Add(timeout)
	for {
		unmet, ok := condition()
		if ok {
			return
		}
		if time.Now().After(deadline) || r.ctx.Err() != nil {
			r.reporter.Errorf("condition not met after %s: %s", timeout, unmet)
			return
		}
		time.Sleep(convergencePollInterval)
	}
}

// unmet returns the results of a condition that does not hold yet.
func unmet(format string, args ...any) (string, bool) { return fmt.Sprintf(format, args...), false }

// runningEntries returns the entry instances that are not being stopped.
func (r *trial) runningEntries() []*daemon.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*daemon.Instance
	for _, run := range r.entryRuns {
		if !run.stopping {
			all = append(all, run.Instance)
		}
	}
	return all
}

// stopEntry stops an entry instance gracefully and returns its settings, or nil
// when no more than minRunningEntries are running.
func (r *trial) stopEntry(selector int) *static.Settings {
	run := r.chooseEntryToStop(selector)
	if run == nil {
		return nil
	}
	r.system.listEntry(run.settings, platform.InstanceLeaving)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := run.Cleanup(ctx)
	if err != nil {
		r.reporter.Errorf("planned stop of %s after %s: %v", run.settings.Name, time.Since(begin), err)
	}
	r.system.Platform.RemoveInstance(run.settings.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.entryRuns {
		if other == run {
			r.entryRuns = append(r.entryRuns[:i], r.entryRuns[i+1:]...)
			break
		}
	}
	return run.settings
}

// chooseEntryToStop marks an entry instance as stopping and returns it, or nil when
// no more than minRunningEntries are running.
func (r *trial) chooseEntryToStop(selector int) *entryRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*entryRun
	for _, run := range r.entryRuns {
		if !run.stopping {
			candidates = append(candidates, run)
		}
	}
	if len(candidates) <= minRunningEntries {
		return nil
	}
	run := candidates[selector%len(candidates)]
	run.stopping = true
	return run
}

// startReplacement starts an entry instance that replaces a stopped one: with the
// same settings, or with a new name and new addresses in the same failure domain.
func (r *trial) startReplacement(previous *static.Settings, sameAddress bool) {
	settings := *previous
	if !sameAddress {
		r.mu.Lock()
		number := r.namedEntries
		r.namedEntries++
		r.mu.Unlock()
		newSettings, err := r.system.entrySettings(number, dynamic.FailureDomain{Name: previous.FailureDomain, Region: previous.Region})
		if err != nil {
			r.reporter.Errorf("%v", err)
			return
		}
		settings = *newSettings
	}
	instance, err := r.system.startEntry(&settings)
	if sameAddress && errors.Is(err, syscall.EADDRINUSE) {
		// A connection of another process uses the port now.
		r.reporter.Logf("%s starts at a new address: %v", settings.Name, err)
		r.startReplacement(previous, false)
		return
	}
	if err != nil {
		r.reporter.Errorf("start of %s: %v", settings.Name, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryRuns = append(r.entryRuns, &entryRun{Instance: instance, settings: &settings})
}

// callerAddresses returns the caller addresses of all entry instances that are
// running or being stopped.
func (r *trial) callerAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]string, len(r.entryRuns))
	for i, run := range r.entryRuns {
		all[i] = run.CallerAddress()
	}
	return all
}

// newClient returns a client that shares no connections with other clients.
func (r *trial) newClient() *http.Client {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients = append(r.clients, client)
	return client
}
