package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/daemon"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	standinplatform "samphireferry.example/ferry/standin/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
)

// Options set the size of a System and its hooks. Zero values mean the defaults.
type Options struct {
	// Regions and DomainsPerRegion default to 3 and 2.
	Regions          int
	DomainsPerRegion int
	// Entries is the number of entry instances. It defaults to 10.
	Entries int
	// Change is called on the objects before they are published.
	Change func(set *dynamic.Set)
	// Log receives the logs of all entry instances; nil discards them.
	Log *zap.Logger
	// OnViolation is called when an invariant of an entry instance is violated.
	OnViolation func(name invariant.Name, detail string)
}

// System is a running system of entry instances, upstreams and a platform.
type System struct {
	Platform    *standinplatform.Platform
	PlatformURL string
	Entries     []*daemon.Instance
	// Upstreams are by name.
	Upstreams map[string]*standinupstream.Upstream
	// Set holds the objects that Publish writes to the store.
	Set dynamic.Set

	// Network carries the connections that entry instances open to each other and
	// to the platform.
	Network *Network

	options Options
	domains []dynamic.FailureDomain
	// serversMu guards servers and upstreamServers.
	serversMu sync.Mutex
	servers   []*http.Server
	// settings are those with which Entries were started, in the same order.
	settings []*static.Settings
	// upstreamServers are by the name of the upstream.
	upstreamServers map[string]*http.Server
}

// Start starts a system and returns when all entry instances run. The caller must
// call Stop, also after an error.
func Start(options Options) (*System, error) {
	s := &System{
		options:   withDefaults(options),
		Upstreams: map[string]*standinupstream.Upstream{},
		Network:   newNetwork(),

		upstreamServers: map[string]*http.Server{},
	}
	s.domains = failureDomains(s.options.Regions, s.options.DomainsPerRegion)
	s.Set = baseSet(s.domains)
	err := s.start()
	return s, err
}

