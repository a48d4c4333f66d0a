package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	// flushTimeout bounds the last message of an instance that stops.
	flushTimeout = 300 * time.Millisecond
)

// outbox is what one target lacks. sending is set while a message waits for its response.
type outbox struct {
	usage.Outbox
	sending bool
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

// prune removes counts of windows whose reports are overdue.
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

// unacked returns the parts of the reports that the target has not acknowledged.
func unacked(to *outbox, reports []usage.SourceReport, open, last int64) []usage.SourceReport {
	return lo.FilterMap(reports, func(r usage.SourceReport, _ int) (usage.SourceReport, bool) { return to.Unacked(r, open, last) })
}

func (u *usageControl) sendToPeer(to *outbox, peer *membership.Peer, reports []usage.SourceReport, open, last int64) {
	to.SetTarget(peer.RPCAddress + " " + peer.Incarnation)
	u.send(to, peer.RPCAddress, unacked(to, reports, open, last), false)
}

func (u *usageControl) sendToHolder(holder records.DutyHolder, reports []usage.SourceReport, open, last int64) {
	u.toHolder.SetTarget(holder.Incarnation)
	u.send(u.toHolder, holder.RPCAddress, unacked(u.toHolder, reports, open, last), true)
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
