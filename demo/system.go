package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/daemon"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	standinplatform "samphireferry.example/ferry/standin/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
)

// Options are the size of a System. Zero values stand for the defaults.
type Options struct {
	// Regions and DomainsPerRegion default to 3 and 2.
	Regions          int
	DomainsPerRegion int
	// Entries is the number of entry instances. Default 10.
	Entries int
	// Change is called on the objects before they are published.
	Change func(set *dynamic.Set)
	// Log receives the logs of all entry instances; nil drops them.
	Log *zap.Logger
	// OnViolation is called when an invariant of an entry instance is violated.
	OnViolation func(name invariant.Name, detail string)
}

// System is a running small system.
type System struct {
	Platform    *standinplatform.Platform
	PlatformURL string
	Entries     []*daemon.Instance
	// Upstreams are by name.
	Upstreams map[string]*standinupstream.Upstream
	Set       dynamic.Set

	// Network carries what passes between the entry instances and the platform.
	Network *Network

	options Options
	domains []dynamic.FailureDomain
	servers []*http.Server
}

// Start starts a system and returns when all entry instances run. Stop must be
// called also after an error.
func Start(options Options) (*System, error) {
	s := &System{
		options:   withDefaults(options),
		Upstreams: map[string]*standinupstream.Upstream{},
		Network:   newNetwork(),
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
	address, err := s.serve(s.Platform.Handler())
	s.PlatformURL = "http://" + address
	s.Network.place(address, PlacePlatform)
	return err
}

func (s *System) startUpstreams() error {
	for _, size := range sizes {
		for n := range size.upstreams {
			err := s.AddUpstream(size, firstVersion, n)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// AddUpstream starts one upstream and adds it to the objects.
func (s *System) AddUpstream(size serviceSize, version string, n int) error {
	name := fmt.Sprintf("%s-%s-%02d", size.service, version, n+1)
	u := standinupstream.New(standinupstream.Options{
		Name:         name,
		Version:      version,
		Slots:        size.slots,
		ServiceTime:  size.time,
		ShedWhenFull: true,
	})
	address, err := s.serve(u)
	if err != nil {
		return err
	}
	s.Upstreams[name] = u
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

// AddEntry starts one more entry instance.
func (s *System) AddEntry() error {
	n := len(s.Entries)
	domain := s.domains[n%len(s.domains)]
	settings, err := s.entrySettings(n, domain)
	if err != nil {
		return err
	}
	instance, err := daemon.New(settings, s.options.Log.With(zap.String("instance", settings.Name)), s.Network.dialFrom(domain.Name))
	if err != nil {
		return err
	}
	instance.Invariants().OnViolation = s.options.OnViolation
	s.Network.place(settings.RPCAdvertise, domain.Name)
	err = instance.Provision()
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, instance)
	s.Platform.SetInstance(platform.Instance{
		Name:            settings.Name,
		Role:            "entry",
		Address:         settings.Listen,
		RPCAddress:      settings.RPCListen,
		OperatorAddress: settings.OperatorListen,
		FailureDomain:   domain.Name,
		State:           platform.InstanceLive,
	})
	return nil
}

func (s *System) entrySettings(n int, domain dynamic.FailureDomain) (*static.Settings, error) {
	addresses := make([]string, 3)
	for i := range addresses {
		address, err := freeAddress()
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

// Publish writes the objects to the store as a new version.
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

// Stop ends all entry instances and stand-ins at once.
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

// serve starts an HTTP server on a free loopback address.
func (s *System) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
