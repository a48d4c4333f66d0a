package demo

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
)

const (
	// sampleInterval is the time between two samples of the versions in force.
	sampleInterval = 20 * time.Millisecond
	// drainObservation is the time for which drained upstreams are observed.
	drainObservation = 2 * time.Second
)

// publication is a configuration that was published, or may have been.
type publication struct {
	begin   time.Time
	version uint64
	set     dynamic.Set
	// confirmed is false when the outcome of the publication is unknown.
	confirmed bool
}

// interval is a period of time.
type interval struct{ from, to time.Time }

// history records the events of a trial. It is safe for concurrent use.
type history struct {
	mu            sync.Mutex
	publications  []publication
	rejectedEdits int
	// lastSeen holds, by version, the time until which an entry instance may have
	// had it: one sampleInterval after the last sample with that version.
	lastSeen map[uint64]time.Time
	// reachedAll holds, by version, when it was first the lowest version of all
	// entry instances.
	reachedAll map[uint64]time.Time
	// interruptions are the periods in which a link was partitioned or an upstream
	// was stopped.
	interruptions []interval
}

func newHistory() *history {
	return &history{lastSeen: map[uint64]time.Time{}, reachedAll: map[uint64]time.Time{}}
}

func (h *history) recordPublication(p publication) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publications = append(h.publications, p)
}

func (h *history) recordRejectedEdit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedEdits++
}

// recordInterruption runs inject and records the period that it takes.
func (h *history) recordInterruption(inject func()) {
	begin := time.Now()
	inject()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interruptions = append(h.interruptions, interval{begin, time.Now()})
}

// startObserver samples the versions in force until the context ends.
func (r *trial) startObserver(ctx context.Context) *sync.WaitGroup {
	r.history.recordPublication(publication{r.startedAt, 1, r.system.Set, true})
	running := &sync.WaitGroup{}
	running.Go(func() {
		newest := map[*entryRun]uint64{}
		for i := 0; ctx.Err() == nil; i++ {
			r.observe(newest)
			if i%50 == 0 {
				r.checkNoKeyForwarded()
			}
			time.Sleep(sampleInterval)
		}
	})
	return running
}

// observe samples the version of each entry instance and checks that none
// decreases.
func (r *trial) observe(newest map[*entryRun]uint64) {
	r.mu.Lock()
	runs := slices.Clone(r.entryRuns)
	r.mu.Unlock()
	lowest := uint64(math.MaxUint64)
	seen := map[uint64]bool{}
	for _, run := range runs {
		version := run.ConfigVersion()
		if version < newest[run] {
			r.reporter.Errorf("%s: version %d after version %d", run.settings.Name, version, newest[run])
		}
		newest[run] = max(version, newest[run])
		if newest[run] > 0 {
			seen[newest[run]] = true
			lowest = min(lowest, newest[run])
		}
	}
	r.history.recordVersions(seen, lowest)
}

// recordVersions records the versions of one sample and the lowest of them.
func (h *history) recordVersions(seen map[uint64]bool, lowest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for version := range seen {
		h.lastSeen[version] = now.Add(sampleInterval)
	}
	if _, known := h.reachedAll[lowest]; !known {
		h.reachedAll[lowest] = now
	}
}

// inForce returns the period in which a publication may have been in force. The
// caller must hold the lock.
func (h *history) inForce(p publication) interval {
	return interval{p.begin, h.lastSeen[p.version]}
}

