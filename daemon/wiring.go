package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/distribution"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/relay"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

// newInjector returns the container that creates each component of an instance on
// first use.
func newInjector(settings *static.Settings, log *zap.Logger, dial Dialer) do.Injector {
	i := do.New()
	do.ProvideValue(i, dial)
	do.ProvideValue(i, settings)
	do.ProvideValue(i, log)
	do.ProvideValue(i, telemetry.New())
	do.ProvideValue(i, newViews())
	do.ProvideValue(i, newLoop())
	do.Provide(i, provideInvariants)
	do.Provide(i, provideIdentity)
	do.Provide(i, providePlatform)
	do.Provide(i, providePeerConfig)
	do.Provide(i, providePeers)
	do.Provide(i, provideUpstreams)
	do.Provide(i, provideProber)
	do.Provide(i, provideLimiter)
	do.Provide(i, provideDistribution)
	do.Provide(i, provideDependencies)
	do.Provide(i, provideKeys)
	do.Provide(i, provideClaims)
	do.Provide(i, provideLocal)
	do.Provide(i, provideRelay)
	do.Provide(i, provideDispatcher)
	do.Provide(i, provideEntryServer)
	do.Provide(i, provideCallerServer)
	return i
}

func provideInvariants(i do.Injector) (*invariant.Checker, error) {
	checker := &invariant.Checker{Log: do.MustInvoke[*zap.Logger](i)}
	do.MustInvoke[*telemetry.Metrics](i).ExportInvariantViolations(checker)
	return checker, nil
}

func provideIdentity(i do.Injector) (*entrypb.Identity, error) {
	settings := do.MustInvoke[*static.Settings](i)
	return &entrypb.Identity{
		Name:          settings.Name,
		Incarnation:   membership.NewIncarnation(settings.Name, rand.Uint64()),
		Address:       settings.Advertise,
		RpcAddress:    settings.RPCAdvertise,
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
	}, nil
}

func providePlatform(i do.Injector) (*platform.Client, error) {
	settings := do.MustInvoke[*static.Settings](i)
	return platform.NewClient(platform.ClientOptions{
		URL:     settings.Platform,
		Seed:    uint64(time.Now().UnixNano()),
		Metrics: do.MustInvoke[*telemetry.Metrics](i),
		Dial:    do.MustInvoke[Dialer](i),
	})
}

func providePeerConfig(i do.Injector) (entryinstance.Config, error) {
	settings := do.MustInvoke[*static.Settings](i)
	config := entryinstance.Config{
		AllowPlaintext: settings.AllowPlaintext,
		MaxConnections: entryinstance.MaxConnectionsFor(int64(settings.Memory)),
		Invariants:     do.MustInvoke[*invariant.Checker](i),
	}
	if settings.TLSCert != "" {
		config.TLS = &entryinstance.TLS{
			CertPEM: []byte(settings.TLSCert),
			KeyPEM:  []byte(settings.TLSKey),
			CAPEM:   []byte(settings.TLSCA),
		}
		left, err := config.TLS.SecondsLeft(time.Now)
		if err != nil {
			return config, err
		}
		do.MustInvoke[*telemetry.Metrics](i).Gauge("ferry_tls_seconds_left", left)
	}
	return config, nil
}

func providePeers(i do.Injector) (*entryinstance.Pool, error) {
	config, err := do.Invoke[entryinstance.Config](i)
	if err != nil {
		return nil, err
	}
	if dial := do.MustInvoke[Dialer](i); dial != nil {
		return entryinstance.NewPoolWithDialer(config, entryinstance.Dialer(dial))
	}
	return entryinstance.NewPool(config)
}

func provideUpstreams(do.Injector) (*upstream.Client, error) {
	return upstream.New(upstream.Options{}), nil
}

