package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	standin "samphireferry.example/ferry/standin/platform"
)

// The settings of the small deployment that the cases start.
const (
	grace        = 6 * time.Second
	memory       = 284 << 20
	startTimeout = 20 * time.Second
)

// domains maps the failure domains of the deployment to their regions.
var domains = []struct{ name, region string }{
	{"east-a", "east"}, {"west-a", "west"}, {"east-b", "east"}, {"west-b", "west"},
}

// store is the stand-in of the platform's store, served on a loopback address.
type store struct {
	*standin.Platform
	address string
	server  *http.Server
}

// newStore starts a store whose handler is wrapped by wrap, unless that is nil.
func newStore(wrap func(http.Handler) http.Handler) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Platform: standin.New(standin.Options{}), address: listener.Addr().String()}
	handler := s.Handler()
	if wrap != nil {
		handler = wrap(handler)
	}
	s.server = &http.Server{Handler: handler, ConnContext: withConn}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value whatever the key holds.
func (s *store) put(key string, value []byte) error {
	ctx := context.Background()
	entry, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.CompareAndSwap(ctx, key, value, entry.Revision, 0)
	return err
}

// storeRecord is what the operator or an upstream writes to the store.
type storeRecord interface {
	Key() string
	Value() ([]byte, error)
}

func (s *store) putRecord(r storeRecord) error {
	value, err := r.Value()
	if err != nil {
		return err
	}
	return s.put(r.Key(), value)
}

// remove deletes a key.
func (s *store) remove(key string) error {
	ctx := context.Background()
	entry, err := s.Get(ctx, key)
	if err != nil {
		return err
	}
	return s.Delete(ctx, key, entry.Revision)
}

type connKey struct{}

// withConn makes the connection of a request known to its handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// instance is one process of the entry instance's program.
type instance struct {
	name, address, ready, metrics string
	config, program               string
	// log receives what the process writes.
	log io.Writer

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	exits   []string
}

// newInstance writes the settings of the instance like the deploy template does.
func newInstance(dir, program string, n int, storeAddress string) (*instance, error) {
	domain := domains[n%len(domains)]
	i := &instance{name: fmt.Sprintf("edge-%s-%d", domain.name, n), program: program}
	addresses := map[string]string{}
	for _, setting := range []string{"listen", "directory-listen", "ready-listen", "rpc-listen", "metrics-listen"} {
		address, err := freeport.Next()
		if err != nil {
			return nil, err
		}
		addresses[setting] = address
	}
	i.address, i.ready, i.metrics = addresses["listen"], addresses["ready-listen"], addresses["metrics-listen"]
	var list []string
	for _, d := range domains {
		list = append(list, d.name+"="+d.region)
	}
	settings := map[string]any{
		"name": i.name, "region": domain.region, "failure-domain": domain.name, "domain": list,
		"platform": "http://" + storeAddress, "max-connections": 4100, "memory": fmt.Sprintf("%dMiB", memory>>20),
		"grace": grace.String(), "retry-ratio": 0.2, "retry-slack": 60, "rate-window": "5s", "rate-excess": 0.1,
		"rate-slack": 20, "config-bound": "2000ms", "canary-share": 0.1, "canary-slack": 50,
	}
	for setting, address := range addresses {
		settings[setting] = address
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	i.config = filepath.Join(dir, i.name+".json")
	if err := os.WriteFile(i.config, text, 0o600); err != nil {
		return nil, err
	}
	i.log, err = os.Create(filepath.Join(dir, i.name+".log"))
	return i, err
}

func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	command := exec.Command(i.program, "-config", i.config)
	command.Stdout, command.Stderr = i.log, i.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.command, i.done = command, done
	go func() {
		_ = command.Wait()
		i.mu.Lock()
		i.exits = append(i.exits, command.ProcessState.String())
		i.mu.Unlock()
		close(done)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// stop ends the process and waits for it.
func (i *instance) stop(s syscall.Signal) {
	if i.done == nil {
		return
	}
	i.signal(s)
	select {
	case <-i.done:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-i.done
	}
}

// running reports whether the process has not ended.
func (i *instance) running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

func (i *instance) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + i.ready + headers.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return errors.Newf("%s is not ready after %v", i.name, startTimeout)
}

// system is a small deployment.
type system struct {
	store     *store
	upstreams []*upstream
	instances []*instance
}

// startSystem starts the store, four upstreams of each service and the instances, and waits until they
// are ready. The system has to be closed, also after an error.
func startSystem(r *run, instances int, wrap func(http.Handler) http.Handler) (*system, error) {
	return startSystemWith(r, instances, wrap, nil)
}

// startSystemWith is startSystem with a log for all instances, unless that is nil.
func startSystemWith(r *run, instances int, wrap func(http.Handler) http.Handler, log io.Writer) (*system, error) {
	s := &system{}
	var err error
	s.store, err = newStore(wrap)
	if err != nil {
		return s, err
	}
	if err := s.store.putRecord(configuration(1)); err != nil {
		return s, err
	}
	for n := range 8 {
		u, err := newUpstream(r.record, fmt.Sprintf("i-%d", n), []string{file, read}[n%2], domains[n/2%len(domains)].name)
		if err != nil {
			return s, err
		}
		s.upstreams = append(s.upstreams, u)
		if err := s.store.putRecord(u.Upstream); err != nil {
			return s, err
		}
	}
	for n := range instances {
		i, err := newInstance(r.dir, r.program, n, s.store.address)
		if err != nil {
			return s, err
		}
		if log != nil {
			i.log = log
		}
		if err := i.start(); err != nil {
			return s, err
		}
		s.instances = append(s.instances, i)
	}
	for _, i := range s.instances {
		if err := i.awaitReady(); err != nil {
			return s, err
		}
	}
	r.record.note("%d instances are ready", len(s.instances))
	return s, nil
}

func (s *system) addresses() []string {
	var all []string
	for _, i := range s.instances {
		all = append(all, i.address)
	}
	return all
}

// checkRunning returns an error if an instance has ended.
func (s *system) checkRunning() error {
	for _, i := range s.instances {
		if !i.running() {
			return errors.Newf("%s has ended", i.name)
		}
	}
	return nil
}

// close ends all processes and servers.
func (s *system) close() {
	for _, i := range s.instances {
		i.stop(syscall.SIGKILL)
	}
	for _, u := range s.upstreams {
		_ = u.server.Close()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
}
