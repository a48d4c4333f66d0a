package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/shutdown"
)

// errStopping is the cause of the end of requests that still run at the end of a stop.
var errStopping = errkind.New(errkind.Leaving, "")

// stopping holds the plan of the stop once it has begun.
type stopping struct{ plan atomic.Pointer[shutdown.Plan] }

func (s *stopping) begin(plan shutdown.Plan) { s.plan.Store(&plan) }

// begun reports whether the instance is stopping.
func (s *stopping) begun() bool { return s.plan.Load() != nil }

// allows reports whether a request with the deadline, or another attempt of it, may begin.
func (s *stopping) allows(deadline time.Time) bool {
	plan := s.plan.Load()
	return plan == nil || plan.Allows(deadline)
}

// Stop shuts the instance down within the grace period, by the plan of package shutdown: it announces
// that the instance is leaving, closes the listener and waits for running requests. The end of the
// context shortens it.
func (i *Instance) Stop(ctx context.Context) {
	began := time.Now()
	plan := shutdown.NewPlan(began, i.deps.settings.Grace)
	i.deps.stopping.begin(plan)
	ctx, cancel := context.WithDeadline(ctx, plan.CloseConnections())
	defer cancel()
	// Neither the queue of the control goroutine nor the store may delay what follows.
	go i.control.post(leave{})
	go i.unregister(ctx)
	sleep(ctx, time.Until(plan.CloseListener()))
	unused, busy := i.deps.callerConns.Count()
	i.deps.log.Info("listener closes", zap.Int("unused_connections", unused), zap.Int("busy_connections", busy))
	i.deps.closer.Unbound()
	ending := time.AfterFunc(time.Until(plan.EndRequests()), func() { i.endRequests(errStopping) })
	defer ending.Stop()
	// Shutdown looks for the end of the requests at intervals, so an error alone shows no cut.
	err := i.callerServer.Shutdown(ctx)
	if _, busy = i.deps.callerConns.Count(); err != nil && busy > 0 {
		i.deps.log.Warn("requests were cut at the end of the grace period", zap.Int("connections", busy), zap.Error(err))
	}
	i.flushUsage(ctx)
	// Responses that have been written may still be on their way, and the end of the process resets
	// their connections.
	if left := i.deps.closer.Wait(ctx); left > 0 {
		i.deps.log.Warn("callers had not got their responses at the end of the grace period", zap.Int("connections", left))
	}
	i.rpc.Close()
	for _, server := range i.servers {
		_ = server.Close()
	}
	i.cancel()
	i.deps.log.Info("stopped", zap.Duration("took", time.Since(began)))
}

// unregister ends the renewal of the registration, then removes it from the store.
func (i *Instance) unregister(ctx context.Context) {
	i.stopRegistrar()
	select {
	case <-i.registrarDone:
		i.registrar.leave(ctx)
	case <-ctx.Done():
	}
}
