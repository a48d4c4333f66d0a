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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	standin "samphireferry.example/ferry/standin/platform"
)

// deployment is the file deployment.json of a case.
type deployment struct {
	// Stamp is the field with which upstreams sign their responses.
	Stamp string `json:"stamp"`
	// Domains lists the failure domains with their regions and numbers of entry instances.
	Domains []struct {
		Name      string `json:"name"`
		Region    string `json:"region"`
		Instances int    `json:"instances"`
	} `json:"domains"`
	// Settings are the settings that all entry instances have in common.
	Settings map[string]any `json:"settings"`
	// Operator is the first configuration, Upstream the entry of an upstream with @id@, @addr@,
	// @service@, @zone@, @slots@ and @born@.
	Operator json.RawMessage `json:"operator"`
	Upstream json.RawMessage `json:"upstream"`
}

// system is a small deployment on loopback addresses.
type system struct {
	*record
	deployment
	folder  string
	store   *standin.Platform
	server  *httptest.Server
	entries []*entry

	mu        sync.Mutex
	upstreams []*upstream
}

// newSystem starts the store with the first configuration. Entry instances and upstreams are started by
// the case.
func newSystem(dir, program, logs string, r *record) (*system, error) {
	s := &system{record: r, store: standin.New(standin.Options{Seed: 1})}
	data, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &s.deployment); err != nil {
		return nil, err
	}
	s.folder, err = os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s.server = httptest.NewServer(s.store.Handler())
	if err := s.write(records.KeyConfig, s.Operator); err != nil {
		return nil, err
	}
	for _, d := range s.Domains {
		for n := range d.Instances {
			e, err := s.newEntry(program, logs, fmt.Sprintf("edge-%s-%d", d.Name, n+1), d.Name, d.Region)
			if err != nil {
				return nil, err
			}
			s.entries = append(s.entries, e)
		}
	}
	return s, nil
}

// write writes a record of the operator or of an upstream.
func (s *system) write(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	old, err := s.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, key, value, old.Revision, 0)
	return err
}

// closing is set once no instance may be started any more.
var closing atomic.Bool

func (s *system) close() {
	closing.Store(true)
	for _, e := range s.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
	}
	for _, u := range s.upstreams {
		u.server.CloseClientConnections()
		u.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	_ = os.RemoveAll(s.folder)
}

// startAll starts all entry instances.
func (s *system) startAll() error {
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all entry instances accept connections.
func (s *system) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range s.entries {
		for {
			conn, err := net.DialTimeout("tcp", e.address, time.Second)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(end) {
				return errors.Newf("%s does not accept connections", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// entry is one entry instance.
type entry struct {
	name, domain, region string
	// address is where it serves callers.
	address string
	program string
	config  string
	// log receives the output of the process; nil drops it.
	log *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// newEntry writes the settings of an entry instance, in the form of deploy/entry.json.
func (s *system) newEntry(program, logs, name, domain, region string) (*entry, error) {
	settings := map[string]any{"name": name, "region": region, "failure-domain": domain, "platform": s.server.URL}
	for key, value := range s.Settings {
		settings[key] = value
	}
	var domains []string
	for _, d := range s.Domains {
		domains = append(domains, d.Name+"="+d.Region)
	}
	settings["domain"] = domains
	for _, key := range []string{"listen", "directory-listen", "ready-listen", "rpc-listen", "metrics-listen"} {
		address, err := freeport.Next()
		if err != nil {
			return nil, err
		}
		settings[key] = address
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, domain: domain, region: region, address: settings["listen"].(string), program: program, config: filepath.Join(s.folder, name+".json")}
	if logs != "" {
		e.log, err = os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			return nil, err
		}
	}
	return e, os.WriteFile(e.config, data, 0o600)
}

func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if closing.Load() {
		return errors.New("the case has ended")
	}
	e.command = exec.Command(e.program, "-config", e.config)
	if e.log != nil {
		e.command.Stdout, e.command.Stderr = e.log, e.log
	}
	if err := e.command.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		// The process ends by a signal.
		_ = command.Wait()
		close(done)
	}(e.command, e.done)
	return nil
}

// signal sends a signal to the process if it was started.
func (e *entry) signal(signal syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		_ = e.command.Process.Signal(signal)
	}
}

// wait waits until the process has ended.
func (e *entry) wait() {
	e.mu.Lock()
	done := e.done
	e.mu.Unlock()
	if done != nil {
		<-done
	}
}

// upstreamValue returns the entry of an upstream.
func (s *system) upstreamValue(u *upstream) []byte {
	return []byte(strings.NewReplacer(
		"@id@", u.id, "@addr@", u.address, "@service@", u.service, "@zone@", u.domain,
		`"@slots@"`, fmt.Sprint(u.slots), `"@born@"`, fmt.Sprint(u.born.UnixMilli()),
	).Replace(string(s.Upstream)))
}

// addUpstream starts an upstream and writes its entry.
func (s *system) addUpstream(id, service, domain string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{system: s, id: id, service: service, domain: domain, slots: slots, work: work, born: time.Now(), free: make(chan struct{}, slots), ended: map[string]bool{}}
	u.server = httptest.NewServer(http.HandlerFunc(u.serve))
	u.address = u.server.Listener.Addr().String()
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	return u, s.write(records.PrefixUpstreams+id, s.upstreamValue(u))
}