// everywhereSince returns when every entry instance first had the version or a later
// one. The caller must hold the lock.
func (h *history) everywhereSince(version uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range h.reachedAll {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// currentConfig returns the published configuration.
func (r *trial) currentConfig() *dynamic.Config {
	entry, err := r.system.Platform.Get(r.ctx, platform.KeyConfig)
	if err != nil {
		r.reporter.Errorf("published configuration: %v", err)
		return &dynamic.Config{}
	}
	config, err := dynamic.Decode(entry.Value)
	if err != nil {
		r.reporter.Errorf("published configuration: %v", err)
		return &dynamic.Config{}
	}
	return config
}

// checkNewestVersion checks that every entry instance adopts the published version.
func (r *trial) checkNewestVersion() {
	version := r.currentConfig().Version
	r.waitFor(convergenceTimeout, func() (string, bool) {
		for _, instance := range r.runningEntries() {
			if got := instance.ConfigVersion(); got != version {
				return unmet("%s has version %d of %d", instance.CallerAddress(), got, version)
			}
		}
		return "", true
	})
}

// checkEveryInstanceServes checks that every entry instance serves a read and a
// filing.
func (r *trial) checkEveryInstanceServes() {
	client := r.newClient()
	for i, instance := range r.runningEntries() {
		r.waitFor(convergenceTimeout, func() (string, bool) {
			q := request{method: http.MethodGet, path: pathRead + "/end", query: "bytes=100", customer: "laurier", key: KeyHighRate}
			c := r.send(client, instance.CallerAddress(), q)
			if c.status != http.StatusOK {
				return unmet("read at %s: %+v", instance.CallerAddress(), c)
			}
			f := newFiling(fmt.Sprintf("%s.end-%d-%d", instance.Home(), i, time.Now().UnixNano()), trialCustomers[0])
			f.customer, f.key = "laurier", KeyHighRate
			r.ledger.recordFiling(f)
			c = r.send(client, instance.CallerAddress(), f)
			if r.ledger.recordFilingResponse(f, c) && c.status == http.StatusOK {
				return "", true
			}
			return unmet("filing at %s: %+v", instance.CallerAddress(), c)
		})
	}
}

// completeFilings repeats the open filings until each outcome is final, except for
// those whose home is gone together with its records.
func (r *trial) completeFilings() {
	client := r.newClient()
	random := rand.New(rand.NewPCG(1, 1))
	for _, q := range r.ledger.openFilings() {
		r.waitFor(convergenceTimeout, func() (string, bool) {
			if r.attemptFiling(client, q, random) {
				return "", true
			}
			last := r.ledger.lastCall(q)
			if last.errorKind == "idempotency_home_gone" {
				return "", true
			}
			return unmet("%s: %+v", q.idempotencyKey, last)
		})
	}
}

func (l *callerLedger) lastCall(q request) call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.filings[q.idempotencyKey].last
}

// checkShiftsEnd checks that each move and roll-out in the configuration or in the
// records of the store ends.
func (r *trial) checkShiftsEnd() {
	set := r.currentConfig().Set
	for _, m := range set.Moves {
		waitForShiftEnd[dynamic.Move](r, platform.PrefixMoves+m.Name, m.Deadline.Std()+convergenceTimeout)
	}
	for _, m := range set.Rollouts {
		waitForShiftEnd[dynamic.Rollout](r, platform.PrefixRollouts+m.Name, m.Deadline.Std()+convergenceTimeout)
	}
	for _, key := range r.storedKeys(platform.PrefixMoves) {
		record := waitForShiftEnd[dynamic.Move](r, key, convergenceTimeout)
		checkEndedRecord(r, record, record.Object.Deadline.Std())
	}
	for _, key := range r.storedKeys(platform.PrefixRollouts) {
		record := waitForShiftEnd[dynamic.Rollout](r, key, convergenceTimeout)
		checkEndedRecord(r, record, record.Object.Deadline.Std())
	}
}

// storedKeys returns the keys in the store that have the prefix.
func (r *trial) storedKeys(prefix string) []string {
	entries, _, err := r.system.Platform.List(r.ctx, prefix)
	if err != nil {
		r.reporter.Errorf("records in the store: %v", err)
	}
	return lo.Map(entries, func(entry platform.Entry, _ int) string { return entry.Key })
}

// waitForShiftEnd waits until the shift with the key has ended and returns its
// record.
func waitForShiftEnd[O comparable](r *trial, key string, timeout time.Duration) *shift.Record[O] {
	last := &shift.Record[O]{}
	r.waitFor(timeout, func() (string, bool) {
		entry, err := r.system.Platform.Get(r.ctx, key)
		if err != nil {
			return unmet("%s: %v", key, err)
		}
		record, err := shift.Decode[O](entry.Value)
		if err != nil {
			return unmet("%s: %v", key, err)
		}
		last = record
		if !last.Ended() {
			return unmet("%s: %+v", key, last)
		}
		return "", true
	})
	return last
}

// checkEndedRecord checks that a shift that is done ended before its deadline.
func checkEndedRecord[O comparable](r *trial, record *shift.Record[O], deadline time.Duration) {
	r.reporter.Logf("%s: %s at step %d: %s %s", record.Name, record.State, record.Step, record.Reason, record.Detail)
	if record.State == shift.Done && (record.Elapsed >= deadline || record.StepAt.Sub(record.StartedAt) >= deadline) {
		r.reporter.Errorf("%s was done after %s, its deadline is %s", record.Name, record.Elapsed, deadline)
	}
}

// checkDrainedUpstreams checks that drained upstreams get no new requests while
// callers send some.
func (r *trial) checkDrainedUpstreams() {
	drains := r.currentConfig().Set.Drains
	before := map[string]int{}
	for _, d := range drains {
		before[d.Upstream] = r.system.Upstreams[d.Upstream].Ledger().Snapshot().Arrived
	}
	ctx, cancel := context.WithTimeout(r.ctx, drainObservation)
	defer cancel()
	r.startCallers(ctx, 1).Wait()
	for name, n := range before {
		arrived := r.system.Upstreams[name].Ledger().Snapshot().Arrived
		if arrived != n {
			r.reporter.Errorf("drained upstream %s got %d requests", name, arrived-n)
		}
	}
}

// checkWithdrawnKeys checks that no withdrawn key was served after its
// withdrawal was in force everywhere, and that all are rejected now.
func (r *trial) checkWithdrawnKeys() {
	client := r.newClient()
	for _, key := range r.currentConfig().Set.Keys {
		if !key.Withdrawn {
			continue
		}
		for _, instance := range r.runningEntries() {
			q := request{method: http.MethodGet, path: pathRead + "/withdrawn", query: "bytes=10", customer: key.Customer, key: key.Name}
			c := r.send(client, instance.CallerAddress(), q)
			if c.errorKind != "key_withdrawn" {
				r.reporter.Errorf("%s at %s: %d %s", key.Name, instance.CallerAddress(), c.status, c.body)
			}
		}
		r.checkServedAfterWithdrawal(key.Name)
	}
}

// checkServedAfterWithdrawal checks that no request with the key ran after its
// withdrawal was in force everywhere.
func (r *trial) checkServedAfterWithdrawal(key string) {
	since, known := r.history.withdrawnSince(key)
	if !known {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for _, c := range r.ledger.calls {
		if c.key == key && c.outcome == "ran" && c.sent.After(since) {
			r.reporter.Errorf("%s was served %s after its withdrawal was in force everywhere", key, c.sent.Sub(since))
		}
	}
}

// withdrawnSince returns when the withdrawal of the key was in force everywhere.
func (h *history) withdrawnSince(key string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := uint64(math.MaxUint64)
	for _, p := range h.publications {
		i := slices.IndexFunc(p.set.Keys, func(k dynamic.Key) bool { return k.Name == key })
		if p.confirmed && p.set.Keys[i].Withdrawn {
			first = min(first, p.version)
		}
	}
	return h.everywhereSince(first)
}

// checkFilings checks that each filing ran at most once and that the outcomes in
// its responses were correct.
func (r *trial) checkFilings() {
	ran := r.system.Executions()
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for key, n := range ran {
		if n > 1 {
			r.reporter.Errorf("%s ran %d times", key, n)
		}
		if r.ledger.filings[key] == nil {
			r.reporter.Errorf("%s ran and was never sent", key)
		}
	}
	for key, state := range r.ledger.filings {
		if state.notRun && ran[key] != 0 {
			r.reporter.Errorf("%s: every response had the outcome not-run, but it ran", key)
		}
		if state.ran && ran[key] != 1 {
			r.reporter.Errorf("%s: a response had the outcome ran, but it ran %d times", key, ran[key])
		}
	}
}

// checkNoKeyForwarded checks that no upstream has received a key of a caller.
func (r *trial) checkNoKeyForwarded() {
	for name, u := range r.system.Upstreams {
		for _, seen := range u.Ledger().Snapshot().Seen {
			text := fmt.Sprint(seen)
			if strings.Contains(text, "key-") || strings.Contains(text, KeyHighRate) {
				r.reporter.Errorf("%s received a key: %s", name, text)
				return
			}
		}
	}
}

// checkRates checks the served requests of each customer against its rate and burst,
// over every window.
func (r *trial) checkRates() {
	for _, c := range trialCustomers {
		r.checkRate(c.name)
	}
}

// checkRate checks every window that starts when a served request was sent and ends
// when one ended. It allows the largest burst and rate that may have been in
// force in the window.
func (r *trial) checkRate(customer string) {
	r.ledger.mu.Lock()
	var served []interval
	for _, c := range r.ledger.calls {
		if c.customer == customer && c.served() {
			served = append(served, interval{c.sent, c.ended})
		}
	}
	r.ledger.mu.Unlock()
	slices.SortFunc(served, func(a, b interval) int { return a.to.Compare(b.to) })
	limits := r.history.limits(customer)
	smallestMargin := math.Inf(1)
	for i, first := range served {
		begin, count := first.from, 0
		for j := range served {
			if served[j].from.Before(begin) {
				continue
			}
			count++
			window := interval{begin, served[j].to}
			rate, burst := maxLimits(limits, window)
			allowed := burst + rate*window.to.Sub(begin).Seconds()
			smallestMargin = min(smallestMargin, allowed-float64(count))
			if float64(count) > allowed {
				r.reporter.Errorf("%s: %d requests served in %s from request %d, allowed %.1f", customer, count, window.to.Sub(begin), i, allowed)
				return
			}
		}
	}
	r.reporter.Logf("%s: %d requests served, smallest margin to the limit %.1f", customer, len(served), smallestMargin)
}

// limit is a rate and burst with the period in which they may have been in force.
type limit struct {
	interval
	rate, burst float64
}

// limits returns the limits of a customer in all publications.
func (h *history) limits(customer string) []limit {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []limit
	for _, p := range h.publications {
		i := slices.IndexFunc(p.set.Customers, func(c dynamic.Customer) bool { return c.Name == customer })
		c := p.set.Customers[i]
		all = append(all, limit{h.inForce(p), float64(c.Rate), float64(c.Burst)})
	}
	return all
}

// maxLimits returns the largest rate and the largest burst that may have been in
// force in the window.
func maxLimits(limits []limit, window interval) (rate, burst float64) {
	for _, l := range limits {
		if l.from.Before(window.to) && l.to.After(window.from) {
			rate, burst = max(rate, l.rate), max(burst, l.burst)
		}
	}
	return rate, burst
}

// checkStreams checks that streams were truncated only while a link was partitioned
// or an upstream was stopped.
func (r *trial) checkStreams() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	complete := 0
	for _, c := range r.ledger.streams {
		if c.status == http.StatusOK && !c.truncated {
			complete++
		}
		if c.truncated && !r.history.interruptedDuring(interval{c.sent, c.ended}) {
			r.reporter.Errorf("a stream was truncated after %s although no link was partitioned and no upstream was stopped", c.ended.Sub(c.sent))
		}
	}
	r.reporter.Logf("%d streams, %d complete", len(r.ledger.streams), complete)
}

// interruptedDuring reports whether an interruption overlaps the window.
func (h *history) interruptedDuring(window interval) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.interruptions, func(c interval) bool { return c.from.Before(window.to) && c.to.After(window.from) })
}

// summarize logs the counts of the trial.
func (r *trial) summarize() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	responses := map[string]int{}
	for _, c := range r.ledger.calls {
		responses[strings.TrimSpace(fmt.Sprint(c.status, " ", c.outcome, " ", c.errorKind))]++
	}
	withFinalOutcome := 0
	for _, state := range r.ledger.filings {
		if state.final {
			withFinalOutcome++
		}
	}
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.reporter.Logf("%d filings, %d with a final outcome; responses %v", len(r.ledger.filings), withFinalOutcome, responses)
	r.reporter.Logf("%d publications, %d edits rejected, %d entry instances named, %s", len(r.history.publications), r.history.rejectedEdits, r.namedEntries, time.Since(r.startedAt).Round(time.Millisecond))
}
