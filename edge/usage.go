package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/duty"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/usage"
)

const (
	// usageInterval is the time between two messages with counts: what an instance that is
	// killed has counted since the last one is lost.
	usageInterval = time.Second
	// usageTimeout bounds a message with counts.
	usageTimeout = time.Second
	// forwardFraction is when the leader of a failure domain passes on the counts of a window, as
	// a fraction of the time after its end at which its report is due. Until then most attempts
	// of the window have got a response, so that few counts are passed on again.
	forwardFraction = 0.2
	// directAge is the time for which an instance that is not the leader passes on the counts that
	// it was sent as if it was.
	directAge = 3 * time.Second
	// lateCallWait is how long a new holder waits, where the API does not check tokens, for calls
	// of the last one that may be executed late. A longer wait would cost a window.
	lateCallWait = 2 * time.Second
	// recordTimeout bounds a write or read of the record of the reports.
	recordTimeout = time.Second
	// flushTimeout bounds the last message of an instance that stops.
	flushTimeout = 300 * time.Millisecond
)

// usageControl is the part of the control state that is about usage reports. It is nil where
// the deployment does not ask for them.
type usageControl struct {
	c        *control
	meter    *usageMeter
	settings usage.Settings
	clock    *usage.Clock
	source   uint64
	// registered holds the sources of the registered instances, by key of their entries.
	registered map[string]usage.Expected
	// local holds the counts that members of the failure domain have sent to this instance, backup
	// those that its leader has, and all those for the holder.
	local, backup, all           *usage.Table
	toLeader, toBackup, toHolder *outbox
	exchangedAt                  time.Duration
	directAt                     time.Duration

	duty     *duty.Duty
	runner   *duty.Runner
	api      *platform.UsageClient
	reporter *usage.Reporter
	// permit is that of the duty, for the goroutines that send reports.
	permit atomic.Pointer[duty.Permit]
	// refused is the newest token that the API has refused.
	refused atomic.Int64
}

// outbox is what one target lacks. sending is set while a message waits for its response.
type outbox struct {
	usage.Outbox
	sending bool
}

