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
	// sampleTime is the time between two looks at the versions in force.
	sampleTime = 20 * time.Millisecond
	// settlePause is the time for which drained upstreams are watched.
	settlePause = 2 * time.Second
)

// publication is a configuration that was published, or may have been.
type publication struct {
	begin   time.Time
	version uint64
	set     dynamic.Set
	certain bool
}

// interval is a time with its begin and end.
type interval struct{ from, to time.Time }

// history is what has happened in a run. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	publications []publication
	refusals     int
	// lastSeen is when an entry instance was last seen with a version.
	lastSeen map[uint64]time.Time
	// reached is when all entry instances were first seen to have a version.
	reached map[uint64]time.Time
	// cuts are the times in which a link was cut or an upstream was down.
	cuts []interval
}

func newHistory() *history {
	return &history{lastSeen: map[uint64]time.Time{}, reached: map[uint64]time.Time{}}
}

func (h *history) published(p publication) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publications = append(h.publications, p)
}

func (h *history) refused() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals++
}

// cutting notes the time that the harm takes.
func (h *history) cutting(harm func()) {
	begin := time.Now()
	harm()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cuts = append(h.cuts, interval{begin, time.Now()})
}

// startObserver watches the versions in force until the context ends.
func (r *trial) startObserver(ctx context.Context) *sync.WaitGroup {
	r.history.published(publication{r.start, 1, r.s.Set, true})
	running := &sync.WaitGroup{}
	running.Go(func() {
		newest := map[*node]uint64{}
		for i := 0; ctx.Err() == nil; i++ {
			r.observe(newest)
			if i%50 == 0 {
				r.checkKeysUnseen()
			}
			time.Sleep(sampleTime)
		}
	})
	return running
}

func (r *trial) observe(newest map[*node]uint64) {
	r.mu.Lock()
	nodes := slices.Clone(r.nodes)
	r.mu.Unlock()
	lowest := uint64(math.MaxUint64)
	seen := map[uint64]bool{}
	for _, n := range nodes {
		version := n.ConfigVersion()
		if version < newest[n] {
			r.report.Errorf("%s: version %d after version %d", n.settings.Name, version, newest[n])
		}
		newest[n] = max(version, newest[n])
		if newest[n] > 0 {
			seen[newest[n]] = true
			lowest = min(lowest, newest[n])
		}
	}
	r.history.sawVersions(seen, lowest)
}

func (h *history) sawVersions(seen map[uint64]bool, lowest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for version := range seen {
		h.lastSeen[version] = now.Add(sampleTime)
	}
	if _, known := h.reached[lowest]; !known {
		h.reached[lowest] = now
	}
}

// inForce returns the time in which a publication may have been in force.
func (h *history) inForce(p publication) interval {
	return interval{p.begin, h.lastSeen[p.version]}
}

