package demo

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	standinplatform "samphireferry.example/ferry/standin/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
)

// faultKind is the kind of a fault. The edits of operators are scheduled in the same
// way.
type faultKind string

const (
	faultPartitionDomains  faultKind = "cut between domains"
	faultPartitionPlatform faultKind = "cut to the platform"
	faultIsolateDomain     faultKind = "domain cut off from all"
	faultPlatformRefuses   faultKind = "platform refuses"
	faultPlatformHangs     faultKind = "platform hangs"
	faultPlatformDelay     faultKind = "platform delays"
	faultLostResponses     faultKind = "platform loses answers"
	faultSilentWatches     faultKind = "watches silent"
	faultListLag           faultKind = "list lags"
	faultStaleReads        faultKind = "stale reads"
	faultUpstreamRequests  faultKind = "upstream fault"
	faultUpstreamDrain     faultKind = "upstream drains"
	faultUpstreamStop      faultKind = "upstream stops"
	faultProbes            faultKind = "probes mislead"
	faultReplaceEntry      faultKind = "entry instance stops"
	editRates              faultKind = "operators change rates"
	editDrain              faultKind = "operators drain"
	editWithdrawKey        faultKind = "operators withdraw a key"
	editMove               faultKind = "operators move"
	editRollout            faultKind = "operators roll out"
	editRemoveMoves        faultKind = "operators remove a move"
)

const (
	// maxFaultsPerStep is the largest number of faults that begin at one step.
	maxFaultsPerStep = 3
	// minFaultDuration is the shortest duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	// upstreamsPerFault is the number of upstreams that one fault affects, except
	// for faultUpstreamStop, which stops one.
	upstreamsPerFault = 5

	platformDelay        = 300 * time.Millisecond
	listLag              = 3 * time.Second
	slowResponseDelay    = 700 * time.Millisecond
	lostResponseFraction = 0.4
	staleReadFraction    = 0.3
	staleAge             = 2 * time.Second
)

// faultWeights are the relative frequencies of the kinds of faults.
var faultWeights = []struct {
	kind   faultKind
	weight int
}{
	{faultPartitionDomains, 3}, {faultPartitionPlatform, 2}, {faultIsolateDomain, 1},
	{faultPlatformRefuses, 1}, {faultPlatformHangs, 1}, {faultPlatformDelay, 2}, {faultLostResponses, 2},
	{faultSilentWatches, 1}, {faultListLag, 1}, {faultStaleReads, 1},
	{faultUpstreamRequests, 6}, {faultUpstreamDrain, 2}, {faultUpstreamStop, 2}, {faultProbes, 2},
	{faultReplaceEntry, 3},
	{editRates, 3}, {editDrain, 2}, {editWithdrawKey, 1},
	{editMove, 2}, {editRemoveMoves, 1}, {editRollout, 2},
}

// fault is one scheduled fault, with the random numbers that select its targets and
// variants.
type fault struct {
	kind      faultKind
	duration  time.Duration
	selectors [4]int
}

// schedule lists the faults that begin at each step.
type schedule [][]fault

// newSchedule draws a random schedule. The same arguments give the same schedule.
func newSchedule(seed uint64, steps int, maxDuration time.Duration) schedule {
	random := rand.New(rand.NewPCG(seed, seed))
	var kinds []faultKind
	for _, w := range faultWeights {
		kinds = append(kinds, slices.Repeat([]faultKind{w.kind}, w.weight)...)
	}
	drawn := make(schedule, steps)
	for i := range drawn {
		for range random.IntN(maxFaultsPerStep + 1) {
			f := fault{kind: kinds[random.IntN(len(kinds))]}
			f.duration = minFaultDuration + time.Duration(random.Int64N(int64(maxDuration-minFaultDuration)))
			for p := range f.selectors {
				f.selectors[p] = random.IntN(1 << 20)
			}
			drawn[i] = append(drawn[i], f)
		}
	}
	return drawn
}

// counts returns the number of faults of each kind.
func (s schedule) counts() map[faultKind]int {
	counts := map[faultKind]int{}
	for _, step := range s {
		for _, f := range step {
			counts[f.kind]++
		}
	}
	return counts
}

// activeFaults counts the faults that are active at the same time, so that each part
// of the system recovers only after the last one that affects it.
type activeFaults struct {
	mu         sync.Mutex
	platform   map[faultKind]int
	partitions map[link]int
	upstreams  map[string]*upstreamFaults
}

