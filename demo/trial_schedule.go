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

// harmKind is what a harm does.
type harmKind string

const (
	harmCutDomains    harmKind = "cut between domains"
	harmCutPlatform   harmKind = "cut to the platform"
	harmIsolateDomain harmKind = "domain cut off from all"
	harmRefuse        harmKind = "platform refuses"
	harmHang          harmKind = "platform hangs"
	harmDelay         harmKind = "platform delays"
	harmLoseAnswers   harmKind = "platform loses answers"
	harmSilentWatches harmKind = "watches silent"
	harmListLag       harmKind = "list lags"
	harmStaleReads    harmKind = "stale reads"
	harmUpstreamFault harmKind = "upstream fault"
	harmUpstreamDrain harmKind = "upstream drains"
	harmUpstreamStop  harmKind = "upstream stops"
	harmProbes        harmKind = "probes mislead"
	harmStopEntry     harmKind = "entry instance stops"
	harmRates         harmKind = "operators change rates"
	harmDrain         harmKind = "operators drain"
	harmWithdraw      harmKind = "operators withdraw a key"
	harmMove          harmKind = "operators move"
	harmRollout       harmKind = "operators roll out"
	harmRemoveShift   harmKind = "operators remove a move"
)

const (
	// maxHarmsPerStep is the largest number of harms that begin at one step.
	maxHarmsPerStep = 3
	// minHarm is the least time that a harm lasts.
	minHarm = 300 * time.Millisecond
	// strikes is the number of upstreams that one harm strikes.
	strikes = 5

	platformDelay   = 300 * time.Millisecond
	listLag         = 3 * time.Second
	slowAnswer      = 700 * time.Millisecond
	lostAnswersPart = 0.4
	staleReadsPart  = 0.3
	staleAge        = 2 * time.Second
)

// harmWeights are the relative frequencies of the harms.
var harmWeights = []struct {
	kind   harmKind
	weight int
}{
	{harmCutDomains, 3}, {harmCutPlatform, 2}, {harmIsolateDomain, 1},
	{harmRefuse, 1}, {harmHang, 1}, {harmDelay, 2}, {harmLoseAnswers, 2},
	{harmSilentWatches, 1}, {harmListLag, 1}, {harmStaleReads, 1},
	{harmUpstreamFault, 6}, {harmUpstreamDrain, 2}, {harmUpstreamStop, 2}, {harmProbes, 2},
	{harmStopEntry, 3},
	{harmRates, 3}, {harmDrain, 2}, {harmWithdraw, 1},
	{harmMove, 2}, {harmRemoveShift, 1}, {harmRollout, 2},
}

// harm is one harm with the numbers that choose what it strikes.
type harm struct {
	kind    harmKind
	lasting time.Duration
	pick    [4]int
}

// schedule lists the harms of each step.
type schedule [][]harm

// newSchedule draws a schedule. The same seed gives the same schedule.
func newSchedule(seed uint64, steps int, maxHarm time.Duration) schedule {
	random := rand.New(rand.NewPCG(seed, seed))
	var kinds []harmKind
	for _, w := range harmWeights {
		kinds = append(kinds, slices.Repeat([]harmKind{w.kind}, w.weight)...)
	}
	plan := make(schedule, steps)
	for i := range plan {
		for range random.IntN(maxHarmsPerStep + 1) {
			h := harm{kind: kinds[random.IntN(len(kinds))]}
			h.lasting = minHarm + time.Duration(random.Int64N(int64(maxHarm-minHarm)))
			for p := range h.pick {
				h.pick[p] = random.IntN(1 << 20)
			}
			plan[i] = append(plan[i], h)
		}
	}
	return plan
}

func (p schedule) counts() map[harmKind]int {
	counts := map[harmKind]int{}
	for _, step := range p {
		for _, h := range step {
			counts[h.kind]++
		}
	}
	return counts
}

// faultState adds up the harms that act at the same time.
type faultState struct {
	mu        sync.Mutex
	platform  map[harmKind]int
	cuts      map[link]int
	upstreams map[string]*upstreamState
}

type upstreamState struct {
	faults   []standinupstream.Fault
	probes   []standinupstream.ProbeFault
	draining int
	stopped  int
}

func (f *faultState) init() {
	f.platform = map[harmKind]int{}
	f.cuts = map[link]int{}
	f.upstreams = map[string]*upstreamState{}
}

// harm carries out the schedule and returns when all harms have ended.
func (r *trial) harm(plan schedule) {
	var running sync.WaitGroup
	for _, step := range plan {
		for _, h := range step {
			running.Go(func() { r.do(h) })
		}
		time.Sleep(stepTime)
	}
	running.Wait()
}

func (r *trial) do(h harm) {
	switch h.kind {
	case harmCutDomains, harmCutPlatform, harmIsolateDomain:
		r.cut(h)
	case harmRefuse, harmHang, harmDelay, harmLoseAnswers, harmSilentWatches, harmListLag, harmStaleReads:
		r.harmPlatform(h)
	case harmUpstreamFault, harmUpstreamDrain, harmUpstreamStop, harmProbes:
		r.harmUpstream(h)
	case harmStopEntry:
		r.replaceEntry(h)
	default:
		r.operate(h)
	}
}

func (r *trial) cut(h harm) {
	domains := r.s.domains
	first := domains[h.pick[0]%len(domains)].Name
	var links []link
	switch h.kind {
	case harmCutDomains:
		second := domains[(h.pick[0]+1+h.pick[1]%(len(domains)-1))%len(domains)].Name
		links = append(links, newLink(first, second))
	case harmIsolateDomain:
		for _, d := range domains {
			if d.Name != first {
				links = append(links, newLink(first, d.Name))
			}
		}
		links = append(links, newLink(first, PlacePlatform))
	default:
		links = append(links, newLink(first, PlacePlatform))
	}
	r.history.cutting(func() {
		r.setCuts(links, 1)
		time.Sleep(h.lasting)
		r.setCuts(links, -1)
	})
}