func withDefaults(o Options) Options {
	if o.Regions == 0 {
		o.Regions = 3
	}
	if o.DomainsPerRegion == 0 {
		o.DomainsPerRegion = 2
	}
	if o.Entries == 0 {
		o.Entries = 10
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func (s *System) start() error {
	err := s.startPlatform()
	if err != nil {
		return err
	}
	err = s.startUpstreams()
	if err != nil {
		return err
	}
	if s.options.Change != nil {
		s.options.Change(&s.Set)
	}
	err = s.Publish(context.Background())
	if err != nil {
		return err
	}
	for range s.options.Entries {
		err = s.AddEntry()
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startPlatform() error {
	s.Platform = standinplatform.New(standinplatform.Options{})
	_, address, err := s.serve(s.Platform.Handler())
	s.PlatformURL = "http://" + address
	s.Network.setLocation(address, LocationPlatform)
	return err
}

func (s *System) startUpstreams() error {
	for _, size := range serviceSizes {
		for n := range size.upstreams {
			err := s.AddUpstream(size, firstVersion, n)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// AddUpstream starts upstream n, counted from 0, of a service and adds it to Set.
func (s *System) AddUpstream(size serviceSize, version string, n int) error {
	name := fmt.Sprintf("%s-%s-%02d", size.service, version, n+1)
	u := standinupstream.New(standinupstream.Options{
		Name:         name,
		Version:      version,
		Slots:        size.slots,
		ServiceTime:  size.serviceTime,
		ShedWhenFull: true,
	})
	server, address, err := s.serve(u)
	if err != nil {
		return err
	}
	s.Upstreams[name] = u
	s.upstreamServers[name] = server
	s.Set.Upstreams = append(s.Set.Upstreams, dynamic.Upstream{
		Name:          name,
		Service:       size.service,
		Version:       version,
		FailureDomain: s.domains[n%len(s.domains)].Name,
		Address:       address,
		Slots:         size.slots,
	})
	return nil
}

// StopUpstream closes the listener and all connections of the upstream.
func (s *System) StopUpstream(name string) error {
	s.serversMu.Lock()
	server := s.upstreamServers[name]
	s.serversMu.Unlock()
	if server == nil {
		return errors.Newf("upstream %q does not exist", name)
	}
	return server.Close()
}

// StartUpstream starts a stopped upstream at its previous address. It is cold
// again.
func (s *System) StartUpstream(name string) error {
	row, found := lo.Find(s.Set.Upstreams, func(u dynamic.Upstream) bool { return u.Name == name })
	if !found {
		return errors.Newf("upstream %q does not exist", name)
	}
	server, _, err := s.serveAt(row.Address, s.Upstreams[name])
	if err != nil {
		return err
	}
	s.serversMu.Lock()
	s.upstreamServers[name] = server
	s.serversMu.Unlock()
	s.Upstreams[name].Restart()
	return nil
}

// AddEntry starts one more entry instance.
func (s *System) AddEntry() error {
	n := len(s.Entries)
	settings, err := s.entrySettings(n, s.domains[n%len(s.domains)])
	if err != nil {
		return err
	}
	instance, err := s.startEntry(settings)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, instance)
	s.settings = append(s.settings, settings)
	return nil
}

// startEntry starts an entry instance and lists it as live.
func (s *System) startEntry(settings *static.Settings) (*daemon.Instance, error) {
	log := s.options.Log.With(zap.String("instance", settings.Name))
	instance, err := daemon.New(settings, log, s.Network.dialFrom(settings.FailureDomain))
	if err != nil {
		return nil, err
	}
	instance.Invariants().OnViolation = s.options.OnViolation
	s.Network.setLocation(settings.RPCAdvertise, settings.FailureDomain)
	err = instance.Provision()
	if err != nil {
		return nil, err
	}
	s.listEntry(settings, platform.InstanceLive)
	return instance, nil
}

// listEntry sets the row of an entry instance in the platform's list of instances.
func (s *System) listEntry(settings *static.Settings, state platform.InstanceState) {
	s.Platform.SetInstance(platform.Instance{
		Name:            settings.Name,
		Role:            "entry",
		Address:         settings.Listen,
		RPCAddress:      settings.RPCListen,
		OperatorAddress: settings.OperatorListen,
		FailureDomain:   settings.FailureDomain,
		State:           state,
	})
}

// entrySettings returns the settings of entry instance n, counted from 0, with
// free addresses.
func (s *System) entrySettings(n int, domain dynamic.FailureDomain) (*static.Settings, error) {
	addresses := make([]string, 3)
	for i := range addresses {
		address, err := freeport.Next()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	return static.Parse("ferry-entry", []string{
		"-name", fmt.Sprintf("entry-%02d", n+1),
		"-region", domain.Region,
		"-failure-domain", domain.Name,
		"-listen", addresses[0],
		"-rpc-listen", addresses[1],
		"-operator-listen", addresses[2],
		"-platform", s.PlatformURL,
		"-leave-delay", "200ms",
	}, nil)
}

// Publish writes Set to the store as the next configuration version.
func (s *System) Publish(ctx context.Context) error {
	version, revision := uint64(0), platform.Revision(0)
	entry, err := s.Platform.Get(ctx, platform.KeyConfig)
	if err == nil {
		current, decodeErr := dynamic.Decode(entry.Value)
		if decodeErr != nil {
			return decodeErr
		}
		version, revision = current.Version, entry.Revision
	} else if !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	config := &dynamic.Config{Version: version + 1, PublishID: fmt.Sprint("demo-", version+1), Set: s.Set}
	data, err := config.Encode()
	if err != nil {
		return err
	}
	_, err = s.Platform.CompareAndSwap(ctx, platform.KeyConfig, data, revision, 0)
	return err
}

// Stop ends all entry instances and stand-ins immediately, without a graceful
// shutdown.
func (s *System) Stop() error {
	for _, entry := range s.Entries {
		entry.Close()
	}
	var all error
	for _, server := range s.servers {
		all = errors.Join(all, server.Close())
	}
	return all
}

// serve starts an HTTP server at a free address and returns the server and the
// address, at which it can be started again later.
func (s *System) serve(handler http.Handler) (*http.Server, string, error) {
	address, err := freeport.Next()
	if err != nil {
		return nil, "", err
	}
	return s.serveAt(address, handler)
}

// serveAt starts an HTTP server at the address and returns both.
func (s *System) serveAt(address string, handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.serversMu.Lock()
	s.servers = append(s.servers, server)
	s.serversMu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}
