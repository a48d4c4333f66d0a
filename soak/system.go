package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
)

const (
	host     = "soak.example"
	key      = "soak-key"
	customer = "acme"
	// grace is the time between SIGTERM and SIGKILL.
	grace = 3 * time.Second
)

// system is everything that a soak runs.
type system struct {
	options   Options
	ledger    *Ledger
	store     *standin.Platform
	storeHTTP *httptest.Server
	instances []*process

	mu        sync.Mutex
	version   int
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
		err := s.addUpstream([]string{"lookup", "filing"}[i%2])
		if err != nil {
			return s, err
		}
	}
	domains := []string{"east-1=east", "east-2=east", "west-1=west"}
	for i := range o.Instances {
		name := fmt.Sprintf("entry-%d", i)
		region, domain := "east", fmt.Sprintf("east-%d", 1+i%3)
		if i%3 == 2 {
			region, domain = "west", "west-1"
		}
		p, err := newProcess(o, name, region, domain, s.storeHTTP.Listener.Addr().String(), domains)
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

// put writes a record as the operator or an upstream does, past all faults.
func (s *system) put(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return s.write(name, func(ctx context.Context, at platform.Revision) error {
		_, err := s.store.CompareAndSwap(ctx, name, data, at, 0)
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
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		entry, err := s.store.Get(ctx, name)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			err = change(ctx, entry.Revision)
		}
		cancel()
		if err == nil {
			return nil
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// configure publishes the next version.
func (s *system) configure() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	type object = map[string]any
	route := func(service, kind string) object {
		return object{"of_kind": "routes", "meta": object{"name": service}, "spec": object{
			"host": host, "prefix": "/" + service + "/", "kind": kind, "timeout_ms": callerDeadline.Milliseconds(),
			"service": service, "attempts": 2, "priority": version % 3,
		}}
	}
	service := func(name string) object {
		return object{"of_kind": "services", "meta": object{"name": name}, "spec": object{"health_path": "/health", "max_conns": 360}}
	}
	err := s.put("op/config", object{"version": fmt.Sprintf("%08x", version), "resources": []object{
		route("lookup", "idempotent"), route("filing", "non_idempotent"), service("lookup"), service("filing"),
		{"of_kind": "tenants", "meta": object{"name": customer}, "spec": object{"api_keys": []string{key}, "rate_per_s": 10000, "burst": 1000}},
	}})
	if err != nil {
		s.ledger.Break("the soak could not publish version %d: %v", version, err)
	}
}

// upstreamsEach is the number of upstreams of each service.
const upstreamsEach = 4

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
	zone := []string{"east-1", "east-2", "west-1"}[s.started%3]
	type object = map[string]any
	return s.put("servers/"+id, object{
		"addr": u.proxy.Address(), "born": time.Now().UnixMilli(),
		"info":   object{"service": service, "version": "1", "zone": zone, "slots": 8},
		"status": object{"state": "ready", "seq": 1, "cold_left_ms": 0},
	})
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
	return s.remove("servers/" + id)
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