func (r *trial) setCuts(links []link, change int) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	for _, l := range links {
		r.faults.cuts[l] += change
		r.s.Network.SetCut(l.a, l.b, r.faults.cuts[l] > 0)
	}
}

func (r *trial) harmPlatform(h harm) {
	r.setPlatform(h.kind, 1)
	time.Sleep(h.lasting)
	r.setPlatform(h.kind, -1)
}

func (r *trial) setPlatform(kind harmKind, change int) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	active := r.faults.platform
	active[kind] += change
	var faults standinplatform.Faults
	if active[harmRefuse] > 0 {
		faults.Outage = standinplatform.OutageRefuse
	}
	if active[harmHang] > 0 {
		faults.Outage = standinplatform.OutageHang
	}
	if active[harmDelay] > 0 {
		faults.Delay = standinplatform.Duration(platformDelay)
	}
	if active[harmLoseAnswers] > 0 {
		faults.LoseAnswers = lostAnswersPart
	}
	if active[harmListLag] > 0 {
		faults.InstanceLag = standinplatform.Duration(listLag)
	}
	if active[harmStaleReads] > 0 {
		faults.StaleReads = staleReadsPart
		faults.StaleAge = standinplatform.Duration(staleAge)
	}
	faults.SilentWatches = active[harmSilentWatches] > 0
	r.s.Platform.SetFaults(faults)
}

// harmful are the faults of single requests. They spare the paths of streams.
var harmful = []standinupstream.Fault{
	{Kind: standinupstream.FaultCrossed}, {Kind: standinupstream.FaultTruncate}, {Kind: standinupstream.FaultNoEcho},
	{Kind: standinupstream.FaultDropBefore}, {Kind: standinupstream.FaultDropAfter}, {Kind: standinupstream.FaultSilent},
	{Kind: standinupstream.FaultSlow, Delay: units.Duration(slowAnswer)}, {Kind: standinupstream.FaultShed},
	{Kind: standinupstream.FaultStatus, Status: 500}, {Kind: standinupstream.FaultNoLength},
}

func (r *trial) harmUpstream(h harm) {
	names := r.upstreamNames()
	for i := range strikes {
		name := names[(h.pick[0]+i*h.pick[1])%len(names)]
		if h.kind == harmUpstreamStop {
			r.stopUpstream(name, h.lasting)
			return
		}
		r.changeUpstream(name, h, 1)
		defer r.changeUpstream(name, h, -1)
	}
	time.Sleep(h.lasting)
}

// upstreamNames returns the upstreams that harms strike, in a fixed order.
func (r *trial) upstreamNames() []string {
	var names []string
	for _, u := range r.s.Set.Upstreams {
		if !strings.Contains(u.Name, "-"+secondVersion+"-") {
			names = append(names, u.Name)
		}
	}
	return names
}

func (r *trial) stopUpstream(name string, lasting time.Duration) {
	r.faults.mu.Lock()
	state := r.faults.upstream(name)
	state.stopped++
	alone := state.stopped == 1
	r.faults.mu.Unlock()
	if alone {
		r.history.cutting(func() {
			_ = r.s.StopUpstream(name)
			time.Sleep(lasting)
			r.startUpstream(name)
		})
	}
	r.faults.mu.Lock()
	state.stopped--
	r.faults.mu.Unlock()
}

// startUpstream starts a stopped upstream. It waits while a connection of
// another process has its port.
func (r *trial) startUpstream(name string) {
	for end := time.Now().Add(settleTimeout); ; time.Sleep(stepTime) {
		err := r.s.StartUpstream(name)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			r.report.Errorf("restart of %s: %v", name, err)
			return
		}
	}
}

func (f *faultState) upstream(name string) *upstreamState {
	if f.upstreams[name] == nil {
		f.upstreams[name] = &upstreamState{}
	}
	return f.upstreams[name]
}

func (r *trial) changeUpstream(name string, h harm, change int) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	state := r.faults.upstream(name)
	switch h.kind {
	case harmUpstreamDrain:
		state.draining += change
	case harmProbes:
		state.probes = addOrDrop(state.probes, probeFaultOf(h), change)
	default:
		fault := harmful[h.pick[2]%len(harmful)]
		fault.Every = 1 + h.pick[3]%5
		fault.PathPrefix = faultyPrefixes[name[:strings.Index(name, "-")]]
		state.faults = addOrDrop(state.faults, fault, change)
	}
	faults := standinupstream.Faults{Requests: slices.Clone(state.faults), Draining: state.draining > 0}
	if len(state.probes) > 0 {
		faults.Probes = state.probes[0]
	}
	r.s.Upstreams[name].SetFaults(faults)
}

// addOrDrop adds the value or drops the oldest one.
func addOrDrop[T any](all []T, value T, change int) []T {
	if change > 0 {
		return append(all, value)
	}
	return all[1:]
}

func probeFaultOf(h harm) standinupstream.ProbeFault {
	idle := 0.0
	kinds := []standinupstream.ProbeFault{
		{Silent: true}, {Health: "failed"}, {Health: "ok", Load: &idle}, {Lag: units.Duration(time.Second)},
	}
	return kinds[h.pick[2]%len(kinds)]
}

// replaceEntry stops an entry instance, waits, and starts one in its place.
func (r *trial) replaceEntry(h harm) {
	settings := r.stopOne(h.pick[0])
	if settings == nil {
		return
	}
	time.Sleep(h.lasting)
	r.startOne(settings, h.pick[1]%2 == 0)
}
