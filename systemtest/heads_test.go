package systemtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/headers"
	standinplatform "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

// The limits of the process and the set of clients are fixed: they were chosen before the bounds of
// heads were built.
const (
	// headsMemory is the memory of the machine in bytes. The peak of the resident memory must stay
	// within it.
	headsMemory = 80 << 20
	// headsDescriptors bounds the open descriptors: those of the clients and 60 for the process.
	headsDescriptors = manyLineClients + endlessClients + largeClients + emptyLineClients + 60
	// headerBytes is the limit of a head.
	headerBytes = 32 << 10
	// manyLineClients send a head of legal size made of short lines, and no body; every second one
	// presents a valid key.
	manyLineClients = 300
	// endlessClients send a head without end, largeClients a head over the limit, and
	// emptyLineClients empty lines without end.
	endlessClients   = 40
	largeClients     = 40
	emptyLineClients = 20
	// endlessBytes is what a client without end sends at most.
	endlessBytes = 1 << 20
	// openTime is how long a client keeps its connection open after it has sent all. It is no bound
	// on the process.
	openTime = 2 * time.Second
)

// edgeProcess is one ferry-edge with the stand-in of the platform and one upstream.
type edgeProcess struct {
	*process
	address string
}

// startEdge starts a ferry-edge with the limits of the test and waits until it serves.
func startEdge(t *testing.T) *edgeProcess {
	t.Helper()
	store := standinplatform.New(standinplatform.Options{Seed: 1})
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.AttemptID, r.Header.Get(headers.AttemptID))
	}))
	t.Cleanup(upstream.Close)
	for _, r := range []interface {
		Key() string
		Value() ([]byte, error)
	}{
		records.Upstream{ID: "u-1", Address: upstream.Listener.Addr().String(), Service: "lookup", Version: "v1", FailureDomain: "east-1", Slots: 9},
		records.Configuration{
			Version:   1,
			Routes:    []records.Route{{Name: "read", Host: "a.example", Prefix: "/read/", Service: "lookup", Timeout: 10 * time.Second, Attempts: 2}},
			Services:  []string{"lookup"},
			Customers: []records.Customer{{Name: "a", Keys: []string{testKey}, Rate: 1000, Burst: 1000}},
		},
	} {
		value, err := r.Value()
		assert.NilError(t, err)
		_, err = store.CompareAndSwap(t.Context(), r.Key(), value, platform.Revision(0), 0)
		assert.NilError(t, err)
	}
	e := &edgeProcess{address: freeAddress(t)}
	e.process = start(t, "ferry-edge", "-name", "edge-1", "-region", "east", "-failure-domain", "east-1", "-domain", "east-1=east",
		"-listen", e.address, "-directory-listen", freeAddress(t), "-ready-listen", freeAddress(t), "-rpc-listen", freeAddress(t),
		"-platform", storeServer.URL, "-memory", fmt.Sprintf("%dMiB", headsMemory>>20), "-max-header", fmt.Sprintf("%dKiB", headerBytes>>10),
		"-max-connections", "1000", "-header-timeout", "5s", "-idle-timeout", "5s")
	e.waitServing(t)
	return e
}

// waitServing waits until one ordinary request is served.
func (e *edgeProcess) waitServing(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		request, err := http.NewRequest(http.MethodGet, "http://"+e.address+"/read/7", nil)
		assert.NilError(t, err)
		request.Host = "a.example"
		request.Header.Set(headers.AttemptID, "ordinary")
		request.Header.Set("Authorization", "Bearer "+testKey)
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
func (e *edgeProcess) peakMemory(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(e.cmd.Process.Pid), "status"))
	assert.NilError(t, err)
	_, after, found := strings.Cut(string(text), "VmHWM:")
	assert.Assert(t, found, "%s", text)
	kib, err := strconv.Atoi(strings.Fields(after)[0])
	assert.NilError(t, err)
	return kib << 10
}

func (e *edgeProcess) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(e.cmd.Process.Pid), "fd"))
	assert.NilError(t, err)
	return len(entries)
}

// manyLinesHead returns a head of legal size made of short lines with distinct names, and a length.
func manyLinesHead(client int) string {
	var head strings.Builder
	head.WriteString("POST /read/7 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n")
	if client%2 == 0 {
		head.WriteString("Authorization: Bearer " + testKey + "\r\n")
	}
	for line := 0; head.Len() < headerBytes-20; line++ {
		fmt.Fprintf(&head, "%x:\r\n", line)
	}
	head.WriteString("\r\n")
	return head.String()
}

// headClients returns what each of the clients sends.
func headClients() []string {
	const start = "GET /read/7 HTTP/1.1\r\nHost: a.example\r\n"
	var texts []string
	for client := range manyLineClients {
		texts = append(texts, manyLinesHead(client))
	}
	for range endlessClients {
		texts = append(texts, start+strings.Repeat("a:\r\n", endlessBytes/4))
	}
	for range largeClients {
		texts = append(texts, start+"a: "+strings.Repeat("b", 2*headerBytes)+"\r\n\r\n")
	}
	for range emptyLineClients {
		texts = append(texts, strings.Repeat("\r\n", endlessBytes/2))
	}
	return texts
}

// Guards against a process that runs out of the memory of its machine since clients send heads of
// many short lines with bodies that never arrive, heads without end and empty lines without end.
func TestHeadsOfUncontrolledClientsStayWithinTheMemory(t *testing.T) {
	e := startEdge(t)
	before := e.peakMemory(t)
	texts := headClients()
	var sending sync.WaitGroup
	for _, text := range texts {
		conn, err := net.Dial("tcp", e.address)
		assert.NilError(t, err)
		defer conn.Close()
		sending.Go(func() {
			// The instance may close the connection at any time.
			_, _ = io.WriteString(conn, text)
			// Leaves the instance time to read what was sent.
			_ = conn.SetReadDeadline(time.Now().Add(openTime))
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	e.waitServing(t)
	descriptors := e.descriptors(t)
	sending.Wait()
	descriptors = max(descriptors, e.descriptors(t))
	peak := e.peakMemory(t)
	t.Logf("%d clients: peak %d MiB (%d before), %d descriptors", len(texts), peak>>20, before>>20, descriptors)
	select {
	case <-e.ended:
		t.Fatalf("the process ended: %v", e.err)
	default:
	}
	assert.Assert(t, peak <= headsMemory, "the process held %d MiB, its machine has %d", peak>>20, headsMemory>>20)
	assert.Assert(t, descriptors <= headsDescriptors, "%d open descriptors", descriptors)
	e.waitServing(t)
}
