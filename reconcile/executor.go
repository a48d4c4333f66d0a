package reconcile

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/telemetry"
)

const (
	// callTimeout bounds one call, counted from when it was planned. If the
	// process is paused past this time before sending, the call is not sent.
	callTimeout = 3 * time.Second
	// reloadInterval is the time after which all records are read again.
	reloadInterval = 30 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call, before
	// jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Options holds the dependencies of an Executor.
type Options struct {
	Store platform.Store
	// LeaseHeld reports whether this instance holds the control lease.
	LeaseHeld func(now time.Time) bool
	// Post is called from other goroutines with each result; the control loop
	// must then call HandleResult.
	Post func(Result)
	// Rand is the source of the jitter of retries.
	Rand *rand.Rand
	// Metrics counts the calls; it may be nil.
	Metrics *telemetry.Metrics
}

// Executor carries out the writes that Reconcilers plan, without blocking the
// control goroutine. Each Reconciler has at most one call in flight. All methods
// are called from the control goroutine.
type Executor struct {
	options     Options
	reconcilers []*managedReconciler
	held        bool
}

// managedReconciler is a Reconciler with its calls, reads and retries.
type managedReconciler struct {
	reconciler Reconciler
	prefix     string
	inFlight   bool
	// pendingRead is the key or prefix to read before the next plan; empty if
	// none.
	pendingRead string
	// lastFullRead is when the whole prefix was last read.
	lastFullRead time.Time
	// notBefore is when the next call may be made after a failed one.
	notBefore time.Time
	backoff   time.Duration
	// keys holds the keys that are known to exist or were written.
	keys map[string]bool
}

// Result is the outcome of one call to the store.
type Result struct {
	reconciler *managedReconciler
	// write is set after a write.
	write    *Write
	revision platform.Revision
	// prefix and entries are set after a read.
	prefix  string
	entries []platform.Entry
	err     error
}

// NewExecutor returns an executor without reconcilers.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// Add registers a reconciler for the records under the key or key prefix.
func (e *Executor) Add(prefix string, reconciler Reconciler) {
	e.reconcilers = append(e.reconcilers, &managedReconciler{reconciler: reconciler, prefix: prefix, keys: map[string]bool{}})
}

// Step starts the calls that are due. It starts none while the instance does not
// hold the control lease; calls in flight may still complete. All records are
// read again after the lease is acquired.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	held := e.options.LeaseHeld(now)
	if held && !e.held {
		e.reloadAll()
	}
	e.held = held
	if !held {
		return
	}
	for _, m := range e.reconcilers {
		e.stepReconciler(ctx, now, m)
	}
}

func (e *Executor) reloadAll() {
	for _, m := range e.reconcilers {
		m.pendingRead = m.prefix
	}
}

func (e *Executor) stepReconciler(ctx context.Context, now time.Time, m *managedReconciler) {
	if m.inFlight || now.Before(m.notBefore) {
		return
	}
	if m.pendingRead == "" && now.Sub(m.lastFullRead) >= reloadInterval {
		m.pendingRead = m.prefix
	}
	if m.pendingRead != "" {
		e.read(ctx, m)
		return
	}
	write, ok := m.reconciler.Plan(now)
	if ok {
		e.write(ctx, m, write)
	}
}

// HandleResult processes a result that was passed to Post.
func (e *Executor) HandleResult(now time.Time, result Result) {
	m := result.reconciler
	m.inFlight = false
	m.updateBackoff(now, result.err, e.options.Rand)
	if result.write != nil {
		m.handleWrite(result)
		return
	}
	if result.err == nil {
		m.handleRead(now, result)
	}
}

// handleWrite reports the result of a write to the reconciler. After an error
// the key is read again.
func (m *managedReconciler) handleWrite(result Result) {
	m.reconciler.Done(*result.write, result.revision, result.err)
	m.keys[result.write.Key] = true
	if result.err != nil {
		m.pendingRead = result.write.Key
	}
}

// handleRead passes the entries of a read to the reconciler. Known keys under
// the prefix that were not returned are reported as deleted.
func (m *managedReconciler) handleRead(now time.Time, result Result) {
	if m.pendingRead == result.prefix {
		m.pendingRead = ""
	}
	if result.prefix == m.prefix {
		m.lastFullRead = now
	}
	found := map[string]bool{}
	for _, entry := range result.entries {
		found[entry.Key] = true
		m.keys[entry.Key] = true
		m.reconciler.Observe(entry)
	}
	for key := range m.keys {
		if found[key] || len(key) < len(result.prefix) || key[:len(result.prefix)] != result.prefix {
			continue
		}
		delete(m.keys, key)
		m.reconciler.Observe(platform.Entry{Key: key, Revision: result.revision, Deleted: true})
	}
}

// updateBackoff doubles the backoff after an error, with jitter, and resets it
// otherwise. A conflict or a missing key is a response of the store, so it resets
// the backoff too.
func (m *managedReconciler) updateBackoff(now time.Time, err error, random *rand.Rand) {
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		m.backoff = 0
		return
	}
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	m.notBefore = now.Add(time.Duration((0.5 + random.Float64()) * float64(m.backoff)))
}

func (e *Executor) read(ctx context.Context, m *managedReconciler) {
	prefix := m.pendingRead
	e.start(ctx, m, "list", Result{prefix: prefix}, func(ctx context.Context) Result {
		entries, revision, err := e.options.Store.List(ctx, prefix)
		return Result{prefix: prefix, entries: entries, revision: revision, err: err}
	})
}

func (e *Executor) write(ctx context.Context, m *managedReconciler, write Write) {
	if write.Delete {
		e.start(ctx, m, "delete", Result{write: &write}, func(ctx context.Context) Result {
			err := e.options.Store.Delete(ctx, write.Key, write.Expected)
			return Result{write: &write, err: err}
		})
		return
	}
	e.start(ctx, m, "compare_and_swap", Result{write: &write}, func(ctx context.Context) Result {
		revision, err := e.options.Store.CompareAndSwap(ctx, write.Key, write.Value, write.Expected, 0)
		return Result{write: &write, revision: revision, err: err}
	})
}

// start runs the call in a goroutine and posts its result. If the process was
// paused past the deadline, the call is not made, and notSent is posted with
// platform.ErrUnavailable.
func (e *Executor) start(ctx context.Context, m *managedReconciler, call string, notSent Result, run func(context.Context) Result) {
	m.inFlight = true
	if e.options.Metrics != nil {
		e.options.Metrics.Counter("ferry_reconcile_calls_total", "prefix", m.prefix, "call", call).Inc()
	}
	deadline := time.Now().Add(callTimeout)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		result := notSent
		result.err = platform.ErrUnavailable
		if time.Now().Before(deadline) {
			result = run(ctx)
		}
		result.reconciler = m
		e.options.Post(result)
	}()
}
