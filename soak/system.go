package soak

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

const (
	host     = "soak.example"
	key      = "soak-key"
	customer = "acme"
	// lookup may be repeated, filing may run once.
	lookup = "lookup"
	filing = "filing"
)

const (
	// grace is the time between SIGTERM and SIGKILL: more than callerDeadline.
	grace = 3 * time.Second
	// upstreamsEach is the number of upstreams of each service, slots the requests
	// that each runs at once: together more than the callers send.
	upstreamsEach = 4
	slots         = 8
	// attempts is the number of upstreams that may get one request.
	attempts = 2
	// customerRate is in requests per second; rates bind no caller of the soak.
	customerRate = 10_000
	// writeTries, writePause and writeTimeout bound a write of the operator: together
	// they outlast every fault of the store.
	writeTries   = 200
	writePause   = 100 * time.Millisecond
	writeTimeout = time.Second
)

// domains are the failure domains with their regions.
var domains = []domain{{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}}

type domain struct{ name, region string }

// system is everything that a soak runs.
type system struct {
	options   Options
	ledger    *Ledger
	store     *standin.Platform
	storeHTTP *httptest.Server
	instances []*process

	mu        sync.Mutex
	version   uint64
	upstreams map[string]*Upstream
	gone      []*Upstream
	started   int
}

// newSystem starts the store, the upstreams and the instances.
func newSystem(o Options) (*system, error) {
	s := &system{options: o, ledger: NewLedger(), store: standin.New(standin.Options{Seed: o.Seed}), upstreams: map[string]*Upstream{}}
	s.storeHTTP = httptest.NewServer(s.store.Handler())
	s.configure()
	for i := range 2 * upstreamsEach {
		err := s.addUpstream([]string{lookup, filing}[i%2])
		if err != nil {
			return s, err
		}
	}
	for i := range o.Instances {
		at := domains[i%len(domains)]
		p, err := newProcess(o, fmt.Sprintf("entry-%d", i), at, s.storeHTTP.Listener.Addr().String())
		if err != nil {
			return s, err
		}
		s.instances = append(s.instances, p)
		err = p.start()
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// record is what the operator or an upstream writes.
type record interface {
	Key() string
	Value() ([]byte, error)
}

// put writes a record past all faults.
func (s *system) put(r record) error {
	value, err := r.Value()
	if err != nil {
		return err
	}
	return s.write(r.Key(), func(ctx context.Context, at platform.Revision) error {
		_, err := s.store.CompareAndSwap(ctx, r.Key(), value, at, 0)
		return err
	})
}

func (s *system) remove(name string) error {
	return s.write(name, func(ctx context.Context, at platform.Revision) error { return s.store.Delete(ctx, name, at) })
}

// write carries out a change at the newest revision; a store that is away or loses
// the answer is tried again.
func (s *system) write(name string, change func(ctx context.Context, at platform.Revision) error) error {
	var last error
	for range writeTries {
		last = s.tryWrite(name, change)
		if last == nil {
			return nil
		}
		time.Sleep(writePause)
	}
	return last
}

func (s *system) tryWrite(name string, change func(ctx context.Context, at platform.Revision) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	entry, err := s.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return change(ctx, entry.Revision)
}

// configure publishes the next version.
func (s *system) configure() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	err := s.put(records.Configuration{
		Version: version,
		Routes: []records.Route{
			{Name: lookup, Host: host, Prefix: "/" + lookup + "/", Service: lookup, Timeout: callerDeadline, Attempts: attempts},
			{Name: filing, Host: host, Prefix: "/" + filing + "/", Service: filing, Timeout: callerDeadline, Attempts: attempts, AtMostOnce: true},
		},
		Services:  []string{lookup, filing},
		Customers: []records.Customer{{Name: customer, Keys: []string{key}, Rate: customerRate, Burst: customerRate}},
	})
	if err != nil {
		s.ledger.Break("the soak could not publish version %d: %v", version, err)
	}
}

func (s *system) addUpstream(service string) error {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("u-%d", s.started)
	s.mu.Unlock()
	u, err := newUpstream(id, service, s.ledger)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.upstreams[id] = u
	s.mu.Unlock()
	return s.put(u.record(domains[s.started%len(domains)].name))
}

// replace starts another upstream of the service, takes the entry of this one away
// and lets it end later.
func (s *system) replace(id string) error {
	s.mu.Lock()
	u := s.upstreams[id]
	delete(s.upstreams, id)
	s.gone = append(s.gone, u)
	s.mu.Unlock()
	err := s.addUpstream(u.service)
	if err != nil {
		return err
	}
	return s.remove(u.record("").Key())
}

func (s *system) close() {
	for _, p := range s.instances {
		p.end(syscall.SIGTERM)
		p.store.Close()
	}
	for _, u := range s.upstreams {
		u.close()
	}
	for _, u := range s.gone {
		u.close()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
