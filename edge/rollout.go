package edge

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
)

const (
	// promoteGrace is how long the old version has to finish its running requests
	// before the operator may stop it.
	promoteGrace = 2500 * time.Millisecond
	// writeDelayPerRank, multiplied by its rank, is how long an instance leaves the write
	// of a due phase to the instances of lower rank.
	writeDelayPerRank = 700 * time.Millisecond
	// statusTimeout bounds a write of the status.
	statusTimeout = 2 * time.Second
)

// rolloutRun is one roll-out with its status record in the store.
type rolloutRun struct {
	*canary.Rollout
	split *canary.Split
	// status is the latest status record; revision is 0 when there is none.
	status   records.RolloutStatus
	revision platform.Revision
	writing  bool
	// wanted is the phase that this instance considers due, wantedAt is when it first
	// did so.
	wanted   canary.Phase
	wantedAt time.Time
	// waitedFor holds the routes for which a wait for evidence was reported.
	waitedFor map[string]bool
	// decided is set once the decision at the end of the canary phase was reported.
	decided bool
}

// rolloutControl manages the roll-outs by service. The control goroutine owns it.
type rolloutControl struct {
	control *control
	runs    map[string]*rolloutRun
}

func newRolloutControl(c *control) *rolloutControl {
	return &rolloutControl{control: c, runs: map[string]*rolloutRun{}}
}

// readRecords updates the roll-outs from the orders and status records.
func (r *rolloutControl) readRecords(now time.Time) {
	ordered := map[string]bool{}
	r.control.forEachRecord(records.PrefixRolloutOrders, func(entry platform.Entry) {
		order, err := records.DecodeRolloutOrder(entry)
		if err != nil {
			r.control.reportUnreadable(entry, "roll-out order cannot be read", err)
			return
		}
		ordered[order.Service] = true
		r.adoptOrder(now, canary.Order(order))
	})
	for service := range r.runs {
		if !ordered[service] && !r.control.restoring(now) {
			delete(r.runs, service)
		}
	}
	for service, run := range r.runs {
		r.readStatus(now, service, run)
	}
	r.control.viewDirty = true
}

// adoptOrder starts a roll-out unless it has already started.
func (r *rolloutControl) adoptOrder(now time.Time, order canary.Order) {
	run := r.runs[order.Service]
	if run != nil && (run.Order.Revision == order.Revision || r.rewritten(now, run, order)) {
		run.Order.Revision = order.Revision
		return
	}
	run = &rolloutRun{
		Rollout:   canary.New(order, promoteGrace, now),
		split:     canary.NewSplit(r.splitPhase(order)),
		wantedAt:  now,
		waitedFor: map[string]bool{},
	}
	r.runs[order.Service] = run
	r.steer(now, run)
	r.control.deps.log.Info("roll-out ordered",
		zap.String("service", order.Service),
		zap.String("version", order.Version),
		zap.Stringer("order", platform.Revision(order.Revision)),
		zap.Duration("within", order.Within),
	)
}

// rewritten reports whether a restored store has the order of the run at another revision.
func (r *rolloutControl) rewritten(now time.Time, run *rolloutRun, order canary.Order) bool {
	return r.control.restoring(now) && order.Version == run.Order.Version && order.Within == run.Order.Within
}

// splitPhase returns the function of the initial credit of a route, which is spread evenly over
// the instances.
func (r *rolloutControl) splitPhase(order canary.Order) func(route string) float64 {
	name := r.control.deps.identity.GetName()
	return func(route string) float64 {
		return float64(xxhash.Sum64String(name+"\x00"+order.Version+"\x00"+route)) / math.MaxUint64
	}
}

// steer divides the canary share of the latest settings over the routes.
func (r *rolloutControl) steer(now time.Time, run *rolloutRun) {
	bounds := r.control.deps.bounds.Load()
	run.split.Set(run.Shares(now, canary.Bounds{
		Share:     bounds.CanaryShare,
		Slack:     bounds.CanarySlack,
		Instances: len(r.control.members.Snapshot(now).All) + 1,
	}))
}

// readStatus adopts the phase of a changed status record.
func (r *rolloutControl) readStatus(now time.Time, service string, run *rolloutRun) {
	entry := r.control.records.get(records.PrefixRolloutStatus + service)
	if entry.Revision == 0 || entry.Deleted {
		// A restored store may have lost the status.
		run.revision, run.status = 0, records.RolloutStatus{}
		return
	}
	if entry.Revision == run.revision {
		return
	}
	run.revision = entry.Revision
	status, err := records.DecodeRolloutStatus(entry.Value)
	if err != nil {
		r.control.deps.log.Warn("roll-out status cannot be read", zap.String("service", service), zap.Error(err))
		return
	}
	if !isFor(status, run.Order) {
		return
	}
	run.status = status
	if started := time.UnixMilli(status.StartedMillis); started.Before(run.Started) {
		run.Started = started
	}
	if run.Adopt(now, phaseOf(status)) {
		r.logPhase(run)
	}
}

