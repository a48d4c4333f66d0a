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
	// readDeadline is the time in which a caller wants an answer: the timeout
	// of the route.
	readDeadline = 10 * time.Second
	// readPause is the pause between two reads of one caller.
	readPause = 40 * time.Millisecond
)

// reads is what callers that read have learnt.
type reads struct {
	mu    sync.Mutex
	total int
	// refused counts the answers after which a caller asked again.
	refused map[string]int
	// late are reads that got no answer by their deadline.
	late []answer
}

// readDuring runs the harm while callers read through all entry instances.
func (s *system) readDuring(t *testing.T, harm func()) *reads {
	t.Helper()
	r := &reads{refused: map[string]int{}}
	done := make(chan struct{})
	var running sync.WaitGroup
	for worker := range 6 {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(readPause):
					s.readUntilAnswered(t, r, worker, i)
				}
			}
		})
	}
	harm()
	close(done)
	running.Wait()
	return r
}

// readUntilAnswered reads until an answer comes, as callers do.
func (s *system) readUntilAnswered(t *testing.T, r *reads, worker, i int) {
	ctx, cancel := context.WithTimeout(t.Context(), readDeadline)
	defer cancel()
	path := fmt.Sprintf("/read/%d-%d", worker, i)
	for attempt := 0; ; attempt++ {
		a := read(ctx, s.entries[(worker+i+attempt)%len(s.entries)].address, path)
		if r.note(a, attempt == 0, ctx.Err() != nil) {
			return
		}
		time.Sleep(readPause)
	}
}

// note counts an answer and says whether the read has ended.
func (r *reads) note(a answer, first, late bool) bool {
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

func TestConnectionsThatGoSilent(t *testing.T) {
	forwarders := map[string]*forwarder{}
	s := startSystemThrough(t, 4, func(t *testing.T, address string) string {
		f := forward(t, address)
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
			var r *reads
			f := s.fileDuring(t, func() {
				r = s.readDuring(t, func() {
					time.Sleep(time.Second)
					silent := 0
					for _, f := range c.forwarders {
						silent += f.silence()
					}
					t.Logf("%d connections have gone silent", silent)
					time.Sleep(5 * time.Second)
				})
			})
			t.Logf("%d reads; asked again after %v", r.total, r.refused)
			assert.Equal(t, len(r.late), 0, "reads without an answer by their deadline: %v", r.late)
			s.repeatUntilRun(t, f)
			s.check(t, f)
		})
	}
}

// repeatUntilRun repeats each filing that has not run until it does.
func (s *system) repeatUntilRun(t *testing.T, f *filings) {
	t.Helper()
	for key, last := range f.last {
		if last.outcome != "not-run" {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a := file(t.Context(), s.entries[0].address, key)
			f.note(key, a)
			if a.outcome == "ran" || a.outcome == "unknown" && !f.notRun[key] {
				return poll.Success()
			}
			return poll.Continue("%s: %+v", key, a)
		}, poll.WithTimeout(waitTimeout))
	}
}
