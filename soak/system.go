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
	apiKey   = "soak-key"
	customer = "acme"
	// lookup is the service of the idempotent route, filing that of the at-most-once
	// route; the routes have the same names.
	lookup = "lookup"
	filing = "filing"
)

const (
	// grace is the time between SIGTERM and SIGKILL; it exceeds callerDeadline.
	grace = 3 * time.Second
	// upstreamsPerService is the number of upstreams of each service, slotsPerUpstream
	// the number of requests that each runs at once: together more than the callers send.
	upstreamsPerService = 4
	slotsPerUpstream    = 8
	// maxAttempts bounds the upstreams to which one request is sent.
	maxAttempts = 2
	// customerRate is in requests per second, and as a burst in requests; it limits no
	// caller of the soak.
	customerRate = 10_000
	// maxWriteAttempts, writeBackoff and writeTimeout bound a write of the operator or of
	// an upstream: together they outlast every fault of the store.
	maxWriteAttempts = 200
	writeBackoff     = 100 * time.Millisecond
	writeTimeout     = time.Second
)

// domains lists the failure domains with their regions.
var domains = []domain{{"east-1", "east"}, {"east-2", "east"}, {"west-1", "west"}}

type domain struct{ name, region string }

// system holds the store, the upstreams and the instances of a soak.
type system struct {
	options    Options
	ledger     *Ledger
	departures *departures
	store      *standin.Platform
	storeHTTP  *httptest.Server
	instances  []*process

	mu               sync.Mutex
	version          uint64
	upstreams        map[string]*Upstream
	removed          []*Upstream
	startedUpstreams int
}

// newSystem starts the store, the upstreams and the instances.
func newSystem(o Options) (*system, error) {
	s := &system{options: o, ledger: NewLedger(), departures: newDepartures(), store: standin.New(standin.Options{Seed: o.Seed}), upstreams: map[string]*Upstream{}}
	s.storeHTTP = httptest.NewServer(s.store.Handler())
	s.publishConfiguration()
	for i := range 2 * upstreamsPerService {
		err := s.addUpstream([]string{lookup, filing}[i%2])
		if err != nil {
			return s, err
		}
	}
	for i := range o.Instances {
		location := domains[i%len(domains)]
		p, err := newProcess(o, fmt.Sprintf("entry-%d", i), location, s.storeHTTP.Listener.Addr().String())
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

// record is a record that the operator or an upstream writes to the store.
type record interface {
	Key() string
	Value() ([]byte, error)
}

// put writes a record and retries while the store is faulty.
func (s *system) put(r record) error {
	value, err := r.Value()
	if err != nil {
		return err
	}
	return s.write(r.Key(), func(ctx context.Context, expected platform.Revision) error {
		_, err := s.store.CompareAndSwap(ctx, r.Key(), value, expected, 0)
		return err
	})
}

func (s *system) remove(key string) error {
	return s.write(key, func(ctx context.Context, expected platform.Revision) error { return s.store.Delete(ctx, key, expected) })
}

// write applies a change at the newest revision of the key and retries when the store
// is unavailable or loses the response.
func (s *system) write(key string, change func(ctx context.Context, expected platform.Revision) error) error {
	var last error
	for range maxWriteAttempts {
		last = s.tryWrite(key, change)
		if last == nil {
			return nil
		}
		time.Sleep(writeBackoff)
	}
	return last
}

func (s *system) tryWrite(key string, change func(ctx context.Context, expected platform.Revision) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	entry, err := s.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return change(ctx, entry.Revision)
}

// publishConfiguration publishes the next version of the configuration.
func (s *system) publishConfiguration() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	err := s.put(records.Configuration{
		Version: version,
		Routes: []records.Route{
			{Name: lookup, Host: host, Prefix: "/" + lookup + "/", Service: lookup, Timeout: callerDeadline, Attempts: maxAttempts},
			{Name: filing, Host: host, Prefix: "/" + filing + "/", Service: filing, Timeout: callerDeadline, Attempts: maxAttempts, AtMostOnce: true},
		},
		Services:  []string{lookup, filing},
		Customers: []records.Customer{{Name: customer, Keys: []string{apiKey}, Rate: customerRate, Burst: customerRate}},
	})
	if err != nil {
		s.ledger.RecordViolation("the soak could not publish configuration version %d: %v", version, err)
	}
}

func (s *system) addUpstream(service string) error {
	s.mu.Lock()
	s.startedUpstreams++
	id := fmt.Sprintf("u-%d", s.startedUpstreams)
	s.mu.Unlock()
	u, err := newUpstream(id, service, s.ledger, s.departures)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.upstreams[id] = u
	s.mu.Unlock()
	return s.put(u.record(domains[s.startedUpstreams%len(domains)].name))
}

// replace starts another upstream of the same service and removes this one's entry from
// the store; its server runs until the soak ends.
func (s *system) replace(id string) error {
	s.mu.Lock()
	u := s.upstreams[id]
	if u == nil {
		// Another fault has replaced it.
		s.mu.Unlock()
		return nil
	}
	delete(s.upstreams, id)
	s.removed = append(s.removed, u)
	s.mu.Unlock()
	err := s.addUpstream(u.service)
	if err != nil {
		return err
	}
	return s.remove(u.record("").Key())
}

func (s *system) close() {
	for _, p := range s.instances {
		p.terminate(syscall.SIGTERM)
		p.storeProxy.Close()
	}
	for _, u := range s.upstreams {
		u.close()
	}
	for _, u := range s.removed {
		u.close()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}
