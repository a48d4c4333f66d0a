// Package usageapi is a stand-in for the API that takes usage reports. It checks what the API
// must never see, and can be slow, down, or execute calls late.
package usageapi

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

// Options are the settings of an API.
type Options struct {
	// FenceCheck makes the API refuse lower tokens than it has seen.
	FenceCheck bool
	// TTL is the time within which holders must not take turns.
	TTL  time.Duration
	Seed uint64
}

// Faults are the faults of an API. The zero value has none.
type Faults struct {
	// Down leaves calls without a response and does not execute them.
	Down bool
	// Lose is the fraction of calls without a response; they are executed after up to MaxLate.
	Lose    float64
	MaxLate time.Duration
	// Delay is that of the responses.
	Delay time.Duration
}

// Report is an accepted report.
type Report struct {
	Holder string
	Token  int64
	Counts map[string]uint64
	At     time.Time
}

// API is the stand-in.
type API struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	accepted map[int64]Report
	calls    int
	highest  int64
	holders  map[int64]string
	// actors holds the last two changes of the holder whose calls were executed.
	actors     []actor
	violations []string
}

// actor is a holder with the time of its last executed call.
type actor struct {
	name string
	last time.Time
}

// New returns an API without faults.
func New(options Options) *API {
	return &API{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		accepted: map[int64]Report{},
		holders:  map[int64]string{},
	}
}

// SetFaults replaces the faults.
func (a *API) SetFaults(f Faults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
}

// Accepted returns the accepted reports by window.
func (a *API) Accepted() map[int64]Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.accepted)
}

// Calls returns the number of calls that arrived.
func (a *API) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Violations returns what must never happen and did.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.violations
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body platform.UsageBody
	token, err := strconv.ParseInt(r.Header.Get(platform.HeaderFenceToken), 10, 64)
	if err != nil || r.Method != http.MethodPost || r.URL.Path != platform.PathUsage || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	err = a.Call(r.Context(), r.Header.Get(platform.HeaderDutyHolder), token, body)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, platform.ErrFenced):
		w.WriteHeader(http.StatusConflict)
	default:
		// The caller has closed the connection.
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Call makes a call without a network. It returns what platform.UsageClient does.
func (a *API) Call(ctx context.Context, holder string, token int64, body platform.UsageBody) error {
	a.mu.Lock()
	faults := a.faults
	lost := a.random.Float64() < faults.Lose
	late := time.Duration(a.random.Float64() * float64(faults.MaxLate))
	a.calls++
	a.mu.Unlock()
	switch {
	case faults.Down:
		<-ctx.Done()
		return platform.ErrUnavailable
	case lost:
		time.AfterFunc(late, func() { _ = a.execute(holder, token, body) })
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	time.Sleep(faults.Delay)
	err := a.execute(holder, token, body)
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return err
}

// execute executes a call.
func (a *API) execute(holder string, token int64, body platform.UsageBody) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if known, ok := a.holders[token]; ok && known != holder {
		a.violate("token %d of %s and %s", token, known, holder)
	}
	a.holders[token] = holder
	if token < a.highest {
		if a.options.FenceCheck {
			return platform.ErrFenced
		}
		a.violate("token %d of %s after %d", token, holder, a.highest)
	}
	a.highest = max(a.highest, token)
	a.act(holder, now)
	last, repeated := a.accepted[body.Window]
	if !repeated {
		a.accepted[body.Window] = Report{Holder: holder, Token: token, Counts: body.Counts, At: now}
	} else if !maps.Equal(last.Counts, body.Counts) {
		a.violate("window %d: %v of %s, then %v of %s", body.Window, last.Counts, last.Holder, body.Counts, holder)
	}
	return nil
}

// act checks that no two holders take turns within the TTL.
func (a *API) act(holder string, now time.Time) {
	n := len(a.actors)
	if n > 0 && a.actors[n-1].name == holder {
		a.actors[n-1].last = now
		return
	}
	if n > 1 && a.actors[n-2].name == holder && now.Sub(a.actors[n-2].last) < a.options.TTL {
		a.violate("%s, %s and %s again within %s", holder, a.actors[n-1].name, holder, now.Sub(a.actors[n-2].last))
	}
	a.actors = append(a.actors, actor{name: holder, last: now})
}

func (a *API) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}