func provideProber(i do.Injector) (*upstream.Prober, error) {
	l := do.MustInvoke[*loop](i)
	return upstream.NewProber(upstream.ProberOptions{
		OnResult: func(result balancing.ProbeResult) { l.post(probeCompleted{result}) },
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

func provideLimiter(i do.Injector) (*admission.Limiter, error) {
	checker := do.MustInvoke[*invariant.Checker](i)
	return admission.NewLimiter(admission.Settings{Checker: checker}, time.Now()), nil
}

func provideDistribution(i do.Injector) (*distribution.State, error) {
	identity := do.MustInvoke[*entrypb.Identity](i)
	return distribution.NewState(distribution.Options{
		Self:          identity.GetName(),
		FailureDomain: identity.GetFailureDomain(),
		Validate:      validate,
		Checker:       do.MustInvoke[*invariant.Checker](i),
		Started:       time.Now(),
	}), nil
}

func validate(config *dynamic.Config) error {
	_, err := routing.Compile(config)
	return err
}

func provideDependencies(i do.Injector) (*dependencies, error) {
	client, err := do.Invoke[*platform.Client](i)
	if err != nil {
		return nil, err
	}
	peers, err := do.Invoke[*entryinstance.Pool](i)
	if err != nil {
		return nil, err
	}
	return &dependencies{
		settings:   do.MustInvoke[*static.Settings](i),
		identity:   do.MustInvoke[*entrypb.Identity](i),
		log:        do.MustInvoke[*zap.Logger](i),
		metrics:    do.MustInvoke[*telemetry.Metrics](i),
		invariants: do.MustInvoke[*invariant.Checker](i),
		views:      do.MustInvoke[*views](i),
		store:      client,
		lister:     client,
		peers:      peers,
		upstreams:  do.MustInvoke[*upstream.Client](i),
		limiter:    do.MustInvoke[*admission.Limiter](i),
		prober:     do.MustInvoke[*upstream.Prober](i),
		stalls:     newStallDetector(time.Now()),
		dist:       do.MustInvoke[*distribution.State](i),
		departed:   make(chan struct{}),
	}, nil
}

func provideKeys(i do.Injector) (*requestkeys.Service, error) {
	deps, err := do.Invoke[*dependencies](i)
	if err != nil {
		return nil, err
	}
	config := requestkeys.Config{
		Incarnation: deps.identity.GetIncarnation(),
		AcceptFor:   deps.settings.KeyRetention / 2,
		KeepFor:     deps.settings.KeyRetention,
		Invariants:  deps.invariants,
	}
	peers := func() *membership.Peers { return deps.views.load().peers }
	return requestkeys.NewService(config, time.Now, peers, deps.peers), nil
}

func provideClaims(i do.Injector) (*claims, error) {
	keys, err := do.Invoke[*requestkeys.Service](i)
	if err != nil {
		return nil, err
	}
	return &claims{resolver: requestkeys.NewResolver(keys), log: do.MustInvoke[*zap.Logger](i)}, nil
}

func provideLocal(i do.Injector) (*localTarget, error) {
	return &localTarget{views: do.MustInvoke[*views](i), client: do.MustInvoke[*upstream.Client](i)}, nil
}

func provideRelay(i do.Injector) (*relay.Client, error) {
	peers, err := do.Invoke[*entryinstance.Pool](i)
	if err != nil {
		return nil, err
	}
	return relay.NewClient(do.MustInvoke[*entrypb.Identity](i).GetName(), peers, do.MustInvoke[*invariant.Checker](i)), nil
}

func provideDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	relays, err := do.Invoke[*relay.Client](i)
	if err != nil {
		return nil, err
	}
	choose := &chooser{
		views: do.MustInvoke[*views](i),
		local: do.MustInvoke[*localTarget](i),
		relay: relays,
	}
	return dispatch.NewDispatcher(choose, balancing.NewRetryBudget(), do.MustInvoke[*telemetry.Metrics](i)), nil
}

func provideEntryServer(i do.Injector) (*entryinstance.Server, error) {
	deps, err := do.Invoke[*dependencies](i)
	if err != nil {
		return nil, err
	}
	owned := &ownerTarget{views: deps.views, local: do.MustInvoke[*localTarget](i), stalls: deps.stalls}
	handler := &entryServer{
		deps:  deps,
		loop:  do.MustInvoke[*loop](i),
		relay: relay.NewServer(deps.views.Table, owned.Send),
		keys:  do.MustInvoke[*requestkeys.Service](i),
	}
	config, err := do.Invoke[entryinstance.Config](i)
	if err != nil {
		return nil, err
	}
	return entryinstance.NewServer(config, handler)
}

func provideCallerServer(i do.Injector) (*caller.Server, error) {
	deps, err := do.Invoke[*dependencies](i)
	if err != nil {
		return nil, err
	}
	dispatcher, err := do.Invoke[*dispatch.Dispatcher](i)
	if err != nil {
		return nil, err
	}
	return caller.NewServer(callerSettings(deps.settings), caller.Services{
		Upstreams:      deps.upstreams,
		Tables:         deps.views,
		Admitter:       &admitter{deps: deps},
		Freshness:      deps,
		Dispatcher:     dispatcher,
		Claims:         do.MustInvoke[*claims](i),
		EntryInstances: &entryList{deps: deps, keys: do.MustInvoke[*requestkeys.Service](i)},
		Metrics:        deps.metrics,
		Log:            deps.log,
	}), nil
}

func callerSettings(s *static.Settings) caller.Settings {
	settings := caller.DefaultSettings()
	settings.MaxHeaderBytes = int(s.MaxHeader)
	settings.MaxHeaderLines = s.MaxHeaderLines
	settings.MaxEmptyLines = s.MaxEmptyLines
	settings.HeadMemoryBytes = int64(s.HeadMemory)
	settings.MaxConnections = s.MaxConnections
	settings.MemoryBytes = int64(s.Memory)
	settings.HeaderTimeout = s.HeaderTimeout
	settings.BodyTimeout = s.BodyTimeout
	settings.IdleTimeout = s.IdleTimeout
	settings.LeaveDelay = s.LeaveDelay
	return settings
}
