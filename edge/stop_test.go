package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/internal/smallwindow"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/shutdown"
	standin "samphireferry.example/ferry/standin/platform"
	"samphireferry.example/ferry/standin/records"
)

// configureStop publishes the at-most-once route /file/ with the timeout.
func (s *system) configureStop(timeout time.Duration) {
	s.write(records.Configuration{
		Version:   1,
		Routes:    []records.Route{{Name: "file", Host: "a.example", Prefix: "/file/", Service: "lookup", Timeout: timeout, Attempts: 2, AtMostOnce: true}},
		Services:  []string{"lookup"},
		Customers: []records.Customer{{Name: "acme", Keys: []string{"k1"}, Rate: 100, Burst: 100}},
	})
}

// startAdmitting starts an instance with one upstream and returns once it serves requests.
func (s *system) startAdmitting(b *fakeUpstream) *instance {
	s.t.Helper()
	s.register(b, "v1", "ready")
	i := s.start("e1")
	i.waitReady(1)
	untilAdmitted(func() (clientResponse, int) {
		got := i.send(http.MethodPost, "/file/7", "k1")
		return got, got.status
	})
	return i
}

// Guards against at-most-once requests that come late in the grace period, are passed on, and are
// cut without a response at its end (LOST).
func TestStopCutsNoRequestThatCameInTheGracePeriod(t *testing.T) {
	const (
		work     = 1800 * time.Millisecond
		requests = 8
	)
	s := newSystem(t)
	s.configureStop(2 * time.Second)
	b := newFakeUpstream(t, "i-1")
	i := s.startAdmitting(b)
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		fmt.Fprint(w, "filed")
	})
	b.handler.Store(&slow)
	var callers sync.WaitGroup
	type outcome struct {
		status int
		err    error
	}
	outcomes := make([]outcome, requests)
	stopped := make(chan struct{})
	go func() {
		i.stop()
		close(stopped)
	}()
	for n := range requests {
		callers.Go(func() { outcomes[n].status, outcomes[n].err = i.tryFile(fmt.Sprint("late-", n)) })
		time.Sleep(150 * time.Millisecond)
	}
	callers.Wait()
	<-stopped
	for n, got := range outcomes {
		passedOn := slices.ContainsFunc(b.requests(), func(r *http.Request) bool {
			return r.Header.Get(headers.AttemptID) == fmt.Sprint("late-", n)
		})
		answered := got.err == nil && got.status != http.StatusServiceUnavailable
		assert.Equal(t, passedOn, answered, "request %d: status %d, %v", n, got.status, got.err)
	}
}

// Guards against refusals during a stop of requests that can end in it, and against requests that
// cannot and are taken (LOST).
func TestARequestIsTakenDuringAStopOnlyIfItCanEnd(t *testing.T) {
	s := newSystem(t)
	s.configureStop(2 * time.Second)
	b := newFakeUpstream(t, "i-1")
	i := s.startAdmitting(b)
	defer i.stop()
	before := len(b.requests())
	i.deps.stopping.begin(shutdown.NewPlan(time.Now(), time.Hour))
	got := i.send(http.MethodPost, "/file/7", "k1")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, len(b.requests()), before+1)
	i.deps.stopping.begin(shutdown.NewPlan(time.Now().Add(-time.Hour), time.Hour))
	got = i.send(http.MethodPost, "/file/7", "k1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, errkind.Leaving.Row().Title+"\n")
	assert.Equal(t, len(b.requests()), before+1, "a refused request was sent")
}

// Guards against a request that is cut without a response because it still runs at the end of the
// grace period (LOST).
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	s := newSystem(t)
	s.configureStop(time.Minute)
	b := newFakeUpstream(t, "i-1")
	i := s.startAdmitting(b)
	before := len(b.requests())
	closed := make(chan string, 1)
	b.handler.Store(untilClosed(closed))
	response := make(chan clientResponse, 1)
	go func() { response <- i.send(http.MethodPost, "/file/7", "k1") }()
	eventually(t, "the request is at the upstream", func() bool { return len(b.requests()) == before+1 })
	i.stop()
	got := <-response
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout, "the request may have run")
	<-closed
}

