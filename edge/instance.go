package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

const (
	// leaveDelay is the time between the mark as leaving and the closing of the
	// listener: callers use a list of entry instances for that long.
	leaveDelay = 1500 * time.Millisecond
	// stopReserve is kept back from the grace for the end of the process.
	stopReserve = 300 * time.Millisecond
	// keepAlive is the interval of keep-alive probes to upstreams and callers,
	// which alone show a connection that has gone silent.
	keepAlive = 1 * time.Second
	// userTimeout closes a connection whose sent data are not acknowledged.
	userTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection to an upstream. A round trip
	// between regions takes a few tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// loanWait is the longest wait of a request for a loan: two round trips between
	// regions.
	loanWait = 120 * time.Millisecond
	// loanMessages bounds the requests for loans in a second. A customer far over its
	// rate would ask without end, and each costs processor time at both sides.
	loanMessages = 15
	// storeBackoff bounds the pause after failed calls on the store.
	storeBackoff = 400 * time.Millisecond
	// storeTimeout bounds a call on the store, which is slow at times.
	storeTimeout = 1500 * time.Millisecond
)

// Instance is one entry instance.
type Instance struct {
	parts     *parts
	control   *control
	registrar *registrar
	rpc       *entryinstance.Server
	servers   []*http.Server
	callers   *http.Server
	ctx       context.Context
	cancel    context.CancelFunc
	// registering ends the registration before the entry is removed.
	registering context.CancelFunc
	registered  chan struct{}
}

// New wires an instance. It opens nothing yet.
func New(settings *static.EdgeSettings, log *zap.Logger, metrics *telemetry.Metrics) (*Instance, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, log)
	do.ProvideValue(injector, metrics)
	do.Provide(injector, provideStore)
	do.Provide(injector, providePeers)
	do.Provide(injector, provideUpstreams)
	do.Provide(injector, provideParts)
	p, err := do.Invoke[*parts](injector)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{parts: p, ctx: ctx, cancel: cancel, registered: make(chan struct{})}
	i.control = newControl(ctx, p, time.Now())
	p.views.store(&view{peers: &membership.Peers{}, regions: settings.Domains})
	i.registrar, err = newRegistrar(p.store, log, records.Instance{
		Name:          settings.Name,
		Incarnation:   p.identity.GetIncarnation(),
		Address:       settings.Listen,
		RPCAddress:    settings.RPCListen,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
	})
	if err != nil {
		return nil, err
	}
	i.rpc, err = entryinstance.NewServer(rpcConfig(), &entryServer{control: i.control})
	return i, err
}

// rpcConfig allows plain text, since the platform gives no certificates.
func rpcConfig() entryinstance.Config { return entryinstance.Config{AllowPlaintext: true} }

func provideStore(i do.Injector) (platform.Store, error) {
	settings := do.MustInvoke[*static.EdgeSettings](i)
	return platform.NewClient(platform.ClientOptions{
		URL:        settings.Platform,
		Timeout:    storeTimeout,
		MaxBackoff: storeBackoff,
		Seed:       rand.Uint64(),
		Metrics:    do.MustInvoke[*telemetry.Metrics](i),
	})
}

func providePeers(do.Injector) (*entryinstance.Pool, error) {
	return entryinstance.NewPool(rpcConfig())
}

func provideUpstreams(do.Injector) (*upstream.Client, error) {
	return upstream.New(upstream.Options{
		DialTimeout:    dialTimeout,
		KeepAlive:      keepAlive,
		UserTimeout:    userTimeout,
		Headers:        headers.Upstream(),
		KeepRequestID:  true,
		UntilClose:     true,
		NoSilenceTimer: true,
	}), nil
}

