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

// Instance is one entry instance. Provision starts it, Cleanup ends it.
type Instance struct {
	settings *static.Settings
	log      *zap.Logger
	injector do.Injector
	parts    *parts
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

// Dialer opens connections to the platform and to other entry instances.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// New returns an instance that is not started. It fails if the settings cannot
// be used, for example because of bad TLS material. A nil dialer uses TCP.
func New(settings *static.Settings, log *zap.Logger, dial Dialer) (*Instance, error) {
	injector := newInjector(settings, log, dial)
	p, err := do.Invoke[*parts](injector)
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
		parts:    p,
		loop:     do.MustInvoke[*loop](injector),
		callers:  callers,
		peers:    peers,
		keys:     do.MustInvoke[*requestkeys.Service](injector),
		claims:   do.MustInvoke[*claims](injector),
	}, nil
}

// Provision binds the addresses and starts to serve. Binding the address of an
// earlier process proves that it is gone.
func (i *Instance) Provision() error {
	err := i.listen()
	if err != nil {
		i.closeListeners()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	control := newControl(ctx, i.parts, i.loop)
	i.running.Go(func() { i.loop.run(ctx, control) })
	control.watcher.Start()
	i.stopWatcher = control.watcher.Stop
	i.running.Go(func() { control.readList(ctx) })
	i.running.Go(func() { i.parts.prober.Run(ctx) })
	i.running.Go(func() { i.servePeers() })
	i.serveOperator()
	i.callers.Provision(i.callerListener)
	i.log.Info("entry instance started",
		zap.String("address", i.CallerAddress()),
		zap.String("operator_address", i.OperatorAddress()),
		zap.String("incarnation", i.parts.identity.GetIncarnation()))
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
	i.operator = &http.Server{Handler: i.operatorHandler(), ReadHeaderTimeout: i.settings.HeaderTimeout}
	i.running.Go(func() {
		err := i.operator.Serve(i.operatorListener)
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
	operator.Register(mux, i.parts)
	return mux
}

// serveReady answers 200 while the instance serves requests, and 503 while it
// has no configuration, no confirmed rate shares, or is leaving.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := i.parts.views.load()
	if v.table == nil || v.leaving || !i.parts.sharesConfirmed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// CallerAddress returns the bound address for callers.
func (i *Instance) CallerAddress() string { return i.callerListener.Addr().String() }

// OperatorAddress returns the bound address of the status API and the metrics.
func (i *Instance) OperatorAddress() string { return i.operatorListener.Addr().String() }

// Metrics returns the counters of the instance.
func (i *Instance) Metrics() *telemetry.Metrics { return i.parts.metrics }

// Invariants returns the checker of the instance.
func (i *Instance) Invariants() *invariant.Checker { return i.parts.invariants }

// Close ends the instance at once. Running requests are cut.
func (i *Instance) Close() {
	i.callers.Close()
	i.peers.Close()
	_ = i.operator.Close()
	i.end()
}

// end stops the control goroutine and closes all connections.
func (i *Instance) end() {
	i.stop()
	i.stopWatcher()
	i.running.Wait()
	i.parts.peers.Close()
	i.parts.upstreams.Close()
}

// cleanupTimeout bounds what follows after the requests have ended.
const cleanupTimeout = 10 * time.Second

// Cleanup ends the instance gracefully: callers and peers learn that it leaves,
// running requests end, then everything is closed. It returns an error when
// requests were cut because the context ended.
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
	i.end()
	i.log.Info("entry instance stopped")
	return err
}

// handOverTimeout bounds the hand-over of the claims of idempotency keys.
const handOverTimeout = 10 * time.Second

// handOverKeys passes the claims of this home to a peer while requests go on.
func (i *Instance) handOverKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := i.keys.Leave(ctx)
	if err != nil {
		i.log.Warn("idempotency keys were not handed over", errorField(err))
	}
}

// shareTimeout bounds the wait until the rate shares are given back. Without
// the store they cannot be.
const shareTimeout = 4 * time.Second

// waitForDeparture waits until the share table no longer lists this instance,
// so that its shares can be used by others at once.
func (i *Instance) waitForDeparture(ctx context.Context) {
	if i.parts.StoreAge() > shareTimeout {
		return
	}
	select {
	case <-i.parts.departed:
	case <-time.After(shareTimeout):
		i.log.Warn("rate shares were not given back in time")
	case <-ctx.Done():
	}
}

// leave marks the instance as leaving.
type leave struct{}

func (leave) apply(c *control, now time.Time) {
	c.leaving = true
	c.dirty = true
	c.lease.Resign()
	c.parts.state.Store(c.state(now))
	c.registry.Leaving(now)
	c.sendHeartbeats(now)
}

// Home returns the first part of idempotency keys whose home is the instance.
func (i *Instance) Home() string { return i.keys.HomeName() }

// ConfigVersion returns the version of the configuration in force, or 0.
func (i *Instance) ConfigVersion() uint64 {
	table := i.parts.views.Table()
	if table == nil {
		return 0
	}
	return table.Version
}