// upstreamFaults are the active faults of one upstream.
type upstreamFaults struct {
	requests []standinupstream.Fault
	probes   []standinupstream.ProbeFault
	draining int
	stopped  int
}

func (f *activeFaults) init() {
	f.platform = map[faultKind]int{}
	f.partitions = map[link]int{}
	f.upstreams = map[string]*upstreamFaults{}
}

// injectFaults executes the schedule and returns when all faults have ended.
func (r *trial) injectFaults(drawn schedule) {
	var running sync.WaitGroup
	for _, step := range drawn {
		for _, f := range step {
			running.Go(func() { r.inject(f) })
		}
		time.Sleep(stepInterval)
	}
	running.Wait()
}

func (r *trial) inject(f fault) {
	switch f.kind {
	case faultPartitionDomains, faultPartitionPlatform, faultIsolateDomain:
		r.partition(f)
	case faultPlatformRefuses, faultPlatformHangs, faultPlatformDelay, faultLostResponses, faultSilentWatches, faultListLag, faultStaleReads:
		r.injectPlatformFault(f)
	case faultUpstreamRequests, faultUpstreamDrain, faultUpstreamStop, faultProbes:
		r.injectUpstreamFault(f)
	case faultReplaceEntry:
		r.replaceEntry(f)
	default:
		r.runOperators(f)
	}
}

func (r *trial) partition(f fault) {
	domains := r.system.domains
	first := domains[f.selectors[0]%len(domains)].Name
	var links []link
	switch f.kind {
	case faultPartitionDomains:
		second := domains[(f.selectors[0]+1+f.selectors[1]%(len(domains)-1))%len(domains)].Name
		links = append(links, newLink(first, second))
	case faultIsolateDomain:
		for _, d := range domains {
			if d.Name != first {
				links = append(links, newLink(first, d.Name))
			}
		}
		links = append(links, newLink(first, LocationPlatform))
	default:
		links = append(links, newLink(first, LocationPlatform))
	}
	r.history.recordInterruption(func() {
		r.changePartitions(links, 1)
		time.Sleep(f.duration)
		r.changePartitions(links, -1)
	})
}

// changePartitions adds the change to the number of active partitions of each link.
func (r *trial) changePartitions(links []link, change int) {
	r.activeFaults.mu.Lock()
	defer r.activeFaults.mu.Unlock()
	for _, l := range links {
		r.activeFaults.partitions[l] += change
		r.system.Network.SetPartitioned(l.a, l.b, r.activeFaults.partitions[l] > 0)
	}
}

func (r *trial) injectPlatformFault(f fault) {
	r.changePlatformFaults(f.kind, 1)
	time.Sleep(f.duration)
	r.changePlatformFaults(f.kind, -1)
}

// changePlatformFaults adds the change to the number of active faults of the kind,
// and sets the faults of the platform accordingly.
func (r *trial) changePlatformFaults(kind faultKind, change int) {
	r.activeFaults.mu.Lock()
	defer r.activeFaults.mu.Unlock()
	active := r.activeFaults.platform
	active[kind] += change
	var faults standinplatform.Faults
	if active[faultPlatformRefuses] > 0 {
		faults.Outage = standinplatform.OutageRefuse
	}
	if active[faultPlatformHangs] > 0 {
		faults.Outage = standinplatform.OutageHang
	}
	if active[faultPlatformDelay] > 0 {
		faults.Delay = standinplatform.Duration(platformDelay)
	}
	if active[faultLostResponses] > 0 {
		faults.LoseAnswers = lostResponseFraction
	}
	if active[faultListLag] > 0 {
		faults.InstanceLag = standinplatform.Duration(listLag)
	}
	if active[faultStaleReads] > 0 {
		faults.StaleReads = staleReadFraction
		faults.StaleAge = standinplatform.Duration(staleAge)
	}
	faults.SilentWatches = active[faultSilentWatches] > 0
	r.system.Platform.SetFaults(faults)
}

