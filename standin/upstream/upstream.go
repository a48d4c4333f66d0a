package upstream

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"samphireferry.example/ferry/dispatch"
	peer "samphireferry.example/ferry/upstream"
)

// Options holds the settings of a stand-in.
type Options struct {
	Name    string
	Version string
	// Slots is the number of requests that run concurrently. 0 means no limit.
	Slots int
	// ServiceTime is the time for which a request occupies its slot.
	ServiceTime time.Duration
	// ColdFor is the time after the start during which requests are slower: by
	// ColdFactor at the start, decreasing linearly to 1 at the end.
	ColdFor    time.Duration
	ColdFactor float64
	// ShedWhenFull sheds requests when no slot is free; otherwise they wait.
	ShedWhenFull bool
	// HealthPath and LoadPath default to "/healthz" and "/load".
	HealthPath string
	LoadPath   string
}

// Upstream is a stand-in for an upstream.
type Upstream struct {
	options Options
	mux     *http.ServeMux
	slots   chan struct{}
	ledger  *Ledger

	mu          sync.Mutex
	started     time.Time
	draining    bool
	faults      Faults
	faultsSetAt time.Time
	// hits counts the requests that each fault has matched.
	hits     []int
	inUse    int
	previous request
	samples  []sample
}

// request holds what a response is made from.
type request struct {
	id       string
	path     string
	rawQuery string
}

// New returns a stand-in whose cold start begins now.
func New(options Options) *Upstream {
	if options.HealthPath == "" {
		options.HealthPath = "/healthz"
	}
	if options.LoadPath == "" {
		options.LoadPath = "/load"
	}
	u := &Upstream{options: options, started: time.Now(), ledger: newLedger(), mux: http.NewServeMux()}
	if options.Slots > 0 {
		u.slots = make(chan struct{}, options.Slots)
	}
	u.mux.HandleFunc(options.HealthPath, u.serveHealth)
	u.mux.HandleFunc(options.LoadPath, u.serveLoad)
	u.mux.HandleFunc("GET /standin/ledger", u.serveLedger)
	u.mux.HandleFunc("POST /standin/faults", u.serveFaults)
	u.mux.HandleFunc("/", u.serveRequest)
	return u
}

// ServeHTTP serves requests, probes and the endpoints under /standin/.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

// Ledger returns the record of what reached the stand-in.
func (u *Upstream) Ledger() *Ledger { return u.ledger }

// SetDraining starts or ends a drain.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	u.draining = draining
	u.mu.Unlock()
}

// Restart makes the stand-in cold again, as a restart that empties its caches does.
func (u *Upstream) Restart() {
	u.mu.Lock()
	u.started = time.Now()
	u.mu.Unlock()
}

// InUse returns the number of requests that hold a slot.
func (u *Upstream) InUse() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inUse
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	u.ledger.recordArrival(r)
	u.stateConditions(w.Header())
	faults := u.faultsFor(r)
	if faults.has(FaultSilent) {
		// The server detects a closed connection only after the body has been read.
		_, _ = discardBody(r)
		<-r.Context().Done()
		return
	}
	if faults.has(FaultDropBefore) {
		panic(http.ErrAbortHandler)
	}
	if faults.has(FaultShed) {
		u.shed(w, r)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !u.acquireSlot(ctx) {
		u.endWithoutSlot(w, r, ctx)
		return
	}
	defer u.releaseSlot()
	u.run(ctx, w, r, faults)
}

// run executes the request in its slot and responds to it.
func (u *Upstream) run(ctx context.Context, w http.ResponseWriter, r *http.Request, faults activeFaults) {
	n, err := discardBody(r)
	if err != nil {
		u.ledger.recordIncompleteBody()
		panic(http.ErrAbortHandler)
	}
	u.ledger.recordExecution(r, n)
	if !sleep(ctx, u.serviceTime(r)+faults.delay()) {
		u.abandon(w, r)
		return
	}
	u.respond(ctx, w, r, faults)
}

// withDeadline returns a context with the deadline in the request's header, if there is
// one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(r.Header.Get(dispatch.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// acquireSlot acquires a slot and reports whether it did; it waits for one until the
// context ends, unless ShedWhenFull is set.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	if u.slots == nil {
		u.changeInUse(1)
		return true
	}
	select {
	case u.slots <- struct{}{}:
		u.changeInUse(1)
		return true
	default:
	}
	u.ledger.recordOverSlots()
	if u.options.ShedWhenFull {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		u.changeInUse(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) releaseSlot() {
	u.changeInUse(-1)
	if u.slots != nil {
		<-u.slots
	}
}

func (u *Upstream) changeInUse(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse += change
	u.ledger.recordInUse(u.inUse)
	u.recordSample(time.Now())
}

func (u *Upstream) endWithoutSlot(w http.ResponseWriter, r *http.Request, ctx context.Context) {
	if ctx.Err() != nil {
		u.abandon(w, r)
		return
	}
	u.shed(w, r)
}

// abandon ends a request whose caller has disconnected or whose deadline has passed.
func (u *Upstream) abandon(w http.ResponseWriter, r *http.Request) {
	u.ledger.recordCancelled()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.WriteHeader(http.StatusGatewayTimeout)
}

func (u *Upstream) shed(w http.ResponseWriter, r *http.Request) {
	u.ledger.recordShed()
	w.Header().Set(dispatch.HeaderRequestID, r.Header.Get(dispatch.HeaderRequestID))
	w.Header().Set(peer.HeaderShed, peer.ShedNotRun)
	u.stateRetryAfter(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) serviceTime(r *http.Request) time.Duration {
	base := u.options.ServiceTime
	if ms, ok := queryInt(r, "service_ms"); ok {
		base = time.Duration(ms) * time.Millisecond
	}
	return time.Duration(float64(base) * u.coldFactor())
}

// coldFactor returns the factor by which the service time is currently extended.
func (u *Upstream) coldFactor() float64 {
	u.mu.Lock()
	age := time.Since(u.started)
	u.mu.Unlock()
	if age >= u.options.ColdFor || u.options.ColdFactor <= 1 {
		return 1
	}
	remaining := 1 - float64(age)/float64(u.options.ColdFor)
	return 1 + (u.options.ColdFactor-1)*remaining
}

func (u *Upstream) isCold() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.started) < u.options.ColdFor
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
