package edge

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/duty"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/usage"
)

// lateCallWait is how long a new holder waits, where the API does not check tokens, for calls
// of the last one that may be executed late. A longer wait would cost a window.
const lateCallWait = 2 * time.Second

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
