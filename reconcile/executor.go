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
	// callTimeout bounds one call, counted from when it was planned. A process
	// that was paused in between does not send it.
	callTimeout = 3 * time.Second
	// reloadInterval is the time after which all records are read again.
	reloadInterval = 30 * time.Second
	// minBackoff and maxBackoff bound the delay after the store gave no answer.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Options are the parts that an Executor works with.
type Options struct {
	Store platform.Store
	// Held says whether this instance does control work.
	Held func(now time.Time) bool
	// Post is called from other goroutines with each result; the control loop
	// must then call HandleResult.
	Post func(Result)
	// Rand spreads the retries.
	Rand *rand.Rand
	// Metrics counts the calls; it may be nil.
	Metrics *telemetry.Metrics
}

// Executor carries out the writes that Reconcilers plan, one at a time for
// each, without blocking the control goroutine. All methods are called from the
// control goroutine.
type Executor struct {
	options Options
	slots   []*slot
	held    bool
}

// slot is the state of one Reconciler.
type slot struct {
	reconciler Reconciler
	prefix     string
	underWay   bool
	// readPrefix is what must be read before the next plan; empty when nothing.
	readPrefix string
	loadedAt   time.Time
	notBefore  time.Time
	backoff    time.Duration
	keys       map[string]bool
}

// Result is the outcome of one call.
type Result struct {
	slot *slot
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

// Add adds a reconciler for the records under the key or key prefix.
func (e *Executor) Add(prefix string, reconciler Reconciler) {
	e.slots = append(e.slots, &slot{reconciler: reconciler, prefix: prefix, keys: map[string]bool{}})
}

// Step starts what is to be done now. Nothing is started while the instance
// does not hold the control lease; what is under way may still end.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	held := e.options.Held(now)
	if held && !e.held {
		e.reloadAll()
	}
	e.held = held
	if !held {
		return
	}
	for _, s := range e.slots {
		e.stepSlot(ctx, now, s)
	}
}

func (e *Executor) reloadAll() {
	for _, s := range e.slots {
		s.readPrefix = s.prefix
	}
}

func (e *Executor) stepSlot(ctx context.Context, now time.Time, s *slot) {
	if s.underWay || now.Before(s.notBefore) {
		return
	}
	if s.readPrefix == "" && now.Sub(s.loadedAt) >= reloadInterval {
		s.readPrefix = s.prefix
	}
	if s.readPrefix != "" {
		e.read(ctx, s)
		return
	}
	write, ok := s.reconciler.Plan(now)
	if ok {
		e.write(ctx, s, write)
	}
}

// HandleResult takes in a posted result.
func (e *Executor) HandleResult(now time.Time, result Result) {
	s := result.slot
	s.underWay = false
	s.delay(now, result.err, e.options.Rand)
	if result.write != nil {
		s.wrote(result)
		return
	}
	if result.err == nil {
		s.observe(now, result)
	}
}

func (s *slot) wrote(result Result) {
	s.reconciler.Done(*result.write, result.revision, result.err)
	s.keys[result.write.Key] = true
	if result.err != nil {
		s.readPrefix = result.write.Key
	}
}

// observe passes on what was read. Keys that are known and were not returned
// have been deleted.
func (s *slot) observe(now time.Time, result Result) {
	if s.readPrefix == result.prefix {
		s.readPrefix = ""
	}
	if result.prefix == s.prefix {
		s.loadedAt = now
	}
	found := map[string]bool{}
	for _, entry := range result.entries {
		found[entry.Key] = true
		s.keys[entry.Key] = true
		s.reconciler.Observe(entry)
	}
	for key := range s.keys {
		if found[key] || len(key) < len(result.prefix) || key[:len(result.prefix)] != result.prefix {
			continue
		}
		delete(s.keys, key)
		s.reconciler.Observe(platform.Entry{Key: key, Revision: result.revision, Deleted: true})
	}
}

func (s *slot) delay(now time.Time, err error, random *rand.Rand) {
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		s.backoff = 0
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.notBefore = now.Add(time.Duration((0.5 + random.Float64()) * float64(s.backoff)))
}

func (e *Executor) read(ctx context.Context, s *slot) {
	prefix := s.readPrefix
	e.start(ctx, s, "list", Result{prefix: prefix}, func(ctx context.Context) Result {
		entries, revision, err := e.options.Store.List(ctx, prefix)
		return Result{prefix: prefix, entries: entries, revision: revision, err: err}
	})
}

func (e *Executor) write(ctx context.Context, s *slot, write Write) {
	if write.Delete {
		e.start(ctx, s, "delete", Result{write: &write}, func(ctx context.Context) Result {
			err := e.options.Store.Delete(ctx, write.Key, write.Expected)
			return Result{write: &write, err: err}
		})
		return
	}
	e.start(ctx, s, "compare_and_swap", Result{write: &write}, func(ctx context.Context) Result {
		revision, err := e.options.Store.CompareAndSwap(ctx, write.Key, write.Value, write.Expected, 0)
		return Result{write: &write, revision: revision, err: err}
	})
}

// start runs the call in a goroutine. The result unsent is posted when the
// process was paused for so long that the call must not be made any more.
func (e *Executor) start(ctx context.Context, s *slot, call string, unsent Result, run func(context.Context) Result) {
	s.underWay = true
	if e.options.Metrics != nil {
		e.options.Metrics.Counter("ferry_reconcile_calls_total", "prefix", s.prefix, "call", call).Inc()
	}
	deadline := time.Now().Add(callTimeout)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		result := unsent
		result.err = platform.ErrUnavailable
		if time.Now().Before(deadline) {
			result = run(ctx)
		}
		result.slot = s
		e.options.Post(result)
	}()
}
