// Package memorytest sends the programs, as processes, what clients that are not controlled may send, and
// checks that each process lives, stays within the memory and the descriptors of its machine, and serves
// an ordinary request afterwards.
//
// The limits of the processes and the crowds are fixed. The tests run one at a time, apart from other load.
package memorytest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/internal/freeport"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	standinplatform "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

const (
	// machineMemory is the memory of the machine in bytes. The peak of the resident memory must stay within it.
	machineMemory = 64 << 20
	// crowdClients is how many clients a crowd has at a time.
	crowdClients = 900
	// maxConnections is the limit of connections of the processes.
	maxConnections = 1000
	// maxDescriptors bounds the open descriptors: those of the connections and 100 for the process.
	maxDescriptors = maxConnections + 100
	// headerBytes is the limit of a head.
	headerBytes = 32 << 10
	// crowdTime is how long the clients of a crowd go on. It is no bound on the process.
	crowdTime = 4 * time.Second
	// waitTimeout and callTimeout bound waits of the tests. They are no guarantees of the system.
	waitTimeout = 90 * time.Second
	callTimeout = 15 * time.Second
	// key is the key of the only customer.
	key = "memory-test-key"
	// longBody is the length of the response to a request whose path begins with /read/long.
	longBody = 200_000
)

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ferry-memorytest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/ferry-edge", "../cmd/ferry-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// instance is an entry instance with its listeners.
type instance struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
	// callers, directory, ready, metrics and rpc are the addresses of the listeners. ferry-entry has its
	// operator's listener as metrics, and no directory and ready.
	callers, directory, ready, metrics, rpc string
}

// start starts a program. It is killed at the end of the test.
func (i *instance) start(t *testing.T, program string, args ...string) {
	t.Helper()
	output := &bytes.Buffer{}
	i.cmd, i.ended = exec.Command(filepath.Join(binaries, program), args...), make(chan struct{})
	i.cmd.Stdout, i.cmd.Stderr = output, output
	assert.NilError(t, i.cmd.Start())
	go func() {
		i.err = i.cmd.Wait()
		close(i.ended)
	}()
	t.Cleanup(func() {
		_ = i.cmd.Process.Kill()
		<-i.ended
		if t.Failed() {
			text := output.String()
			t.Logf("%s: %s", program, text[max(0, len(text)-2000):])
		}
	})
	i.waitServing(t)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Next()
	assert.NilError(t, err)
	return address
}

// newUpstream starts an upstream that responds at once, but to requests whose path begins with /read/slow
// only once their caller has gone.
func newUpstream(t *testing.T) string {
	t.Helper()
	long := strings.Repeat("r", longBody)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headers.AttemptID, r.Header.Get(headers.AttemptID))
		switch {
		case strings.HasPrefix(r.URL.Path, "/read/slow"):
			<-r.Context().Done()
		case strings.HasPrefix(r.URL.Path, "/read/long"):
			_, _ = io.WriteString(w, long)
		}
	}))
	t.Cleanup(func() {
		upstream.CloseClientConnections()
		upstream.Close()
	})
	return upstream.Listener.Addr().String()
}

// newStore starts a stand-in of the platform and returns its URL.
func newStore(t *testing.T) (*standinplatform.Platform, string) {
	t.Helper()
	store := standinplatform.New(standinplatform.Options{Seed: 1})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return store, server.URL
}

// startEdge starts a ferry-edge with the limits of the tests and waits until it serves. Settings in args replace
// those.
func startEdge(t *testing.T, args ...string) *instance {
	t.Helper()
	store, url := newStore(t)
	const rate = 100_000
	for _, r := range []interface {
		Key() string
		Value() ([]byte, error)
	}{
		records.Upstream{ID: "u-1", Address: newUpstream(t), Service: "lookup", Version: "v1", FailureDomain: "east-1", Slots: 2 * crowdClients},
		records.Configuration{
			Version:   1,
			Routes:    []records.Route{{Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup", Timeout: 10 * time.Second, Attempts: 2}},
			Services:  []string{"lookup"},
			Customers: []records.Customer{{Name: "a", Keys: []string{key}, Rate: rate, Burst: rate}},
		},
	} {
		value, err := r.Value()
		assert.NilError(t, err)
		_, err = store.CompareAndSwap(t.Context(), r.Key(), value, platform.Revision(0), 0)
		assert.NilError(t, err)
	}
	i := &instance{callers: freeAddress(t), directory: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t), rpc: freeAddress(t)}
	i.start(t, "ferry-edge", append([]string{"-name", "edge-1", "-region", "east", "-failure-domain", "east-1", "-domain", "east-1=east",
		"-listen", i.callers, "-directory-listen", i.directory, "-ready-listen", i.ready, "-metrics-listen", i.metrics, "-rpc-listen", i.rpc,
		"-platform", url, "-memory", fmt.Sprintf("%dMiB", machineMemory>>20), "-max-header", fmt.Sprintf("%dKiB", headerBytes>>10),
		"-max-connections", strconv.Itoa(maxConnections)}, args...)...)
	return i
}

// waitServing waits until one ordinary request is served.
func (i *instance) waitServing(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		request, err := http.NewRequest(http.MethodGet, "http://"+i.callers+"/read/7", nil)
		assert.NilError(t, err)
		request.Host = "a.example"
		request.Header.Set(headers.AttemptID, "ordinary")
		request.Header.Set("Authorization", "Bearer "+key)
		client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// peakMemory returns the largest resident memory of the process so far in bytes.
func (i *instance) peakMemory(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(i.cmd.Process.Pid), "status"))
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(text), "VmHWM:")
	assert.Assert(t, found, "%s", text)
	kib, err := strconv.Atoi(strings.Fields(after)[0])
	assert.NilError(t, err)
	return kib << 10
}

func (i *instance) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(i.cmd.Process.Pid), "fd"))
	assert.NilError(t, err)
	return len(entries)
}

// crowd is a number of clients that are not controlled.
type crowd struct {
	address string
	// text returns what a client sends on a connection.
	text func(client int) string
	// deaf is set when the clients never read.
	deaf bool
}

// attack keeps a connection for a client, and opens another one when it is closed, until the end.
func (c *crowd) attack(client int, end time.Time) {
	text := c.text(client)
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		// The instance may close the connection at any time.
		_, err = io.WriteString(conn, text)
		if c.deaf && err == nil {
			time.Sleep(time.Until(end))
		}
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

// withstands lets the crowd attack the instance and checks what must hold.
func (i *instance) withstands(t *testing.T, c *crowd) {
	t.Helper()
	before := i.peakMemory(t)
	end := time.Now().Add(crowdTime)
	var running sync.WaitGroup
	for client := range crowdClients {
		running.Go(func() { c.attack(client, end) })
	}
	descriptors := 0
	for time.Now().Before(end) {
		select {
		case <-i.ended:
			t.Fatalf("the process ended: %v", i.err)
		default:
		}
		descriptors = max(descriptors, i.descriptors(t))
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	i.waitServing(t)
	peak := i.peakMemory(t)
	t.Logf("peak %d MiB (%d before), %d descriptors", peak>>20, before>>20, descriptors)
	assert.Assert(t, peak <= machineMemory, "the process held %d MiB, its machine has %d", peak>>20, machineMemory>>20)
	assert.Assert(t, descriptors <= maxDescriptors, "%d open descriptors", descriptors)
}