func newUsageControl(c *control) *usageControl {
	if c.deps.meter == nil {
		return nil
	}
	s := c.deps.settings
	u := &usageControl{
		c:     c,
		meter: c.deps.meter,
		settings: usage.Settings{
			Window: s.UsageWindow, Late: s.UsageLate, Off: s.UsageOff, CallsPerSecond: s.DutyRate,
		},
		clock:      usage.NewClock(),
		source:     sourceOfIncarnation(c.deps.identity.GetIncarnation()),
		registered: map[string]usage.Expected{},
		local:      usage.NewTable(),
		backup:     usage.NewTable(),
		all:        usage.NewTable(),
		toLeader:   &outbox{},
		toBackup:   &outbox{},
		toHolder:   &outbox{},
		duty:       duty.New(duty.Options{TTL: s.DutyLease, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		api:        platform.NewUsageClient(s.DutyAPI, s.Name),
	}
	u.permit.Store(&duty.Permit{})
	options := duty.RunnerOptions{
		Store: c.deps.store,
		Holder: records.DutyHolder{
			Name: s.Name, Incarnation: c.deps.identity.GetIncarnation(), RPCAddress: s.RPCListen,
		},
		Prefix: records.PrefixDuties, HolderKey: records.KeyUsageHolder, ReportKey: records.KeyUsageReports,
		TTL:   s.DutyLease,
		Clock: bootTime,
		Post:  func(r duty.Result) { c.post(dutyResult{r}) },
		Count: func(call string) { c.deps.metrics.Counter("ferry_duty_store_calls_total", "call", call).Inc() },
	}
	if !s.FenceCheck {
		options.LateCalls = lateCallWait
	}
	u.runner = duty.NewRunner(options)
	c.deps.metrics.Gauge("ferry_duty_held", func() float64 {
		if u.permit.Load().Allows(bootTime()) {
			return 1
		}
		return 0
	})
	return u
}

// tick does the periodic work. now is the wall clock.
func (u *usageControl) tick(now time.Time) {
	boot := bootTime()
	u.clock.Observe(boot, now)
	u.meter.offset.Store(int64(u.clock.Offset(boot)))
	u.exchange(boot, false)
	u.tickDuty(boot)
	u.report(boot)
}

// holder returns the record of the holder of the duty, and false if none is known.
func (u *usageControl) holder() (records.DutyHolder, bool) {
	entry := u.c.records.get(records.KeyUsageHolder)
	if !duty.Held(entry) {
		return records.DutyHolder{}, false
	}
	h, err := records.DecodeDutyHolder(entry)
	return h, err == nil
}

// tickDuty makes the next call for the duty. The leaders of the failure domains are the
// candidates, since they follow the store.
func (u *usageControl) tickDuty(boot time.Duration) {
	_, held := u.holder()
	candidate := !u.c.leaving && u.c.readsStore && !u.c.storeUnavailable && u.c.settled(time.Now())
	action := u.duty.Tick(boot, candidate, !held)
	if action != duty.None {
		u.runner.Start(u.c.ctx, action, u.duty.Lease())
	}
	u.publishPermit()
}

// publishPermit passes the permit to the goroutines that send reports, and ends the reports of
// a duty that is over.
func (u *usageControl) publishPermit() {
	permit := u.duty.Permit()
	last := u.permit.Load()
	if permit == *last {
		return
	}
	u.permit.Store(&permit)
	if last.Token != 0 && permit.Token != last.Token {
		u.reporter = nil
		u.c.deps.log.Info("duty of usage reports ended", zap.Int64("token", int64(last.Token)))
	}
}

// dutyResult is the result of a call for the duty.
type dutyResult struct{ result duty.Result }

func (e dutyResult) apply(c *control, _ time.Time) {
	u := c.usage
	boot := bootTime()
	acquired := u.duty.Handle(boot, e.result)
	u.publishPermit()
	if e.result.Err != nil {
		c.deps.log.Info("call for the duty of usage reports failed", zap.Uint8("action", uint8(e.result.Action)), zap.Error(e.result.Err))
	}
	if !acquired {
		return
	}
	token := e.result.Token
	u.reporter = usage.NewReporter(u.clock.Now(boot), u.settings, c.deps.settings.Name, token, e.result.Report)
	c.deps.log.Info("duty of usage reports taken", zap.Int64("token", int64(token)), zap.Duration("wait", e.result.Wait))
}

// leave gives up the duty when the instance begins to stop.
func (u *usageControl) leave() {
	u.duty.Resign()
	u.tickDuty(bootTime())
}

// readInstance records which sources are expected to report.
func (u *usageControl) readInstance(key string, entry platform.Entry) {
	delete(u.registered, key)
	if i, err := records.DecodeInstance(entry); err == nil && !entry.Deleted && i.Incarnation != "" {
		u.registered[key] = usage.Expected{Source: sourceOfIncarnation(i.Incarnation), Domain: i.FailureDomain}
	}
}

// expected returns the sources of all registered instances.
func (u *usageControl) expected() []usage.Expected { return slices.Collect(maps.Values(u.registered)) }

// exchange passes on counts: an instance sends its own to the leader of its failure domain, and
// that one sends those of its domain to the holder. The leader sends its own to another
// instance of the domain as well, which passes them on to the next leader. At most one message
// to each is on its way. The last exchange of an instance includes the current window.
func (u *usageControl) exchange(boot time.Duration, last bool) {
	if boot-u.exchangedAt < usageInterval && !last {
		return
	}
	u.exchangedAt = boot
	now := u.clock.Now(boot)
	current := usage.WindowOf(now, u.settings.Window)
	open := u.settings.Open(now)
	own := u.meter.counter.Report(u.source, now)
	u.prune(current)
	holder, held := u.holder()
	holds := held && holder.Incarnation == u.c.deps.identity.GetIncarnation()
	peers := u.c.members.Snapshot(time.Now())
	leader := peers.Leader(peers.Self.FailureDomain)
	// A domain whose only instance leaves has no leader.
	leads := peers.IsLeader() || leader == nil
	alone := false
	if leads {
		u.local.Merge(own)
		mergeAll(u.local, u.backup)
		second, found := lo.Find(peers.InDomain(peers.Self.FailureDomain), (*membership.Peer).Usable)
		alone = !found
		if found {
			u.sendToPeer(u.toBackup, second, []usage.SourceReport{own}, open, current)
		}
	} else {
		reports := lo.Filter(u.backup.Reports(), func(r usage.SourceReport, _ int) bool {
			return r.Source != sourceOfIncarnation(leader.Incarnation)
		})
		u.sendToPeer(u.toLeader, leader, append(reports, own), open, current)
	}
	switch {
	case holds:
		u.all.Merge(own)
		mergeAll(u.all, u.local)
	case held && (leads || boot-u.directAt < directAge):
		ready := usage.WindowOf(now.Add(-time.Duration(forwardFraction*float64(u.settings.Late))), u.settings.Window) - 1
		if last || alone {
			ready = current
		}
		u.sendToHolder(holder, u.local.Reports(), open, ready)
	}
}

// prune forgets counts of windows whose reports are overdue.
func (u *usageControl) prune(current int64) {
	first := current - int64(u.settings.Late/u.settings.Window) - 2
	expected := lo.SliceToMap(u.expected(), func(e usage.Expected) (uint64, bool) { return e.Source, true })
	for _, table := range []*usage.Table{u.local, u.backup, u.all} {
		table.Prune(first, func(source uint64) bool { return expected[source] })
	}
}

// mergeAll adds all reports of a table to another one.
func mergeAll(to, from *usage.Table) {
	for _, r := range from.Reports() {
		to.Merge(r)
	}
}

// news returns what the target lacks.
func news(to *outbox, reports []usage.SourceReport, open, last int64) []usage.SourceReport {
	return lo.FilterMap(reports, func(r usage.SourceReport, _ int) (usage.SourceReport, bool) { return to.News(r, open, last) })
}

func (u *usageControl) sendToPeer(to *outbox, peer *membership.Peer, reports []usage.SourceReport, open, last int64) {
	to.SetTarget(peer.RPCAddress + " " + peer.Incarnation)
	u.send(to, peer.RPCAddress, news(to, reports, open, last), false)
}

func (u *usageControl) sendToHolder(holder records.DutyHolder, reports []usage.SourceReport, open, last int64) {
	u.toHolder.SetTarget(holder.Incarnation)
	u.send(u.toHolder, holder.RPCAddress, news(u.toHolder, reports, open, last), true)
}

// send sends the reports in the background, unless there are none or a message is on its way.
func (u *usageControl) send(to *outbox, address string, reports []usage.SourceReport, forwarded bool) {
	if len(reports) == 0 || to.sending {
		return
	}
	to.sending = true
	message := usageReportMessage(reports)
	message.Sender = u.c.deps.settings.Name
	message.Forwarded = forwarded
	message.UnixMs = u.clock.Own(bootTime()).UnixMilli()
	target := to.Target()
	u.c.background(usageTimeout, func(ctx context.Context) event {
		done := usageSent{to: to, target: target, reports: reports}
		client, err := u.c.deps.peers.UsageClient(address)
		if err == nil {
			done.receipt, err = client.ReportUsage(ctx, message)
		}
		done.err = err
		return done
	})
}

// usageSent is the outcome of a message with counts.
type usageSent struct {
	to      *outbox
	target  string
	reports []usage.SourceReport
	receipt *entrypb.UsageReceipt
	err     error
}

func (e usageSent) apply(c *control, _ time.Time) {
	e.to.sending = false
	if e.err != nil {
		c.deps.metrics.Counter("ferry_usage_messages_failed_total").Inc()
		c.deps.log.Debug("usage counts were not passed on", zap.Error(e.err))
		return
	}
	e.to.Acked(e.target, e.reports)
	if e.receipt.GetUnixMs() > 0 {
		c.usage.clock.ObserveGroup(bootTime(), time.UnixMilli(e.receipt.GetUnixMs()))
	}
}

// usageReceived is a message with counts from a peer; the reply goes to its channel.
type usageReceived struct {
	report *entrypb.UsageReport
	reply  chan *entrypb.UsageReceipt
}

func (e usageReceived) apply(c *control, now time.Time) {
	u := c.usage
	boot := bootTime()
	if e.report.GetUnixMs() > 0 {
		u.clock.ObservePeer(boot, e.report.GetSender(), time.UnixMilli(e.report.GetUnixMs()))
	}
	table := u.all
	leader := c.members.Snapshot(now).Leader(c.deps.settings.FailureDomain)
	switch {
	case e.report.GetForwarded():
	case leader != nil && leader.Name == e.report.GetSender():
		table = u.backup
	default:
		table = u.local
		u.directAt = boot
	}
	for _, r := range usageReportsOf(e.report) {
		table.Merge(r)
	}
	receipt := &entrypb.UsageReceipt{}
	if t, ok := u.clock.Group(boot); ok {
		receipt.UnixMs = t.UnixMilli()
	}
	e.reply <- receipt
}

// ReportUsage implements entrypb.UsageServer.
func (s *entryServer) ReportUsage(ctx context.Context, report *entrypb.UsageReport) (*entrypb.UsageReceipt, error) {
	if s.control.usage == nil {
		return nil, status.Error(codes.Unimplemented, "this deployment has no usage reports")
	}
	reply := make(chan *entrypb.UsageReceipt, 1)
	s.control.post(usageReceived{report: report, reply: reply})
	return waitFor(ctx, reply)
}

// report closes windows and sends their reports while this instance has the duty.
func (u *usageControl) report(boot time.Duration) {
	permit := u.duty.Permit()
	if u.reporter == nil || permit.Lapsed(boot) {
		return
	}
	now := u.clock.Now(boot)
	step := u.reporter.Next(now, permit.Allows(boot), u.all, u.expected())
	for _, m := range step.Missed {
		u.c.deps.metrics.Counter("ferry_usage_windows_missed_total", "reason", string(m.Reason)).Inc()
		u.c.deps.log.Warn("usage window not reported",
			zap.Int64("window", m.Window), zap.String("reason", string(m.Reason)),
			zap.Int64("token", int64(permit.Token)), zap.Any("counts", m.Counts))
	}
	if step.Write != nil {
		u.write(u.reporter, *step.Write)
	}
	if step.Read {
		u.read(u.reporter)
	}
	if step.Send != nil {
		u.call(u.reporter, permit.Token, *step.Send)
	}
	if u.reporter.Unreachable(now) {
		u.c.deps.log.Warn("usage API cannot be reached, the duty is given up", zap.Int64("token", int64(permit.Token)))
		u.duty.Cede(boot)
		u.publishPermit()
	}
}

// write writes the record in the background.
func (u *usageControl) write(r *usage.Reporter, write usage.Write) {
	value, err := write.Record.Encode()
	if err != nil {
		u.c.deps.log.Error("record of usage reports cannot be encoded", zap.Error(err))
		return
	}
	u.c.deps.metrics.Counter("ferry_duty_store_calls_total", "call", "compare_and_swap").Inc()
	u.c.background(recordTimeout, func(ctx context.Context) event {
		revision, err := u.c.deps.store.CompareAndSwap(ctx, records.KeyUsageReports, value, write.Expected, 0)
		return usageResult{reporter: r, handle: func(now time.Time) { r.Written(now, write, revision, err) }}
	})
}

// read reads the record in the background.
func (u *usageControl) read(r *usage.Reporter) {
	u.c.deps.metrics.Counter("ferry_duty_store_calls_total", "call", "get").Inc()
	u.c.background(recordTimeout, func(ctx context.Context) event {
		entry, err := u.c.deps.store.Get(ctx, records.KeyUsageReports)
		return usageResult{reporter: r, handle: func(now time.Time) { r.RecordRead(now, entry, err) }}
	})
}

// usageResult is the result of a call for the reports of a duty that may have ended meanwhile.
type usageResult struct {
	reporter *usage.Reporter
	handle   func(now time.Time)
}

func (e usageResult) apply(c *control, _ time.Time) {
	u := c.usage
	boot := bootTime()
	e.handle(u.clock.Now(boot))
	if u.reporter != e.reporter {
		return
	}
	if e.reporter.Lost() {
		u.duty.Refused(boot)
		u.publishPermit()
		return
	}
	u.report(boot)
}

// call sends a report in the background. The permit is asked again before each write.
func (u *usageControl) call(r *usage.Reporter, token platform.Revision, send usage.Send) {
	maySend := func() bool {
		permit := u.permit.Load()
		return permit.Token == token && permit.Allows(bootTime()) && u.refused.Load() != int64(token)
	}
	u.c.background(send.Timeout, func(ctx context.Context) event {
		err := u.api.Report(ctx, int64(token), platform.UsageBody{Window: send.Window, Counts: send.Counts}, maySend)
		if errors.Is(err, platform.ErrFenced) {
			// Other calls with the token may be about to be sent before the control goroutine knows.
			u.refused.Store(int64(token))
		}
		u.c.deps.metrics.Counter("ferry_usage_calls_total", "result", callResult(err)).Inc()
		return usageResult{reporter: r, handle: func(now time.Time) { u.sent(r, now, token, send, err) }}
	})
}

func (u *usageControl) sent(r *usage.Reporter, now time.Time, token platform.Revision, send usage.Send, err error) {
	log := u.c.deps.log.With(zap.Int64("window", send.Window), zap.Int64("token", int64(token)))
	if !r.Sent(now, send.Window, err) {
		log.Warn("usage report was not confirmed", zap.String("result", callResult(err)), zap.Error(err))
		return
	}
	u.c.deps.metrics.Counter("ferry_usage_windows_reported_total").Inc()
	log.Info("usage window reported",
		zap.Int("customers", len(send.Counts)),
		zap.Uint64("requests", lo.Sum(lo.Values(send.Counts))),
		zap.Duration("after", now.Sub(usage.WindowStart(send.Window+1, u.settings.Window))))
}

// callResult returns the label of the outcome of a call of the API.
func callResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrFenced):
		return "fenced"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, platform.ErrDutyLost):
		return "not_sent"
	}
	return "unavailable"
}

// flushUsage passes on the last counts of an instance whose requests have ended.
type flushUsage struct{}

func (flushUsage) apply(c *control, _ time.Time) {
	c.usage.exchange(bootTime(), true)
}

// flush passes on the last counts before the process ends.
func (i *Instance) flushUsage(ctx context.Context) {
	if i.control.usage == nil {
		return
	}
	go i.control.post(flushUsage{})
	sleep(ctx, flushTimeout)
}
