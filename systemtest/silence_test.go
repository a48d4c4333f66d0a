package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// readDeadline is the time within which a caller needs a response. It equals the
	// timeout of the route.
	readDeadline = 10 * time.Second
	// readInterval is the time between two reads of one caller.
	readInterval = 40 * time.Millisecond
)

// readResults counts the results of reads.
type readResults struct {
	mu    sync.Mutex
	total int
	// refused counts the results after which a caller repeated its read.
	refused map[string]int
	// late are the last results of reads that were not served by their deadline.
	late []callResult
}

// sendReadsDuring runs the action while 6 callers send reads to all entry instances.
func (s *system) sendReadsDuring(t *testing.T, action func()) *readResults {
	t.Helper()
	r := &readResults{refused: map[string]int{}}
	done := make(chan struct{})
	var running sync.WaitGroup
	for worker := range 6 {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(readInterval):
					s.sendReadUntilServed(t, r, worker, i)
				}
			}
		})
	}
	action()
	close(done)
	running.Wait()
	return r
}

// sendReadUntilServed repeats a read at the next entry instance until it is served or
// its deadline has passed.
func (s *system) sendReadUntilServed(t *testing.T, r *readResults, worker, i int) {
	ctx, cancel := context.WithTimeout(t.Context(), readDeadline)
	defer cancel()
	path := fmt.Sprintf("/read/%d-%d", worker, i)
	for attempt := 0; ; attempt++ {
		a := sendRead(ctx, s.entries[(worker+i+attempt)%len(s.entries)].address, path)
		if r.record(a, attempt == 0, ctx.Err() != nil) {
			return
		}
		time.Sleep(readInterval)
	}
}

// record counts a result and reports whether the read has ended.
func (r *readResults) record(a callResult, first, late bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		r.total++
	}
	if a.status == http.StatusOK {
		return true
	}
	r.refused[fmt.Sprintf("%d %s", a.status, a.outcome)]++
	if late {
		r.late = append(r.late, a)
	}
	return late
}

// TestRequestsSurviveSilentConnections silences open connections, which never close.
// Reads must still be served by their deadline, and each filing must run or have an
// unknown outcome.
func TestRequestsSurviveSilentConnections(t *testing.T) {
	forwarders := map[string]*forwarder{}
	s := startSystemWithProxies(t, 4, func(t *testing.T, address string) string {
		f := startForwarder(t, address)
		forwarders[f.address()] = f
		return f.address()
	})
	var toUpstreams, toEntries []*forwarder
	for _, u := range s.set.Upstreams {
		toUpstreams = append(toUpstreams, forwarders[u.Address])
	}
	for _, e := range s.entries {
		toEntries = append(toEntries, forwarders[e.rpc])
	}
	for _, c := range []struct {
		name       string
		forwarders []*forwarder
	}{
		{"to upstreams", toUpstreams},
		{"between entry instances", toEntries},
		{"everywhere", append(toUpstreams, toEntries...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r *readResults
			f := s.sendFilingsDuring(t, func() {
				r = s.sendReadsDuring(t, func() {
					time.Sleep(time.Second)
					silent := 0
					for _, f := range c.forwarders {
						silent += f.silenceConnections()
					}
					t.Logf("%d connections were silenced", silent)
					time.Sleep(5 * time.Second)
				})
			})
			t.Logf("%d reads; repeated after %v", r.total, r.refused)
			assert.Equal(t, len(r.late), 0, "reads not served by their deadline: %v", r.late)
			s.retryUntilRun(t, f)
			s.checkFilings(t, f)
		})
	}
}

// retryUntilRun repeats each filing that has not run until it does.
func (s *system) retryUntilRun(t *testing.T, f *filingResults) {
	t.Helper()
	for key, last := range f.last {
		if last.outcome != "not-run" {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a := sendFiling(t.Context(), s.entries[0].address, key)
			f.record(key, a)
			if a.outcome == "ran" || a.outcome == "unknown" && !f.notRun[key] {
				return poll.Success()
			}
			return poll.Continue("%s: %+v", key, a)
		}, poll.WithTimeout(waitTimeout))
	}
}
