package demo

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/daemon"
	"samphireferry.example/ferry/platform"
)

// stopTimeout bounds the graceful end of one entry instance. It is no promise.
const stopTimeout = 60 * time.Second

var (
	firstSeed = flag.Uint64("demo.seed", 1, "first seed of TestRandomRun")
	seeds     = flag.Int("demo.seeds", 2, "number of seeds of TestRandomRun")
	steps     = flag.Int("demo.steps", 35, "number of steps of each seed of TestRandomRun")
	maxHarm   = flag.Duration("demo.harm", 4*time.Second, "longest time that one harm of TestRandomRun lasts")
)

const (
	// stepTime is the time between two steps of a schedule.
	stepTime = 400 * time.Millisecond
	// randomEntries is the number of entry instances at the start of a run.
	randomEntries = 10
	// minRunning is the number of entry instances below which none is stopped.
	minRunning = 6
)

// TestRandomRun harms a whole system in many ways at once, as drawn from a
// seed, while callers and operators use it, and checks its promises.
func TestRandomRun(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandom(t, seed) })
	}
}

// node is one run of an entry instance.
type node struct {
	*daemon.Instance
	settings *static.Settings
	stopping bool
}

// randomRun is one run of a system with its harms.
type randomRun struct {
	t     *testing.T
	s     *System
	start time.Time

	faults  faultState
	ledger  *callerLedger
	history *history

	operators sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// named counts the entry instances that were ever started.
	named int
}

func runRandom(t *testing.T, seed uint64) {
	r := newRandomRun(t)
	plan := newSchedule(seed, *steps)
	ctx, stopCallers := context.WithCancel(t.Context())
	defer stopCallers()
	callers := r.startCallers(ctx, seed)
	observing, stopObserver := context.WithCancel(t.Context())
	defer stopObserver()
	observed := r.startObserver(observing)
	r.harm(plan)
	t.Logf("harms ended after %s: %v", time.Since(r.start).Round(time.Millisecond), plan.counts())
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
	r.report()
}

func newRandomRun(t *testing.T) *randomRun {
	r := &randomRun{t: t, start: time.Now(), ledger: newCallerLedger(), history: newHistory()}
	r.s = startSystem(t, Options{Entries: randomEntries, Change: randomObjects})
	for n := range r.s.domains {
		assert.NilError(t, r.s.AddUpstream(sizes[0], secondVersion, n))
	}
	waitReady(t, r.s)
	for i, instance := range r.s.Entries {
		r.nodes = append(r.nodes, &node{Instance: instance, settings: r.s.settings[i]})
	}
	r.named = len(r.nodes)
	r.faults.init()
	t.Cleanup(func() { r.s.Entries = r.running() })
	return r
}

// randomObjects adds customers whose rates and keys operators change.
func randomObjects(set *dynamic.Set) {
	for _, c := range randomCustomers {
		set.Customers = append(set.Customers, dynamic.Customer{Name: c.name, Rate: c.rates[0].rate, Burst: c.rates[0].burst})
		for _, key := range c.keys {
			set.Keys = append(set.Keys, dynamic.Key{Name: key, Customer: c.name, SHA256: hashOf(key)})
		}
	}
}

// running returns the entry instances that have not been told to stop.
func (r *randomRun) running() []*daemon.Instance {
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
func (r *randomRun) stopOne(pick int) *static.Settings {
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
		r.t.Errorf("planned stop of %s after %s: %v", n.settings.Name, time.Since(begin), err)
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

func (r *randomRun) choose(pick int) *node {
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
func (r *randomRun) startOne(earlier *static.Settings, sameAddress bool) {
	settings := *earlier
	if !sameAddress {
		r.mu.Lock()
		n := r.named
		r.named++
		r.mu.Unlock()
		fresh, err := r.s.entrySettings(n, dynamic.FailureDomain{Name: earlier.FailureDomain, Region: earlier.Region})
		if err != nil {
			r.t.Error(err)
			return
		}
		settings = *fresh
	}
	instance, err := r.s.startEntry(&settings)
	if sameAddress && errors.Is(err, syscall.EADDRINUSE) {
		// A connection of another process has got the port meanwhile.
		r.t.Logf("%s starts at a new address: %v", settings.Name, err)
		r.startOne(earlier, false)
		return
	}
	if err != nil {
		r.t.Errorf("start of %s: %v", settings.Name, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, &node{Instance: instance, settings: &settings})
}

// addresses returns the caller addresses of all entry instances that run or stop.
func (r *randomRun) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]string, len(r.nodes))
	for i, n := range r.nodes {
		all[i] = n.CallerAddress()
	}
	return all
}

// newTransport returns the connections of one caller.
func newTransport(t *testing.T) *http.Transport {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}