func provideParts(i do.Injector) (*parts, error) {
	settings := do.MustInvoke[*static.EdgeSettings](i)
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	return &parts{
		settings: settings,
		identity: &entrypb.Identity{
			Name:          settings.Name,
			Incarnation:   membership.NewIncarnation(settings.Name, rand.Uint64()),
			Address:       settings.Listen,
			RpcAddress:    settings.RPCListen,
			FailureDomain: settings.FailureDomain,
			Region:        settings.Region,
		},
		log:       do.MustInvoke[*zap.Logger](i),
		metrics:   do.MustInvoke[*telemetry.Metrics](i),
		views:     &views{},
		store:     store,
		peers:     do.MustInvoke[*entryinstance.Pool](i),
		upstreams: do.MustInvoke[*upstream.Client](i),
		pool:      placement.NewPool(placement.Self{FailureDomain: settings.FailureDomain, Region: settings.Region}),
		retries:   newRetryBudgets(settings),
		callers:   newConnections(settings.MaxConnections),
		limiter:   admission.NewLimiter(admission.Settings{MaxWait: loanWait, MessagesPerSecond: loanMessages}, time.Now()),
		started:   time.Now(),
	}, nil
}

// Start opens the listeners and starts all goroutines.
func (i *Instance) Start() error {
	s := i.parts.settings
	i.callers = i.server(&traffic{parts: i.parts})
	i.callers.ConnState = i.parts.callers.observe
	err := i.serve(s.Listen, i.callers)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+headers.PathDirectory, &directory{parts: i.parts})
	err = i.serve(s.DirectoryListen, i.server(mux))
	if err != nil {
		return err
	}
	mux = http.NewServeMux()
	mux.Handle("GET "+headers.PathReady, &ready{parts: i.parts})
	err = i.serve(s.ReadyListen, i.server(mux))
	if err != nil {
		return err
	}
	err = i.serveMetrics()
	if err != nil {
		return err
	}
	err = i.serveRPC()
	if err != nil {
		return err
	}
	i.startControl()
	i.parts.log.Info("started", zap.String("name", s.Name), zap.String("incarnation", i.parts.identity.GetIncarnation()))
	return nil
}

func (i *Instance) startControl() {
	go i.control.run()
	f := &follower{store: i.parts.store, log: i.parts.log, instances: i.instances, post: i.control.post}
	go f.run(i.ctx)
	ctx, cancel := context.WithCancel(i.ctx)
	i.registering = cancel
	go func() {
		defer close(i.registered)
		i.registrar.run(ctx)
	}()
}

// instances returns the number of entry instances that are known.
func (i *Instance) instances() int { return len(i.parts.views.load().peers.All) + 1 }

func (i *Instance) server(handler http.Handler) *http.Server {
	s := i.parts.settings
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    int(s.MaxHeader),
		ErrorLog:          zap.NewStdLog(i.parts.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// serve binds the address and serves it in the background.
func (i *Instance) serve(address string, server *http.Server) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 3}}
	listener, err := config.Listen(i.ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	i.servers = append(i.servers, server)
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			i.parts.log.Error("listener failed", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

func (i *Instance) serveMetrics() error {
	if i.parts.settings.MetricsListen == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.parts.metrics.WritePrometheus(w) })
	return i.serve(i.parts.settings.MetricsListen, i.server(mux))
}

func (i *Instance) serveRPC() error {
	listener, err := entryinstance.Listen(rpcConfig(), i.parts.settings.RPCListen)
	if err != nil {
		return err
	}
	go func() {
		err := i.rpc.Serve(listener)
		if err != nil {
			i.parts.log.Error("listener for entry instances failed", zap.Error(err))
		}
	}()
	return nil
}

// Stop lets running requests end, within the deadline of the context: it tells
// callers to leave, then closes the listener and waits for what still runs.
func (i *Instance) Stop(ctx context.Context) {
	i.control.post(leave{})
	i.registering()
	<-i.registered
	ctx, cancel := context.WithTimeout(ctx, i.parts.settings.Grace-stopReserve)
	defer cancel()
	i.registrar.leave(ctx)
	sleep(ctx, leaveDelay)
	err := i.callers.Shutdown(ctx)
	if err != nil {
		i.parts.log.Warn("requests were still running at the end", zap.Error(err))
	}
	i.rpc.Close()
	for _, server := range i.servers {
		_ = server.Close()
	}
	i.cancel()
	i.parts.log.Info("stopped")
}
