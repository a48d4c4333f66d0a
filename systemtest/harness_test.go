// Package systemtest runs the real programs as separate processes and injects faults:
// it kills, freezes and stops them, silences connections, and makes the platform
// unavailable.
//
// Of the requests that its callers send, a read is an idempotent request, and a
// filing is an at-most-once request with an idempotency key.
package systemtest

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
	standinplatform "samphireferry.example/ferry/standin/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
)

// waitTimeout limits each wait of the tests. It is not a guarantee of the system.
const waitTimeout = 90 * time.Second

// testKey is the key of the customer "a".
const testKey = "system-test-key"

// binariesDir is the directory of the built programs.
var binariesDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ferry-systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binariesDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// process is one started program.
type process struct {
	cmd    *exec.Cmd
	output *bytes.Buffer
	ended  chan struct{}
	err    error
}

// start starts a program. It is killed at the end of the test.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binariesDir, program), args...), output: &bytes.Buffer{}, ended: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if strings.Contains(p.output.String(), "invariant violated") {
			t.Errorf("%s: %s", program, p.output)
		}
		if t.Failed() {
			t.Logf("%s %v:\n%s", program, args, tail(p.output.String()))
		}
	})
	return p
}

// tail returns the end of the text.
func tail(text string) string {
	const maxBytes = 2000
	return text[max(0, len(text)-maxBytes):]
}

func (p *process) signal(t *testing.T, signal os.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(signal))
}

// wait returns the result of the program once it has ended.
func (p *process) wait() error {
	<-p.ended
	return p.err
}

// entry is one entry instance with its addresses.
type entry struct {
	*process
	name, domain string
	// rpc is the address that peers use.
	address, rpc, operator string
	args                   []string
}

// system is a platform, upstreams in two failure domains, and entry instances.
type system struct {
	platform    *process
	platformURL string
	client      *platform.Client
	upstreams   map[string]*process
	addresses   map[string]string
	entries     []*entry
	set         dynamic.Set
	version     uint64
	// proxyAddress maps the listen address of an upstream, or the address at which an
	// entry instance listens for its peers, to the address that is advertised for it.
	proxyAddress func(t *testing.T, address string) string
}

var domains = []string{"east-1", "east-2"}

// startSystem starts a system whose processes are reached directly.
func startSystem(t *testing.T, entries int) *system {
	t.Helper()
	return startSystemWithProxies(t, entries, func(_ *testing.T, address string) string { return address })
}

// startSystemWithProxies starts a system and waits until every entry instance serves.
func startSystemWithProxies(t *testing.T, entries int, proxyAddress func(t *testing.T, address string) string) *system {
	t.Helper()
	s := &system{upstreams: map[string]*process{}, addresses: map[string]string{}, proxyAddress: proxyAddress}
	s.startPlatform(t)
	hash := routing.HashKey(testKey)
	s.set = dynamic.Set{
		Regions:        []dynamic.Region{{Name: "east"}},
		FailureDomains: []dynamic.FailureDomain{{Name: "east-1", Region: "east"}, {Name: "east-2", Region: "east"}},
		Customers:      []dynamic.Customer{{Name: "a", Rate: 300, Burst: 300}},
		Keys:           []dynamic.Key{{Name: "a-1", Customer: "a", SHA256: hex.EncodeToString(hash[:])}},
		Services:       []dynamic.Service{{Name: "lookup", EchoRequestID: true}, {Name: "ledger", EchoRequestID: true}},
		Versions:       []dynamic.Version{{Name: "v1", Service: "lookup"}, {Name: "v1", Service: "ledger"}},
		Routes: []dynamic.Route{
			{Name: "read", Service: "lookup", PathPrefix: "/read", Kind: dynamic.Idempotent},
			{Name: "file", Service: "ledger", PathPrefix: "/file", Kind: dynamic.AtMostOnce},
		},
	}
	for _, service := range []string{"lookup", "ledger"} {
		for n := range 4 {
			s.startUpstream(t, service, n)
		}
	}
	s.publish(t)
	for n := range entries {
		s.startEntry(t, n)
	}
	s.setInstances(t)
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
	return s
}

func (s *system) startPlatform(t *testing.T) {
	t.Helper()
	address := freeAddress(t)
	s.platform = start(t, "ferry-standin", "platform", "-listen", address)
	s.platformURL = "http://" + address
	client, err := platform.NewClient(platform.ClientOptions{URL: s.platformURL})
	assert.NilError(t, err)
	s.client = client
	waitListening(t, address)
}

func (s *system) startUpstream(t *testing.T, service string, n int) {
	t.Helper()
	name, address := fmt.Sprintf("%s-%d", service, n), freeAddress(t)
	s.upstreams[name] = start(t, "ferry-standin", "upstream", "-name", name, "-listen", address, "-slots", "9")
	s.addresses[name] = address
	s.set.Upstreams = append(s.set.Upstreams, dynamic.Upstream{
		Name: name, Service: service, Version: "v1", FailureDomain: domains[n%2], Address: s.proxyAddress(t, address), Slots: 9,
	})
	waitListening(t, address)
}

