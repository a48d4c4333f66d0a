package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/telemetry"
)

// Instance is one entry instance. Provision starts it; Cleanup stops it.
type Instance struct {
	settings *static.Settings
	log      *zap.Logger
	injector do.Injector
	deps     *dependencies
	loop     *loop
	callers  *caller.Server
	peers    *entryinstance.Server
	keys     *requestkeys.Service
	claims   *claims

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	operator         *http.Server

	stop        context.CancelFunc
	stopWatcher func()
	running     sync.WaitGroup
}

// Dialer opens connections to the platform and to peers.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// New returns an instance that is not started yet. It returns an error if the
// settings are unusable, for example because of invalid TLS material. A nil
// dialer uses TCP.
func New(settings *static.Settings, log *zap.Logger, dial Dialer) (*Instance, error) {
	injector := newInjector(settings, log, dial)
	deps, err := do.Invoke[*dependencies](injector)
	if err != nil {
		return nil, err
	}
	callers, err := do.Invoke[*caller.Server](injector)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*entryinstance.Server](injector)
	if err != nil {
		return nil, err
	}
	return &Instance{
		settings: settings,
		log:      log,
		injector: injector,
		deps:     deps,
		loop:     do.MustInvoke[*loop](injector),
		callers:  callers,
		peers:    peers,
		keys:     do.MustInvoke[*requestkeys.Service](injector),
		claims:   do.MustInvoke[*claims](injector),
	}, nil
}

// Provision binds the listen addresses and starts to serve. A successful bind of
// an address that an earlier process used proves that this process has ended.
func (i *Instance) Provision() error {
	err := i.listen()
	if err != nil {
		i.closeListeners()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	control := newControl(ctx, i.deps, i.loop)
	i.running.Go(func() { i.loop.run(ctx, control) })
	control.watcher.Start()
	i.stopWatcher = control.watcher.Stop
	i.running.Go(func() { control.readList(ctx) })
	i.running.Go(func() { i.deps.prober.Run(ctx) })
	i.running.Go(func() { i.servePeers() })
	i.serveOperator()
	i.callers.Provision(i.callerListener)
	i.log.Info("entry instance started",
		zap.String("address", i.CallerAddress()),
		zap.String("operator_address", i.OperatorAddress()),
		zap.String("incarnation", i.deps.identity.GetIncarnation()))
	return nil
}

func (i *Instance) listen() error {
	var err error
	i.callerListener, err = net.Listen("tcp", i.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	i.peerListener, err = entryinstance.Listen(do.MustInvoke[entryinstance.Config](i.injector), i.settings.RPCListen)
	if err != nil {
		return errors.Wrap(err, "rpc-listen")
	}
	i.operatorListener, err = net.Listen("tcp", i.settings.OperatorListen)
	return errors.Wrap(err, "operator-listen")
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callerListener, i.peerListener, i.operatorListener} {
		if l != nil {
			l.Close()
		}
	}
}

func (i *Instance) servePeers() {
	err := i.peers.Serve(i.peerListener)
	if err != nil {
		i.log.Error("server for entry instances stopped", errorField(err))
	}
}

func (i *Instance) serveOperator() {
	operator, listener := i.callers.Guarded(i.operatorListener, i.operatorHandler())
	i.operator = operator
	i.running.Go(func() {
		err := operator.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			i.log.Error("operator server stopped", errorField(err))
		}
	})
}

func (i *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		i.writeMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", i.serveReady)
	operator.Register(mux, i.deps)
	return mux
}

// serveReady responds with 200 while the instance serves requests, and with 503
// while it has no configuration, has no confirmed rate shares or is leaving.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := i.deps.views.load()
	switch {
	case v.table == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	case v.leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !i.deps.sharesConfirmed.Load():
		http.Error(w, "rate shares not confirmed", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// CallerAddress returns the bound address that serves callers.
func (i *Instance) CallerAddress() string { return i.callerListener.Addr().String() }

// OperatorAddress returns the bound address that serves the status API and metrics.
func (i *Instance) OperatorAddress() string { return i.operatorListener.Addr().String() }

// Metrics returns the counters of the instance.
func (i *Instance) Metrics() *telemetry.Metrics { return i.deps.metrics }

// Invariants returns the invariant checker of the instance.
func (i *Instance) Invariants() *invariant.Checker { return i.deps.invariants }

// Close stops the instance immediately and aborts requests in flight.
func (i *Instance) Close() {
	i.callers.Close()
	i.peers.Close()
	_ = i.operator.Close()
	i.stopAndClose()
}

// end stops the control goroutine and closes all connections.
func (i *Instance) stopAndClose() {
	i.stop()
	i.stopWatcher()
	i.running.Wait()
	i.deps.peers.Close()
	i.deps.upstreams.Close()
}

// cleanupTimeout limits the steps of Cleanup that follow the last request.
const cleanupTimeout = 10 * time.Second

// Cleanup stops the instance gracefully: it announces to callers and peers that
// the instance is leaving, waits for requests in flight and closes everything. It
// returns an error if the context ended first and requests were aborted.
func (i *Instance) Cleanup(ctx context.Context) error {
	i.loop.post(leave{})
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		i.handOverKeys(ctx)
	}()
	err := i.callers.Cleanup(ctx)
	<-handedOver
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	i.claims.wait()
	i.waitForDeparture(stopping)
	i.peers.Shutdown(stopping)
	_ = i.operator.Shutdown(stopping)
	i.stopAndClose()
	i.log.Info("entry instance stopped")
	return err
}

// handOverTimeout limits the hand-over of claims of idempotency keys.
const handOverTimeout = 10 * time.Second

// handOverKeys passes the claims of this home to a peer while requests continue.
func (i *Instance) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := i.keys.Leave(ctx)
	if err != nil {
		i.log.Warn("idempotency keys were not handed over", errorField(err))
	}
}

// shareReturnTimeout limits the wait until the rate shares are returned. They
// cannot be returned while the store is unavailable: if the last update from the
// store is older than this, the instance does not wait.
const shareReturnTimeout = 4 * time.Second

// waitForDeparture waits until the share table no longer lists this instance,
// so that peers can use its shares immediately.
func (i *Instance) waitForDeparture(ctx context.Context) {
	if i.deps.StoreAge() > shareReturnTimeout {
		return
	}
	select {
	case <-i.deps.departed:
	case <-time.After(shareReturnTimeout):
		i.log.Warn("rate shares were not returned in time")
	case <-ctx.Done():
	}
}

// leave is the event that marks the instance as leaving.
type leave struct{}

func (leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.dirty = true
	c.lease.Resign()
	c.deps.state.Store(c.state(now))
	c.registry.AnnounceLeaving(now)
	c.sendHeartbeats(now)
}

// Home returns the prefix of idempotency keys whose home is this instance.
func (i *Instance) Home() string { return i.keys.HomeName() }

// ConfigVersion returns the version of the configuration in force, or 0.
func (i *Instance) ConfigVersion() uint64 {
	table := i.deps.views.Table()
	if table == nil {
		return 0
	}
	return table.Version
}