// isFor reports whether the status belongs to the order. In a restored store, the order has
// a revision of the new era and the status one of the era in which it was written; their
// numbers are equal unless the order was written again.
func isFor(status records.RolloutStatus, order canary.Order) bool {
	return status.Version == order.Version && platform.Revision(status.Order).Number() == platform.Revision(order.Revision).Number()
}

func (r *rolloutControl) logPhase(run *rolloutRun) {
	r.control.deps.metrics.Counter("ferry_rollout_phases_total", "service", run.Order.Service, "phase", run.Phase().String()).Inc()
	r.control.deps.log.Info("roll-out phase",
		zap.String("service", run.Order.Service),
		zap.String("version", run.Order.Version),
		zap.Stringer("phase", run.Phase()),
		zap.Stringer("order", platform.Revision(run.Order.Revision)),
	)
}

func phaseOf(s records.RolloutStatus) canary.Phase {
	switch {
	case s.State == records.RolloutDone:
		return canary.Done
	case s.State == records.RolloutReverted:
		return canary.Reverted
	case s.Promoting:
		return canary.Promoting
	}
	return canary.Canary
}

func statusOf(run *rolloutRun, phase canary.Phase) records.RolloutStatus {
	s := records.RolloutStatus{
		State:         records.RolloutRunning,
		Version:       run.Order.Version,
		Order:         run.Order.Revision,
		StartedMillis: run.Started.UnixMilli(),
	}
	switch phase {
	case canary.Done:
		s.State = records.RolloutDone
	case canary.Reverted:
		s.State = records.RolloutReverted
	case canary.Promoting:
		s.Promoting = true
	}
	return s
}

// tick evaluates the roll-outs and writes the phases that are due.
func (r *rolloutControl) tick(now time.Time) {
	if len(r.runs) == 0 {
		return
	}
	_, complete := r.control.sources(now, r.control.members.Snapshot(now))
	for service, run := range r.runs {
		r.stopIfWorse(now, run)
		next := run.Next(now, complete)
		r.reportDecision(run, next)
		if run.Phase() == canary.Canary {
			r.steer(now, run)
		}
		if next.Phase != run.wanted {
			run.wanted, run.wantedAt = next.Phase, now
		}
		recorded := run.revision != 0 && run.status.Order == run.Order.Revision
		if recorded && phaseOf(run.status) == run.wanted {
			continue
		}
		if !run.writing && now.Sub(run.wantedAt) >= time.Duration(r.rank(now))*writeDelayPerRank {
			r.writeStatus(service, run, run.wanted)
		}
	}
}

// stopIfWorse takes a version that performs worse out of use at once, without waiting
// for the store.
func (r *rolloutControl) stopIfWorse(now time.Time, run *rolloutRun) {
	finding := run.FindWorse(now)
	if finding == nil || !run.Stop() {
		return
	}
	r.control.viewDirty = true
	r.control.deps.log.Info("version judged worse",
		zap.String("service", run.Order.Service),
		zap.String("version", run.Order.Version),
		zap.String("route", finding.Route),
		zap.Float64("likelihood_ratio", finding.Ratio),
		zap.Uint32("old_answers", finding.Old.Answers),
		zap.Uint32("old_failures", finding.Old.Failures),
		zap.Uint32("new_answers", finding.New.Answers),
		zap.Uint32("new_failures", finding.New.Failures),
		zap.Uint32("new_errors", finding.New.Errors),
	)
}

// reportDecision counts and logs a wait for evidence, once for each route, and the decision at
// the end of the canary phase.
func (r *rolloutControl) reportDecision(run *rolloutRun, d canary.Decision) {
	if run.Recorded != canary.Canary || run.Phase() != canary.Canary {
		return
	}
	service := run.Order.Service
	fields := []zap.Field{
		zap.String("service", service),
		zap.String("version", run.Order.Version),
		zap.Float64("likelihood_ratio", d.Ratio),
	}
	if d.Lacking != nil {
		fields = append(fields,
			zap.String("route", d.Lacking.Route),
			zap.Uint32("answers", d.Lacking.Answers),
			zap.Uint32("needed", d.Lacking.Needed),
		)
	}
	switch {
	case d.Phase != canary.Canary:
		if run.decided {
			return
		}
		run.decided = true
		fields = append(fields, zap.Stringer("phase", d.Phase))
		if d.Lacking == nil {
			r.control.deps.log.Info("roll-out decided", fields...)
			return
		}
		r.control.deps.metrics.Counter("ferry_rollouts_without_evidence_total", "service", service, "phase", d.Phase.String()).Inc()
		r.control.deps.log.Warn("roll-out decided without enough evidence", fields...)
	case d.Lacking != nil && !run.waitedFor[d.Lacking.Route]:
		run.waitedFor[d.Lacking.Route] = true
		r.control.deps.metrics.Counter("ferry_rollout_waits_total", "service", service, "route", d.Lacking.Route).Inc()
		r.control.deps.log.Info("roll-out waits for evidence", fields...)
	}
}

