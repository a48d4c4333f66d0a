package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/platform"
)

// Prefix is the common prefix of all replicated keys.
const Prefix = "ferry/"

// Update is the result of one call to the store.
type Update struct {
	// Entries are the records that changed, or all of them when Full is set.
	Entries []platform.Entry
	// Revision is the revision up to which the entries are complete.
	Revision platform.Revision
	Full     bool
	// AsOf is a time at which the store is known to have held this state.
	AsOf time.Time
	// Err is the error of a failed call; the other fields are then empty.
	Err error
}

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	// Wait is the maximum time for which one watch waits for a change. Default 2s.
	Wait time.Duration
	// Grace is the time beyond the wait after which a watch without a response is
	// cancelled. Default 1s.
	Grace time.Duration
	// ListTimeout is the timeout of a full read of all records. Default 2s.
	ListTimeout time.Duration
	// ListInterval is the largest time after which all records are read again.
	// Default 60s.
	ListInterval time.Duration
	// MinInterval is the pause after a call that returned records, which batches
	// successive writes. Default 500ms.
	MinInterval time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed call or a stale
	// response; it doubles with each consecutive failure, and jitter shortens it
	// to as little as half. Defaults 200ms and 5s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Seed seeds the jitter of all times, so that the instances of a fleet do not
	// call simultaneously.
	Seed uint64
}

// Defaults of WatcherOptions.
const (
	defaultWait         = 2 * time.Second
	defaultGrace        = 1 * time.Second
	defaultListTimeout  = 2 * time.Second
	defaultListInterval = 60 * time.Second
	defaultMinInterval  = 500 * time.Millisecond
	defaultMinBackoff   = 200 * time.Millisecond
	defaultMaxBackoff   = 5 * time.Second
)

// Watcher watches the store from its own goroutine and delivers what it reads.
// It starts no call while it is inactive.
type Watcher struct {
	store   platform.Store
	options WatcherOptions
	deliver func(Update)
	random  *rand.Rand
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	active bool
	// wake is closed when the watcher becomes active.
	wake chan struct{}
}

// NewWatcher returns an inactive watcher. It calls deliver from its own
// goroutine, one call at a time.
func NewWatcher(store platform.Store, options WatcherOptions, deliver func(Update)) *Watcher {
	options.Wait = lo.CoalesceOrEmpty(options.Wait, defaultWait)
	options.Grace = lo.CoalesceOrEmpty(options.Grace, defaultGrace)
	options.ListTimeout = lo.CoalesceOrEmpty(options.ListTimeout, defaultListTimeout)
	options.ListInterval = lo.CoalesceOrEmpty(options.ListInterval, defaultListInterval)
	options.MinInterval = lo.CoalesceOrEmpty(options.MinInterval, defaultMinInterval)
	options.MinBackoff = lo.CoalesceOrEmpty(options.MinBackoff, defaultMinBackoff)
	options.MaxBackoff = lo.CoalesceOrEmpty(options.MaxBackoff, defaultMaxBackoff)
	return &Watcher{
		store:   store,
		options: options,
		deliver: deliver,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		done:    make(chan struct{}),
		wake:    make(chan struct{}),
	}
}

// Start starts the goroutine. It must be called once.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.run(ctx)
}

// Stop stops the goroutine and waits for it to end.
func (w *Watcher) Stop() {
	w.cancel()
	<-w.done
}

// SetActive starts or stops the calls. A watch in progress is not interrupted.
func (w *Watcher) SetActive(active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if active && !w.active {
		close(w.wake)
	}
	if !active && w.active {
		w.wake = make(chan struct{})
	}
	w.active = active
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	for w.waitUntilActive(ctx) {
		w.follow(ctx)
	}
}

// waitUntilActive blocks until the watcher is active; it returns false when the
// watcher is stopped.
func (w *Watcher) waitUntilActive(ctx context.Context) bool {
	w.mu.Lock()
	wake := w.wake
	w.mu.Unlock()
	select {
	case <-wake:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (w *Watcher) isActive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// cursor is the position of a watcher in the store's change history.
type cursor struct {
	after platform.Revision
	// nextListAt is the time of the next full read.
	nextListAt time.Time
	failures   int
}

// follow reads all records, then their changes, while the watcher is active.
func (w *Watcher) follow(ctx context.Context) {
	var c cursor
	for w.isActive() && ctx.Err() == nil {
		update := w.read(ctx, c)
		if ctx.Err() != nil {
			return
		}
		w.deliver(update)
		w.sleep(ctx, w.advance(&c, update))
	}
}

func (w *Watcher) read(ctx context.Context, c cursor) Update {
	if time.Now().Before(c.nextListAt) {
		return w.watch(ctx, c.after)
	}
	return w.list(ctx)
}

// advance moves the cursor past the update and returns the pause until the next
// call.
func (w *Watcher) advance(c *cursor, update Update) time.Duration {
	if update.Err != nil {
		return w.backoff(c)
	}
	regressed := update.Revision < c.after
	c.after = update.Revision
	if regressed {
		// The response is older than an earlier one: force a full read.
		c.nextListAt = time.Time{}
		return w.backoff(c)
	}
	c.failures = 0
	if update.Full {
		c.nextListAt = time.Now().Add(w.jitter(w.options.ListInterval))
	}
	if len(update.Entries) > 0 {
		return w.options.MinInterval
	}
	return 0
}

// backoff counts a failure and returns the pause before the next call.
func (w *Watcher) backoff(c *cursor) time.Duration {
	bound := min(w.options.MinBackoff<<min(c.failures, maxBackoffDoublings), w.options.MaxBackoff)
	c.failures++
	return w.jitter(bound)
}

// maxBackoffDoublings keeps the doubled pause within the range of a
// time.Duration.
const maxBackoffDoublings = 16

func (w *Watcher) list(ctx context.Context) Update {
	ctx, cancel := context.WithTimeout(ctx, w.options.ListTimeout)
	defer cancel()
	start := time.Now()
	entries, revision, err := w.store.List(ctx, Prefix)
	if err != nil {
		return Update{Err: err}
	}
	return Update{Entries: entries, Revision: revision, Full: true, AsOf: start}
}

func (w *Watcher) watch(ctx context.Context, after platform.Revision) Update {
	wait := w.jitter(w.options.Wait)
	ctx, cancel := context.WithTimeout(ctx, wait+w.options.Grace)
	defer cancel()
	start := time.Now()
	entries, revision, err := w.store.Watch(ctx, Prefix, after, wait)
	if err != nil {
		return Update{Err: err}
	}
	return Update{Entries: entries, Revision: revision, AsOf: watchAsOf(start, wait, len(entries))}
}

// watchAsOf returns a time at which the store is known to have held the state
// that a watch returned. The store responds to a watch without changes only
// after the wait; a response with changes may have left the store at the start
// of the watch and been delayed since.
func watchAsOf(start time.Time, wait time.Duration, changes int) time.Time {
	if changes > 0 {
		return start
	}
	end := start.Add(wait)
	if now := time.Now(); now.Before(end) {
		return now
	}
	return end
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jitter returns a random duration between half of d and d.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}
