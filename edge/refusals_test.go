package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// repeatingUpstream is an upstream that refuses its first request, and responds to each later
// one with that refusal once more.
type repeatingUpstream struct {
	listener net.Listener
	running  sync.WaitGroup

	mu      sync.Mutex
	refusal string
	// arrived holds the ids of the requests.
	arrived []string
	// connections counts the connections that carried a request.
	connections int
}

func newRepeatingUpstream(t *testing.T) *repeatingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &repeatingUpstream{listener: listener}
	u.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			u.running.Go(func() { u.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		u.running.Wait()
	})
	return u
}

func (u *repeatingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, u.record(r.Header.Get(headers.AttemptID), first))
	}
}

// record notes the request and returns the refusal of the first one.
func (u *repeatingUpstream) record(id string, newConnection bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrived = append(u.arrived, id)
	if newConnection {
		u.connections++
	}
	if u.refusal == "" {
		u.refusal = "HTTP/1.1 503 Full\r\n" + headers.AttemptID + ": " + id + "\r\n" + headers.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	return u.refusal
}

// state returns the ids of the requests and the number of connections that carried one.
func (u *repeatingUpstream) state() (arrived []string, connections int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived, u.connections
}

// register writes the entry of the upstream under the id.
func (u *repeatingUpstream) register(s *system, id string) {
	s.write(records.Upstream{
		ID: id, Address: u.listener.Addr().String(), Service: "lookup", Version: "v1", FailureDomain: "east-1", Slots: 4,
	})
}

// TestARequestReturnsToNoUpstreamThatRefusedIt pins down that an earlier refusal of the same
// request, with its id, never arrives where a second one is due: within one client attempt no
// upstream gets the request twice, and the address under another id gets it on a connection
// of its own (REFUSED, TWICE).
func TestARequestReturnsToNoUpstreamThatRefusedIt(t *testing.T) {
	for name, ids := range map[string][]string{"one upstream": {"i-1"}, "address used again": {"i-1", "i-2"}} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			u := newRepeatingUpstream(t)
			for _, id := range ids {
				u.register(s, id)
			}
			i := s.start("e1")
			defer i.stop()
			i.waitReady(len(ids))
			got := i.send(http.MethodPost, "/file/7", "k1")
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			arrived, connections := u.state()
			assert.Equal(t, len(arrived), len(ids))
			assert.Equal(t, connections, len(ids), "each on a connection of its own")
		})
	}
}

// TestARefusalOfTheRequestBeforeIsPassedOnAsUnknown pins down that a client is not told "not
// run" by the refusal of another request, and that no second upstream gets its request: the
// id in the refusal is that of the other one (REFUSED, TWICE).
func TestARefusalOfTheRequestBeforeIsPassedOnAsUnknown(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	u, healthy := newRepeatingUpstream(t), newFakeUpstream(t, "i-2")
	u.register(s, "i-1")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	assert.Equal(t, i.file("attempt-1"), http.StatusServiceUnavailable)
	s.register(healthy, "v1", "ready")
	i.waitReady(2)
	status, sent := 0, 1
	eventually(t, "the upstream gets requests again after its refusal", func() bool {
		sent++
		status = i.file(fmt.Sprintf("attempt-%d", sent))
		arrived, _ := u.state()
		return len(arrived) == 2
	})
	assert.Equal(t, status, http.StatusBadGateway)
	for _, r := range healthy.requests() {
		assert.Assert(t, r.Header.Get(headers.AttemptID) != fmt.Sprintf("attempt-%d", sent))
	}
}

// file makes one at-most-once request with the id and returns the status of the response.
func (i *instance) file(id string) int {
	i.t.Helper()
	status, err := i.tryFile(id)
	assert.NilError(i.t, err)
	return status
}

// tryFile is like file, for a request that may get no response.
func (i *instance) tryFile(id string) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+i.deps.settings.Listen+"/file/7", nil)
	if err != nil {
		return 0, err
	}
	r.Host = "a.example"
	r.Header.Set(headers.AttemptID, id)
	r.Header.Set(headers.ObjectKey, id)
	r.Header.Set("Authorization", "Bearer k1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.CombineErrors(err, response.Body.Close())
}