func (s *system) startEntry(t *testing.T, n int) {
	t.Helper()
	e := &entry{
		name: fmt.Sprintf("entry-%d", n), domain: domains[n%2],
		address: freeAddress(t), operator: freeAddress(t),
	}
	listen := freeAddress(t)
	e.rpc = s.proxyAddress(t, listen)
	e.args = []string{
		"-name", e.name, "-region", "east", "-failure-domain", e.domain,
		"-listen", e.address, "-rpc-listen", listen, "-rpc-advertise", e.rpc, "-operator-listen", e.operator,
		"-platform", s.platformURL, "-leave-delay", "500ms", "-log-level", "info",
	}
	for _, other := range s.entries {
		e.args = append(e.args, "-seeds", other.rpc)
	}
	e.process = start(t, "ferry-entry", e.args...)
	s.entries = append(s.entries, e)
}

// restart starts a new process with the settings of an entry instance that has ended.
func (e *entry) restart(t *testing.T) {
	t.Helper()
	e.process = start(t, "ferry-entry", e.args...)
}

// setInstances lists all entry instances as live on the platform.
func (s *system) setInstances(t *testing.T) {
	t.Helper()
	var rows []platform.Instance
	for _, e := range s.entries {
		rows = append(rows, platform.Instance{Name: e.name, Role: "entry", Address: e.address, RPCAddress: e.rpc,
			OperatorAddress: e.operator, FailureDomain: e.domain, State: platform.InstanceLive})
	}
	send(t, http.MethodPut, s.platformURL+"/standin/instances", map[string]any{"instances": rows})
}

// publish writes the objects to the store as the next configuration version.
func (s *system) publish(t *testing.T) {
	t.Helper()
	revision := platform.Revision(0)
	current, err := s.client.Get(t.Context(), platform.KeyConfig)
	if err == nil {
		revision = current.Revision
	}
	s.version++
	config := &dynamic.Config{Version: s.version, PublishID: fmt.Sprint("test-", s.version), Set: s.set}
	data, err := config.Encode()
	assert.NilError(t, err)
	_, err = s.client.CompareAndSwap(t.Context(), platform.KeyConfig, data, revision, 0)
	assert.NilError(t, err)
}

func (s *system) setFaults(t *testing.T, faults standinplatform.Faults) {
	t.Helper()
	send(t, http.MethodPut, s.platformURL+"/standin/faults", faults)
}

// ledger returns the requests that reached the upstream, or false when it does not
// respond.
func (s *system) ledger(name string) (standinupstream.Snapshot, bool) {
	var snapshot standinupstream.Snapshot
	response, err := http.Get("http://" + s.addresses[name] + "/standin/ledger")
	if err != nil {
		return snapshot, false
	}
	defer response.Body.Close()
	return snapshot, json.NewDecoder(response.Body).Decode(&snapshot) == nil
}

// executions returns, for each idempotency key, how often its request ran.
func (s *system) executions() map[string]int {
	total := map[string]int{}
	for name := range s.upstreams {
		snapshot, _ := s.ledger(name)
		for key, n := range snapshot.Executions {
			total[key] += n
		}
	}
	return total
}

// send sends the body as JSON and fails the test unless the request succeeds.
func send(t *testing.T, method, url string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	assert.Assert(t, response.StatusCode < 300, "%s %s: %d %s", method, url, response.StatusCode, text)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Next()
	assert.NilError(t, err)
	return address
}

// waitListening waits until the address accepts connections.
func waitListening(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return poll.Continue("%v", err)
		}
		conn.Close()
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// waitServing waits until the entry instance serves a read.
func waitServing(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		result := sendRead(t.Context(), address, "/read/ready")
		if result.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", address, result)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// callResult is the result of one request. A status of 0 means that no complete
// response came; the body is then the error.
type callResult struct {
	status  int
	outcome string
	body    string
}

func sendRead(ctx context.Context, address, path string) callResult {
	return call(ctx, http.MethodGet, "http://"+address+path, "")
}

func sendFiling(ctx context.Context, address, key string) callResult {
	return call(ctx, http.MethodPost, "http://"+address+"/file/1", key)
}

// callTimeout limits one request of a caller.
const callTimeout = 15 * time.Second

func call(ctx context.Context, method, url, idempotencyKey string) callResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return callResult{body: err.Error()}
	}
	if method == http.MethodPost {
		// Without GetBody the HTTP client does not resend the request on its own,
		// which would hide the response to the first attempt from the test.
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("vote")), 4
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{body: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{body: err.Error()}
	}
	return callResult{status: response.StatusCode, outcome: response.Header.Get("Ferry-Outcome"), body: string(body)}
}

// Signals that freeze, resume and gracefully stop a process.
var (
	freeze = syscall.SIGSTOP
	resume = syscall.SIGCONT
	stop   = syscall.SIGTERM
)
