package edge

import (
	"math/rand/v2"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/connlimit"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/linger"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/throttle"
	"samphireferry.example/ferry/upstream"
)

const (
	// keepAliveInterval is the interval of TCP keep-alive probes to upstreams and
	// callers. Only these probes detect a connection that has gone silent.
	keepAliveInterval = 1 * time.Second
	// tcpUserTimeout closes a connection whose sent data are not acknowledged within
	// this time.
	tcpUserTimeout = 2 * time.Second
	// dialTimeout bounds opening a connection to an upstream. A round trip between
	// regions takes a few tens of milliseconds.
	dialTimeout = 400 * time.Millisecond
	// maxLoanWait is the longest time a request waits for a loan: two round trips
	// between regions.
	maxLoanWait = 120 * time.Millisecond
	// maxLoanMessagesPerSecond bounds the loan requests per second, each of which costs
	// processor time on both sides: four for each control tick, at which they are
	// planned.
	maxLoanMessagesPerSecond = 40
	// lingerFraction is the fraction of the connection limit that may linger after their close.
	lingerFraction = 0.1
	// otherConnsDivisor is the part of the connection limit for the directory, the readiness check and
	// the metrics together.
	otherConnsDivisor = 5
	// maxStoreBackoff bounds the pause after failed store calls.
	maxStoreBackoff = 400 * time.Millisecond
	// storeTimeout bounds a store call; the store is slow at times.
	storeTimeout = 1500 * time.Millisecond
)

// rpcConfig allows plain text, since the platform provides no certificates.
func rpcConfig(settings *static.EdgeSettings) entryinstance.Config {
	return entryinstance.Config{AllowPlaintext: true, MaxConnections: entryinstance.MaxConnectionsFor(int64(settings.Memory))}
}

func provideStore(i do.Injector) (platform.Store, error) {
	settings := do.MustInvoke[*static.EdgeSettings](i)
	metrics := do.MustInvoke[*telemetry.Metrics](i)
	client, err := platform.NewClient(platform.ClientOptions{
		URL:        settings.Platform,
		Timeout:    storeTimeout,
		MaxBackoff: maxStoreBackoff,
		Seed:       rand.Uint64(),
		Metrics:    metrics,
	})
	if err != nil {
		return nil, err
	}
	metrics.Gauge("ferry_store_era", func() float64 { return float64(client.Era()) })
	return client, nil
}

func providePeers(i do.Injector) (*entryinstance.Pool, error) {
	return entryinstance.NewPool(rpcConfig(do.MustInvoke[*static.EdgeSettings](i)))
}

func provideUpstreams(do.Injector) (*upstream.Client, error) {
	return upstream.New(upstream.Options{
		DialTimeout:          dialTimeout,
		KeepAlive:            keepAliveInterval,
		UserTimeout:          tcpUserTimeout,
		Headers:              headers.UpstreamHeaderNames(),
		KeepRequestID:        true,
		AcceptCloseDelimited: true,
		NoSilenceTimer:       true,
	}), nil
}

func provideDependencies(i do.Injector) (*dependencies, error) {
	settings := do.MustInvoke[*static.EdgeSettings](i)
	store, err := do.Invoke[platform.Store](i)
	if err != nil {
		return nil, err
	}
	upstreams := do.MustInvoke[*upstream.Client](i)
	closer := linger.NewCloser(max(1, int(lingerFraction*float64(settings.MaxConnections))))
	deps := &dependencies{
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
		upstreams: upstreams,
		pool:      placement.NewPool(placement.Location{FailureDomain: settings.FailureDomain, Region: settings.Region, Instance: settings.Name}),
		retries:   newRetryBudgets(settings.EdgeBounds),
		throttle:  throttle.New(),
		callerConns: connlimit.New(settings.MaxConnections, connlimit.MostFor(int64(settings.Memory)), func() int {
			return upstreams.Connections() + closer.Lingering()
		}),
		otherConns:        connlimit.New(max(1, settings.MaxConnections/otherConnsDivisor), 0, nil),
		closer:            closer,
		buffers:           newBuffers(settings),
		stopping:          &stopping{},
		watchRole:         newWatchRoleState(),
		operatorWatchRole: newWatchRoleState(),
		gate:              overload.NewGate(rand.Float64),
		limiter:           admission.NewLimiter(admission.Settings{MaxWait: maxLoanWait, MessagesPerSecond: maxLoanMessagesPerSecond, RefuseFutile: true, Jitter: rand.Float64}, time.Now()),
	}
	deps.heads = newHeads(settings, deps.buffers, deps.metrics)
	deps.bounds.Store(&settings.EdgeBounds)
	if settings.ReportsUsage() {
		deps.meter = newUsageMeter(settings.UsageWindow)
	}
	deps.metrics.Gauge("ferry_buffered_bytes", func() float64 {
		held, _ := deps.buffers.Held()
		return float64(held)
	})
	deps.metrics.Gauge("ferry_connections_lingering", func() float64 { return float64(deps.closer.Lingering()) })
	deps.metrics.Gauge("ferry_head_bytes", func() float64 { return float64(deps.buffers.Heads()) })
	return deps, nil
}