// waitListenerClosed waits until the instance accepts no connections.
func (i *instance) waitListenerClosed() {
	i.t.Helper()
	eventually(i.t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", i.deps.settings.Listen)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
}

// Guards against a stop that takes requests for longer because the store does not respond.
func TestASilentStoreDoesNotDelayTheStop(t *testing.T) {
	s := newSystem(t)
	s.configureStop(time.Minute)
	core, logs := observer.New(zap.WarnLevel)
	b := newFakeUpstream(t, "i-1")
	s.register(b, "v1", "ready")
	i := s.startLogging("e1", zap.New(core))
	i.waitReady(1)
	eventually(t, "the instance is registered", func() bool {
		_, err := s.store.Get(t.Context(), "ferry/instances/e1")
		return err == nil
	})
	release := make(chan struct{})
	b.handler.Store(succeedAfter(release))
	running := make(chan clientResponse, 1)
	go func() {
		running <- untilAdmitted(func() (clientResponse, int) {
			got := i.send(http.MethodPost, "/file/7", "k1")
			return got, got.status
		})
	}()
	eventually(t, "a request is at the upstream", func() bool { return len(b.requests()) == 1 })
	s.store.SetFaults(standin.Faults{Outage: standin.OutageHang})
	stopped := make(chan struct{})
	go func() {
		i.stop()
		close(stopped)
	}()
	i.waitListenerClosed()
	assert.Equal(t, logs.FilterMessage("entry of this instance was not removed").Len(), 0, "the stop has waited for the store")
	close(release)
	assert.Equal(t, (<-running).status, http.StatusOK)
	<-stopped
}

// Guards against a response that a caller gets in part, followed by a reset, because a stop closes its
// connection while bytes behind the request are unread and the response is on its way (LOST).
func TestStopDeliversResponsesToCallersThatSendAhead(t *testing.T) {
	const responseBytes = 60_000
	next := rawRequest(http.MethodGet, "/read/7", "second", "", "")
	for name, c := range map[string]struct {
		// behind is what the caller sends before its request is answered, after what it sends once the
		// connection has been closed.
		behind, after string
		// idle is set when the response has been written, and the connection is idle, before the stop begins.
		idle bool
	}{
		"a request behind":             {next, "", false},
		"a part of one behind":         {"GET /re", "", false},
		"a request after the close":    {"", next, false},
		"idle, one after the close":    {"", next, true},
		"idle, nothing but a response": {"", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.configurePatient()
			b := newFakeUpstream(t, "i-1")
			i := s.startAdmitting(b)
			body := strings.Repeat("r", responseBytes)
			release, arrived := make(chan struct{}), make(chan struct{}, 2)
			respond := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrived <- struct{}{}
				<-release
				fmt.Fprint(w, body)
			})
			b.handler.Store(&respond)
			conn, err := smallwindow.Dial(i.deps.settings.Listen)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, rawRequest(http.MethodGet, "/read/7", "first", "", ""))
			assert.NilError(t, err)
			<-arrived
			// These bytes stay in the socket, as the head of the first request has been read.
			_, err = io.WriteString(conn, c.behind)
			assert.NilError(t, err)
			stopped := make(chan struct{})
			stop := func() {
				go func() {
					i.stop()
					close(stopped)
				}()
			}
			if c.idle {
				close(release)
				eventually(t, "the connection is idle", func() bool { unused, _ := i.deps.callerConns.Count(); return unused == 1 })
				stop()
			} else {
				stop()
				i.waitListenerClosed()
				close(release)
			}
			eventually(t, "the instance has closed the connection", func() bool {
				unused, busy := i.deps.callerConns.Count()
				return unused+busy == 0
			})
			if c.after != "" {
				_, err = io.WriteString(conn, c.after)
				assert.NilError(t, err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err, "the response ends after %d bytes", len(got))
			assert.Equal(t, string(got), body)
			assert.NilError(t, conn.Close())
			<-stopped
		})
	}
}