// everywhereSince returns when every entry instance had the version or a later one.
func (h *history) everywhereSince(version uint64) (time.Time, bool) {
	var first time.Time
	for v, at := range h.reached {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// current returns the published configuration.
func (r *trial) current() *dynamic.Config {
	entry, err := r.s.Platform.Get(r.ctx, platform.KeyConfig)
	if err != nil {
		r.report.Errorf("published configuration: %v", err)
		return &dynamic.Config{}
	}
	config, err := dynamic.Decode(entry.Value)
	if err != nil {
		r.report.Errorf("published configuration: %v", err)
		return &dynamic.Config{}
	}
	return config
}

func (r *trial) checkNewestVersion() {
	version := r.current().Version
	r.waitFor(settleTimeout, func() (string, bool) {
		for _, instance := range r.running() {
			if got := instance.ConfigVersion(); got != version {
				return missing("%s has version %d of %d", instance.CallerAddress(), got, version)
			}
		}
		return "", true
	})
}

func (r *trial) checkEveryInstanceServes() {
	client := r.newClient()
	for i, instance := range r.running() {
		r.waitFor(settleTimeout, func() (string, bool) {
			q := request{method: http.MethodGet, path: pathRead + "/end", query: "bytes=100", customer: "laurier", key: KeyLarge}
			c := r.send(client, instance.CallerAddress(), q)
			if c.status != http.StatusOK {
				return missing("read at %s: %+v", instance.CallerAddress(), c)
			}
			f := filingOf(fmt.Sprintf("%s.end-%d-%d", instance.Home(), i, time.Now().UnixNano()), randomCustomers[0])
			f.customer, f.key = "laurier", KeyLarge
			r.ledger.filing(f)
			c = r.send(client, instance.CallerAddress(), f)
			if r.ledger.filed(f, c) && c.status == http.StatusOK {
				return "", true
			}
			return missing("filing at %s: %+v", instance.CallerAddress(), c)
		})
	}
}

// settleFilings repeats the filings that are open until each outcome is final,
// but for those whose home has gone with its records.
func (r *trial) settleFilings() {
	client := r.newClient()
	random := rand.New(rand.NewPCG(1, 1))
	for _, q := range r.ledger.open() {
		r.waitFor(settleTimeout, func() (string, bool) {
			if r.fileOnce(client, q, random) {
				return "", true
			}
			last := r.ledger.last(q)
			if last.kind == "idempotency_home_gone" {
				return "", true
			}
			return missing("%s: %+v", q.idempotencyKey, last)
		})
	}
}

func (l *callerLedger) last(q request) call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.filings[q.idempotencyKey].last
}

// checkShiftsEnd checks that each move and roll-out that was ever recorded ends.
func (r *trial) checkShiftsEnd() {
	set := r.current().Set
	for _, m := range set.Moves {
		waitForShiftEnd[dynamic.Move](r, platform.PrefixMoves+m.Name, m.Deadline.Std()+settleTimeout)
	}
	for _, m := range set.Rollouts {
		waitForShiftEnd[dynamic.Rollout](r, platform.PrefixRollouts+m.Name, m.Deadline.Std()+settleTimeout)
	}
	for _, key := range r.recorded(platform.PrefixMoves) {
		end := waitForShiftEnd[dynamic.Move](r, key, settleTimeout)
		checkEnd(r, end, end.Object.Deadline.Std())
	}
	for _, key := range r.recorded(platform.PrefixRollouts) {
		end := waitForShiftEnd[dynamic.Rollout](r, key, settleTimeout)
		checkEnd(r, end, end.Object.Deadline.Std())
	}
}

// recorded returns the keys of the store with the prefix.
func (r *trial) recorded(prefix string) []string {
	entries, _, err := r.s.Platform.List(r.ctx, prefix)
	if err != nil {
		r.report.Errorf("records in the store: %v", err)
	}
	return lo.Map(entries, func(entry platform.Entry, _ int) string { return entry.Key })
}

// waitForShiftEnd waits until the shift with the key has ended and returns its
// record.
func waitForShiftEnd[O comparable](r *trial, key string, timeout time.Duration) *shift.Record[O] {
	last := &shift.Record[O]{}
	r.waitFor(timeout, func() (string, bool) {
		entry, err := r.s.Platform.Get(r.ctx, key)
		if err != nil {
			return missing("%s: %v", key, err)
		}
		record, err := shift.Decode[O](entry.Value)
		if err != nil {
			return missing("%s: %v", key, err)
		}
		last = record
		if !last.Ended() {
			return missing("%s: %+v", key, last)
		}
		return "", true
	})
	return last
}

// checkEnd checks the times that the record of an ended shift states.
func checkEnd[O comparable](r *trial, end *shift.Record[O], deadline time.Duration) {
	r.report.Logf("%s: %s at step %d: %s %s", end.Name, end.State, end.Step, end.Reason, end.Detail)
	if end.State == shift.Done && (end.Elapsed >= deadline || end.StepAt.Sub(end.StartedAt) >= deadline) {
		r.report.Errorf("%s was done after %s, its deadline is %s", end.Name, end.Elapsed, deadline)
	}
}

// checkDrained checks that drained upstreams get no new work while callers read.
func (r *trial) checkDrained() {
	drains := r.current().Set.Drains
	before := map[string]int{}
	for _, d := range drains {
		before[d.Upstream] = r.s.Upstreams[d.Upstream].Ledger().Snapshot().Arrived
	}
	ctx, cancel := context.WithTimeout(r.ctx, settlePause)
	defer cancel()
	r.startCallers(ctx, 1).Wait()
	for name, n := range before {
		arrived := r.s.Upstreams[name].Ledger().Snapshot().Arrived
		if arrived != n {
			r.report.Errorf("drained upstream %s got %d requests", name, arrived-n)
		}
	}
}

// checkWithdrawnKeys checks that no withdrawn key was served after its
// withdrawal was in force everywhere, and that all are refused now.
func (r *trial) checkWithdrawnKeys() {
	client := r.newClient()
	for _, key := range r.current().Set.Keys {
		if !key.Withdrawn {
			continue
		}
		for _, instance := range r.running() {
			q := request{method: http.MethodGet, path: pathRead + "/withdrawn", query: "bytes=10", customer: key.Customer, key: key.Name}
			c := r.send(client, instance.CallerAddress(), q)
			if c.kind != "key_withdrawn" {
				r.report.Errorf("%s at %s: %d %s", key.Name, instance.CallerAddress(), c.status, c.body)
			}
		}
		r.checkServedAfterWithdrawal(key.Name)
	}
}

func (r *trial) checkServedAfterWithdrawal(key string) {
	since, known := r.history.withdrawnSince(key)
	if !known {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for _, c := range r.ledger.calls {
		if c.key == key && c.outcome == "ran" && c.sent.After(since) {
			r.report.Errorf("%s was served %s after its withdrawal was in force everywhere", key, c.sent.Sub(since))
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
		if p.certain && p.set.Keys[i].Withdrawn {
			first = min(first, p.version)
		}
	}
	return h.everywhereSince(first)
}

// checkFilings checks that each filing ran at most once and that the answers
// were true.
func (r *trial) checkFilings() {
	ran := r.s.Executions()
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for key, n := range ran {
		if n > 1 {
			r.report.Errorf("%s ran %d times", key, n)
		}
		if r.ledger.filings[key] == nil {
			r.report.Errorf("%s ran and was never filed", key)
		}
	}
	for key, state := range r.ledger.filings {
		if state.notRun && ran[key] != 0 {
			r.report.Errorf("%s: every answer said not-run, but it ran", key)
		}
		if state.ran && ran[key] != 1 {
			r.report.Errorf("%s: an answer said ran, but it ran %d times", key, ran[key])
		}
	}
}

// checkKeysUnseen checks that no upstream has seen a key of a caller.
func (r *trial) checkKeysUnseen() {
	for name, u := range r.s.Upstreams {
		for _, seen := range u.Ledger().Snapshot().Seen {
			text := fmt.Sprint(seen)
			if strings.Contains(text, "key-") || strings.Contains(text, KeyLarge) {
				r.report.Errorf("%s saw a key: %s", name, text)
				return
			}
		}
	}
}

// checkRates checks the served requests of each customer over every window.
func (r *trial) checkRates() {
	for _, c := range randomCustomers {
		r.checkRate(c.name)
	}
}

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
	closest := math.Inf(1)
	for i, first := range served {
		begin, count := first.from, 0
		for j := range served {
			if served[j].from.Before(begin) {
				continue
			}
			count++
			window := interval{begin, served[j].to}
			rate, burst := largest(limits, window)
			allowed := burst + rate*window.to.Sub(begin).Seconds()
			closest = min(closest, allowed-float64(count))
			if float64(count) > allowed {
				r.report.Errorf("%s: %d requests served in %s from request %d on, allowed %.1f", customer, count, window.to.Sub(begin), i, allowed)
				return
			}
		}
	}
	r.report.Logf("%s: %d requests served, closest to the bound by %.1f", customer, len(served), closest)
}

// limit is a rate and burst with the time in which it may be in force.
type limit struct {
	interval
	rate, burst float64
}

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

func largest(limits []limit, window interval) (rate, burst float64) {
	for _, l := range limits {
		if l.from.Before(window.to) && l.to.After(window.from) {
			rate, burst = max(rate, l.rate), max(burst, l.burst)
		}
	}
	return rate, burst
}

// checkStreams checks that streams were cut only while a link or an upstream was.
func (r *trial) checkStreams() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	whole := 0
	for _, c := range r.ledger.streams {
		if c.status == http.StatusOK && !c.cut {
			whole++
		}
		if c.cut && !r.history.cutWithin(interval{c.sent, c.ended}) {
			r.report.Errorf("a stream was cut after %s although no link or upstream was", c.ended.Sub(c.sent))
		}
	}
	r.report.Logf("%d streams, %d whole", len(r.ledger.streams), whole)
}

func (h *history) cutWithin(window interval) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.cuts, func(c interval) bool { return c.from.Before(window.to) && c.to.After(window.from) })
}

// report logs what the run has seen.
func (r *trial) summarize() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	answers := map[string]int{}
	for _, c := range r.ledger.calls {
		answers[strings.TrimSpace(fmt.Sprint(c.status, " ", c.outcome, " ", c.kind))]++
	}
	final := 0
	for _, state := range r.ledger.filings {
		if state.final {
			final++
		}
	}
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.report.Logf("%d filings, %d with a final outcome; answers %v", len(r.ledger.filings), final, answers)
	r.report.Logf("%d publications, %d edits refused, %d entry instances started, %s", len(r.history.publications), r.history.refusals, r.named, time.Since(r.start).Round(time.Millisecond))
}