// rank returns the position of this instance among the usable instances, by name,
// starting at 0.
func (r *rolloutControl) rank(now time.Time) int {
	self := r.control.deps.identity.GetName()
	return len(slices.DeleteFunc(slices.Clone(r.control.members.Snapshot(now).All), func(p *membership.Peer) bool {
		return !p.Usable() || p.Name > self
	}))
}

// writeStatus writes the phase to the store by compare-and-swap, in the background.
func (r *rolloutControl) writeStatus(service string, run *rolloutRun, phase canary.Phase) {
	value, err := statusOf(run, phase).Encode()
	if err != nil {
		r.control.deps.log.Error("roll-out status cannot be encoded", zap.Error(err))
		return
	}
	run.writing = true
	expected := run.revision
	key := records.PrefixRolloutStatus + service
	r.control.background(statusTimeout, func(ctx context.Context) event {
		revision, err := r.control.deps.store.CompareAndSwap(ctx, key, value, expected, 0)
		if errors.Is(err, platform.ErrConflict) {
			entry, getErr := r.control.deps.store.Get(ctx, key)
			if errors.Is(getErr, platform.ErrNotFound) {
				// Written again once the control goroutine knows that the record is gone.
				return statusWritten{service: service, lost: true}
			}
			return statusWritten{service: service, entry: entry, err: getErr}
		}
		return statusWritten{service: service, entry: platform.Entry{Key: key, Value: value, Revision: revision}, err: err}
	})
}

// statusWritten is the result of a status write: the current record, whoever wrote it.
type statusWritten struct {
	service string
	entry   platform.Entry
	// lost is set when the store has no record.
	lost bool
	err  error
}

func (e statusWritten) apply(c *control, now time.Time) {
	run := c.rollouts.runs[e.service]
	if run == nil {
		return
	}
	run.writing = false
	if e.err != nil {
		c.deps.log.Warn("roll-out status was not written", zap.String("service", e.service), zap.Error(e.err))
		return
	}
	if e.lost {
		run.revision, run.status = 0, records.RolloutStatus{}
		return
	}
	if c.records.get(e.entry.Key).Revision < e.entry.Revision {
		c.records.put(e.entry)
	}
	c.rollouts.readRecords(now)
}

// versionOutcome is the outcome of one attempt at a version under a roll-out.
type versionOutcome struct {
	service string
	order   int64
	key     canary.Key
	failure canary.Failure
}

func (e versionOutcome) apply(c *control, _ time.Time) {
	run := c.rollouts.runs[e.service]
	if run != nil && run.Order.Revision == e.order {
		run.Record(e.key, e.failure)
	}
}

// receiveCounts replaces the counts that countedBy has reported.
func (r *rolloutControl) receiveCounts(countedBy string, reported []*entrypb.VersionCount) {
	for service, run := range r.runs {
		counts := map[canary.Key]canary.Count{}
		for _, m := range reported {
			if m.GetService() != service || m.GetOrder() != uint64(run.Order.Revision) {
				continue
			}
			key := canary.Key{Route: m.GetRoute(), New: m.GetVersion() == run.Order.Version}
			counts[key] = canary.Count{Answers: m.GetAnswers(), Failures: m.GetFailures(), Errors: m.GetErrors()}
		}
		if len(counts) > 0 {
			run.SetPeerCounts(countedBy, counts)
		}
	}
}

// counts returns this instance's counts of running roll-outs for heartbeats.
func (r *rolloutControl) counts() []*entrypb.VersionCount {
	var messages []*entrypb.VersionCount
	for service, run := range r.runs {
		if run.Phase().Final() {
			continue
		}
		for key, count := range run.Counts() {
			m := &entrypb.VersionCount{
				Service:  service,
				Order:    uint64(run.Order.Revision),
				Route:    key.Route,
				Answers:  count.Answers,
				Failures: count.Failures,
				Errors:   count.Errors,
			}
			if key.New {
				m.Version = run.Order.Version
			}
			messages = append(messages, m)
		}
	}
	return messages
}

// choices returns the version choices by service for traffic goroutines.
func (r *rolloutControl) choices() map[string]*versionChoice {
	choices := make(map[string]*versionChoice, len(r.runs))
	for service, run := range r.runs {
		order := run.Order.Revision
		choices[service] = &versionChoice{
			version: run.Order.Version,
			split:   run.split,
			phase:   run.Phase(),
			record: func(route string, isNew bool, failure canary.Failure) {
				r.control.post(versionOutcome{service: service, order: order, key: canary.Key{Route: route, New: isNew}, failure: failure})
			},
		}
	}
	return choices
}
