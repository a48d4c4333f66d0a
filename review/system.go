package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

// domains lists the failure domains of the small deployment with their regions.
var domains = [][2]string{
	{"gulf-a", "gulf"}, {"piedmont-a", "piedmont"}, {"delta-a", "delta"},
	{"gulf-b", "gulf"}, {"piedmont-b", "piedmont"}, {"delta-b", "delta"},
}

const (
	storeTimeout = 2 * time.Second
	// startTimeout bounds the wait until an instance is ready.
	startTimeout = 15 * time.Second
)

// system is a small deployment on loopback addresses.
type system struct {
	record  *record
	program string
	dir     string

	store     *standin.Platform
	storeHTTP *httptest.Server

	edges     []*edge
	upstreams map[string]*upstream
}

// newSystem starts the stand-in of the platform.
func newSystem(r *record, program string) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, program: program, dir: dir, store: standin.New(standin.Options{Seed: 1}), upstreams: map[string]*upstream{}}
	s.storeHTTP = httptest.NewServer(s.store.Handler())
	return s, nil
}

type storeRecord interface {
	Key() string
	Value() ([]byte, error)
}

// put writes a record of the operator or of an upstream.
func (s *system) put(r storeRecord) error {
	value, err := r.Value()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	old, err := s.store.Get(ctx, r.Key())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, r.Key(), value, old.Revision, 0)
	return err
}

// edge is one entry instance.
type edge struct {
	Name, Listen, Ready string
	config              string
	log                 *os.File
	program             string
	command             *exec.Cmd
	exited              chan struct{}
}

// addEdges prepares n instances; it does not start them.
func (s *system) addEdges(n int) error {
	for i := range n {
		domain := domains[i%len(domains)]
		e := &edge{Name: fmt.Sprintf("edge-%s-%d", domain[0], i/len(domains)+1), program: s.program}
		var addresses [5]string
		for k := range addresses {
			address, err := freeport.Next()
			if err != nil {
				return err
			}
			addresses[k] = address
		}
		e.Listen, e.Ready = addresses[0], addresses[2]
		var regions []string
		for _, d := range domains {
			regions = append(regions, d[0]+"="+d[1])
		}
		// The keys and the bounds of deploy/entry.json, as on a small deployment.
		settings, err := json.MarshalIndent(map[string]any{
			"name": e.Name, "region": domain[1], "failure-domain": domain[0], "domain": regions,
			"listen": addresses[0], "directory-listen": addresses[1], "ready-listen": addresses[2],
			"rpc-listen": addresses[3], "metrics-listen": addresses[4],
			"platform": s.storeHTTP.URL, "max-connections": 4100, "memory": "284MiB", "grace": "6s",
			"retry-ratio": 0.2, "retry-slack": 60, "rate-window": "5s", "rate-excess": 0.1, "rate-slack": 20,
			"config-bound": "2000ms", "canary-share": 0.1,
		}, "", "  ")
		if err != nil {
			return err
		}
		e.config = filepath.Join(s.dir, e.Name+".json")
		if err := os.WriteFile(e.config, settings, 0o600); err != nil {
			return err
		}
		e.log, err = os.Create(filepath.Join(s.dir, e.Name+".log"))
		if err != nil {
			return err
		}
		s.edges = append(s.edges, e)
	}
	return nil
}

// start starts the process of the instance.
func (e *edge) start() error {
	e.command = exec.Command(e.program, "-config", e.config)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		// The exit code is of no interest: most processes are killed.
		_ = c.Wait()
		close(exited)
	}(e.command, e.exited)
	return nil
}

// kill ends the process by SIGKILL.
func (e *edge) kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Signal(syscall.SIGKILL)
	<-e.exited
	e.command = nil
}

// awaitReady waits until the instance answers the readiness check with 200.
func (e *edge) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + e.Ready + headers.PathReady)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Newf("%s is not ready", e.Name)
}

// startAll starts all instances at once.
func (s *system) startAll() error {
	for _, e := range s.edges {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitAll waits until all instances are ready.
func (s *system) awaitAll() error {
	for _, e := range s.edges {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *system) close() {
	for _, e := range s.edges {
		e.kill()
		_ = e.log.Close()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// configuration returns the configuration of the small deployment: one idempotent and one
// at-most-once route, and one customer.
func configuration(version uint64, timeout time.Duration, rate float64) records.Configuration {
	return records.Configuration{
		Version: version,
		Routes: []records.Route{
			{Name: "r-lookup", Host: host, Prefix: "/lookup/", Service: "desk", Timeout: timeout, Attempts: 2},
			{Name: "r-post", Host: host, Prefix: "/post/", Service: "ledger", Timeout: timeout, Attempts: 2, AtMostOnce: true},
		},
		Services:  []string{"desk", "ledger"},
		Customers: []records.Customer{{Name: customer, Keys: []string{apiKey}, Rate: rate, Burst: int(rate)}},
	}
}

const (
	host     = "desk.example"
	customer = "acme"
	apiKey   = "9anu6wsjnbanfqasnmgk"
)

// requestHead returns the first lines of a request with the fields that every caller sends.
func requestHead(method, path, id string, deadline time.Duration, extra ...string) string {
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + host,
		headers.AttemptID + ": " + id,
		fmt.Sprintf("%s: %d", headers.DeadlineMillis, deadline.Milliseconds()),
		"Authorization: Bearer " + apiKey,
	}
	return strings.Join(append(lines, extra...), "\r\n") + "\r\n\r\n"
}
