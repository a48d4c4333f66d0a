package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/platform/headers"
	standin "samphireferry.example/ferry/standin/platform"
)

const (
	// statedFor is how long an upstream states at the end of a soak that it leaves, or
	// refuses all requests.
	statedFor = 4 * time.Second
	// statedBound is the time after a response within which requests that were under way
	// may still arrive from the instance that got it.
	statedBound = 500 * time.Millisecond
)

// statedPauses are the times that upstreams state with refusals.
var statedPauses = []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond}

// statement is what an upstream states in its responses besides their result.
type statement struct {
	leaving bool
	// pause is the Retry-After of its refusals; 0 refuses nothing.
	pause time.Duration
}

// statementCheck makes an upstream state that it leaves, or refuse with a time, and finds the
// requests of instances that were told and send all the same. The zero value states nothing.
type statementCheck struct {
	mu     sync.Mutex
	stated statement
	// told holds when an instance was last told, by its address.
	told map[string]time.Time
	late []string
}

// state replaces the statement and clears what was found.
func (c *statementCheck) state(s statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stated, c.told, c.late = s, map[string]time.Time{}, nil
}

// recordArrival sets the headers of the response to a request of the instance, and records
// the request if it is late. It returns the statement.
func (c *statementCheck) recordArrival(h http.Header, instance, id string, now time.Time) statement {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stated.leaving {
		h.Set(headers.Leaving, "1")
	}
	if c.stated.pause > 0 {
		h.Set(headers.NotRun, "1")
		h.Set(headers.RetryAfter, fmt.Sprint(c.stated.pause.Seconds()))
	}
	told, ok := c.told[instance]
	since := now.Sub(told)
	if ok && since > statedBound && (c.stated.leaving || since < c.stated.pause) {
		c.late = append(c.late, fmt.Sprintf("%s from %s after %v", id, instance, since.Round(time.Millisecond)))
	}
	return c.stated
}

// recordResponse records that a response has told the instance. Of a refusal the newest counts,
// of an upstream that leaves the first.
func (c *statementCheck) recordResponse(instance string, s statement, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != c.stated || s == (statement{}) {
		return
	}
	if _, ok := c.told[instance]; !ok || !s.leaving {
		c.told[instance] = now
	}
}

// found returns the number of instances that were told, and the late requests.
func (c *statementCheck) found() (told int, late []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.told), slices.Clone(c.late)
}

// leaveUpstream makes an upstream state that it leaves, while its entry says ready, and
// replaces it at the end of the fault.
func leaveUpstream(s *system, r *rand.Rand) (func() error, error) {
	u := s.randomUpstream(r)
	u.statements.state(statement{leaving: true})
	return func() error { return s.replace(u.ID) }, nil
}

// refuseAtUpstream makes an upstream refuse all requests.
func refuseAtUpstream(s *system, r *rand.Rand) (func() error, error) {
	u := s.randomUpstream(r)
	u.statements.state(statement{pause: statedPauses[r.IntN(len(statedPauses))]})
	return func() error {
		u.statements.state(statement{})
		return nil
	}, nil
}

// checkStatements makes an upstream refuse with a time, and then one state that it leaves
// while the store is unavailable, and records a violation for each instance that was told and
// sends it requests.
func (s *system) checkStatements(ctx context.Context, r *rand.Rand) error {
	u := s.busyUpstream(r)
	s.checkStatement(ctx, u, statement{pause: statedPauses[r.IntN(len(statedPauses))]})
	s.store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	u = s.busyUpstream(r)
	s.checkStatement(ctx, u, statement{leaving: true})
	s.store.SetFaults(standin.Faults{})
	return s.replace(u.ID)
}

func (s *system) checkStatement(ctx context.Context, u *Upstream, stated statement) {
	u.statements.state(stated)
	defer u.statements.state(statement{})
	select {
	case <-time.After(statedFor):
	case <-ctx.Done():
		return
	}
	told, late := u.statements.found()
	if told == 0 {
		s.ledger.RecordViolation("upstream %s got no request, so nothing was checked", u.ID)
	}
	if len(late) > 0 {
		s.ledger.RecordViolation("upstream %s stated %+v and got: %s", u.ID, stated, strings.Join(late, ", "))
	}
}

// busyUpstream returns the upstream that has got most requests within the last window, or any
// if there were none.
func (s *system) busyUpstream(r *rand.Rand) *Upstream {
	before := s.requestCounts()
	time.Sleep(servedWindow)
	after := s.requestCounts()
	ids := lo.Keys(after)
	slices.Sort(ids)
	busiest := lo.MaxBy(ids, func(a, b string) bool { return after[a]-before[a] > after[b]-before[b] })
	if after[busiest] == before[busiest] {
		return s.randomUpstream(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[busiest]
}

// requestCounts returns the number of requests that each upstream has run.
func (s *system) requestCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.MapValues(s.upstreams, func(u *Upstream, _ string) int64 { return u.requests.Load() })
}