// requestFaults are the faults of single requests. They do not apply to streams.
var requestFaults = []standinupstream.Fault{
	{Kind: standinupstream.FaultCrossed}, {Kind: standinupstream.FaultTruncate}, {Kind: standinupstream.FaultNoEcho},
	{Kind: standinupstream.FaultDropBefore}, {Kind: standinupstream.FaultDropAfter}, {Kind: standinupstream.FaultSilent},
	{Kind: standinupstream.FaultSlow, Delay: units.Duration(slowResponseDelay)}, {Kind: standinupstream.FaultShed},
	{Kind: standinupstream.FaultStatus, Status: 500}, {Kind: standinupstream.FaultNoLength},
}

func (r *trial) injectUpstreamFault(f fault) {
	names := r.upstreamNames()
	for i := range upstreamsPerFault {
		name := names[(f.selectors[0]+i*f.selectors[1])%len(names)]
		if f.kind == faultUpstreamStop {
			r.stopUpstream(name, f.duration)
			return
		}
		r.changeUpstreamFaults(name, f, 1)
		defer r.changeUpstreamFaults(name, f, -1)
	}
	time.Sleep(f.duration)
}

// upstreamNames returns the upstreams that faults can affect, in a fixed order.
// Those of the second version are excluded.
func (r *trial) upstreamNames() []string {
	var names []string
	for _, u := range r.system.Set.Upstreams {
		if !strings.Contains(u.Name, "-"+secondVersion+"-") {
			names = append(names, u.Name)
		}
	}
	return names
}

func (r *trial) stopUpstream(name string, duration time.Duration) {
	r.activeFaults.mu.Lock()
	state := r.activeFaults.upstream(name)
	state.stopped++
	first := state.stopped == 1
	r.activeFaults.mu.Unlock()
	if first {
		r.history.recordInterruption(func() {
			_ = r.system.StopUpstream(name)
			time.Sleep(duration)
			r.startUpstream(name)
		})
	}
	r.activeFaults.mu.Lock()
	state.stopped--
	r.activeFaults.mu.Unlock()
}

// startUpstream starts a stopped upstream. It retries while a connection of another
// process uses its port.
func (r *trial) startUpstream(name string) {
	for end := time.Now().Add(convergenceTimeout); ; time.Sleep(stepInterval) {
		err := r.system.StartUpstream(name)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			r.reporter.Errorf("restart of %s: %v", name, err)
			return
		}
	}
}

func (f *activeFaults) upstream(name string) *upstreamFaults {
	if f.upstreams[name] == nil {
		f.upstreams[name] = &upstreamFaults{}
	}
	return f.upstreams[name]
}

// changeUpstreamFaults begins a fault of an upstream if the change is positive, and
// ends one otherwise.
func (r *trial) changeUpstreamFaults(name string, f fault, change int) {
	r.activeFaults.mu.Lock()
	defer r.activeFaults.mu.Unlock()
	state := r.activeFaults.upstream(name)
	switch f.kind {
	case faultUpstreamDrain:
		state.draining += change
	case faultProbes:
		state.probes = addOrDropOldest(state.probes, newProbeFault(f), change)
	default:
		requestFault := requestFaults[f.selectors[2]%len(requestFaults)]
		requestFault.Every = 1 + f.selectors[3]%5
		requestFault.PathPrefix = faultPathPrefixes[name[:strings.Index(name, "-")]]
		state.requests = addOrDropOldest(state.requests, requestFault, change)
	}
	faults := standinupstream.Faults{Requests: slices.Clone(state.requests), Draining: state.draining > 0}
	if len(state.probes) > 0 {
		faults.Probes = state.probes[0]
	}
	r.system.Upstreams[name].SetFaults(faults)
}

// addOrDropOldest appends the value if the change is positive, and drops the oldest
// value otherwise.
func addOrDropOldest[T any](all []T, value T, change int) []T {
	if change > 0 {
		return append(all, value)
	}
	return all[1:]
}

// newProbeFault returns the probe fault that the selectors choose.
func newProbeFault(f fault) standinupstream.ProbeFault {
	idle := 0.0
	kinds := []standinupstream.ProbeFault{
		{Silent: true}, {Health: "failed"}, {Health: "ok", Load: &idle}, {Lag: units.Duration(time.Second)},
	}
	return kinds[f.selectors[2]%len(kinds)]
}

// replaceEntry stops an entry instance, waits, and starts a replacement.
func (r *trial) replaceEntry(f fault) {
	settings := r.stopEntry(f.selectors[0])
	if settings == nil {
		return
	}
	time.Sleep(f.duration)
	r.startReplacement(settings, f.selectors[1]%2 == 0)
}
