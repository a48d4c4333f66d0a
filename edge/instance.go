package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/linger"
	"samphireferry.example/ferry/operator/where"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/telemetry"
)

// Instance is one entry instance: its listeners, control goroutine and registration.
type Instance struct {
	deps         *dependencies
	control      *control
	registrar    *registrar
	rpc          *entryinstance.Server
	servers      []*http.Server
	callerServer *http.Server
	ctx          context.Context
	cancel       context.CancelFunc
	// endRequests ends the requests that are running, with a cause.
	endRequests context.CancelCauseFunc
	// stopRegistrar ends the renewal of the registration before the entry is removed.
	stopRegistrar context.CancelFunc
	registrarDone chan struct{}
}

// New wires an instance from its settings. It opens nothing yet.
func New(settings *static.EdgeSettings, log *zap.Logger, metrics *telemetry.Metrics) (*Instance, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, log)
	do.ProvideValue(injector, metrics)
	do.Provide(injector, provideStore)
	do.Provide(injector, providePeers)
	do.Provide(injector, provideUpstreams)
	do.Provide(injector, provideDependencies)
	deps, err := do.Invoke[*dependencies](injector)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{deps: deps, ctx: ctx, cancel: cancel, registrarDone: make(chan struct{})}
	i.control = newControl(ctx, deps, time.Now())
	i.control.publish(time.Now())
	i.registrar, err = newRegistrar(deps.store, log, records.Instance{
		Name:          settings.Name,
		Incarnation:   deps.identity.GetIncarnation(),
		Address:       settings.Listen,
		RPCAddress:    settings.RPCListen,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
	})
	if err != nil {
		return nil, err
	}
	i.registrar.post, i.registrar.assumedFleet = i.control.post, assumedPerDomain*len(settings.Domains)
	i.rpc, err = entryinstance.NewServer(rpcConfig(settings), &entryServer{control: i.control})
	return i, err
}

// Start opens the listeners and starts all goroutines. It returns an error when a
// listener cannot be opened.
func (i *Instance) Start() error {
	s := i.deps.settings
	i.callerServer = i.server(&traffic{deps: i.deps})
	i.callerServer.ConnState = headgate.ObserveWith(i.deps.callerConns.Observe)
	i.callerServer.ConnContext = withCallerConn
	requests, endRequests := context.WithCancelCause(context.Background())
	i.callerServer.BaseContext = func(net.Listener) context.Context { return requests }
	i.endRequests = endRequests
	listener, err := i.listen(s.Listen)
	if err != nil {
		return err
	}
	i.serveOn(callerListener{Listener: listener, heads: i.deps.heads, closer: i.deps.closer}, i.callerServer)
	mux := http.NewServeMux()
	mux.Handle("GET "+headers.PathDirectory, &directory{deps: i.deps})
	err = i.serve(s.DirectoryListen, i.server(mux))
	if err != nil {
		return err
	}
	mux = http.NewServeMux()
	mux.Handle("GET "+headers.PathReady, &ready{deps: i.deps})
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
	i.deps.log.Info("started", zap.String("name", s.Name), zap.String("incarnation", i.deps.identity.GetIncarnation()))
	return nil
}

func (i *Instance) startControl() {
	go i.control.run()
	all := &storeWatcher{
		store: i.deps.store, log: i.deps.log, post: i.control.post, role: i.deps.watchRole,
		listFirst: true, firstRead: i.registrar.firstRead, batchPause: watchBatchPause,
	}
	operator := &storeWatcher{
		store: i.deps.store, log: i.deps.log, post: i.control.post, role: i.deps.operatorWatchRole,
		prefix:  records.PrefixOperator,
		timeout: func() time.Duration { return i.control.budget().ReadTimeout() },
	}
	check := &watchCheck{
		store: i.deps.store, log: i.deps.log, metrics: i.deps.metrics, role: i.deps.watchRole,
		key: i.registrar.key, restart: func() {
			all.restartWatch()
			operator.restartWatch()
		},
	}
	go all.run(i.ctx)
	go operator.run(i.ctx)
	go check.run(i.ctx)
	ctx, cancel := context.WithCancel(i.ctx)
	i.stopRegistrar = cancel
	go func() {
		defer close(i.registrarDone)
		i.registrar.run(ctx)
	}()
}

func (i *Instance) server(handler http.Handler) *http.Server {
	s := i.deps.settings
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    int(s.MaxHeader),
		ErrorLog:          zap.NewStdLog(i.deps.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// serve listens on the address and serves it in the background. Its heads are bounded like those of
// callers.
func (i *Instance) serve(address string, server *http.Server) error {
	listener, err := i.listen(address)
	if err != nil {
		return err
	}
	server.Handler = headgate.Guard(server.Handler, writeRefusal)
	server.WriteTimeout = writeTimeout
	server.ConnState = headgate.ObserveWith(i.deps.otherConns.Observe)
	server.ConnContext = headgate.WithConn
	i.serveOn(headgate.Listener{Listener: linger.Listener{Listener: listener, Closer: i.deps.closer}, Options: i.deps.heads}, server)
	return nil
}

func (i *Instance) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}}
	listener, err := config.Listen(i.ctx, "tcp", address)
	return listener, errors.Wrap(err, "listen")
}

// serveOn serves the listener in the background until the instance stops.
func (i *Instance) serveOn(listener net.Listener, server *http.Server) {
	i.servers = append(i.servers, server)
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			i.deps.log.Error("listener failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
		}
	}()
}

func (i *Instance) serveMetrics() error {
	if i.deps.settings.MetricsListen == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.deps.metrics.WritePrometheus(w) })
	mux.Handle("GET "+where.Path, &whereHandler{deps: i.deps})
	return i.serve(i.deps.settings.MetricsListen, i.server(mux))
}

func (i *Instance) serveRPC() error {
	listener, err := entryinstance.Listen(rpcConfig(i.deps.settings), i.deps.settings.RPCListen)
	if err != nil {
		return err
	}
	go func() {
		err := i.rpc.Serve(listener)
		if err != nil {
			i.deps.log.Error("RPC listener for entry instances failed", zap.Error(err))
		}
	}()
	return nil
}
