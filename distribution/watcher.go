package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/platform"
)

// Prefix precedes every key that is distributed.
const Prefix = "ferry/"

// Update is what one call on the store brought.
type Update struct {
	// Entries are the records that changed, or all of them when Full is set.
	Entries []platform.Entry
	// Revision is the one up to which the entries are complete.
	Revision platform.Revision
	Full     bool
	// Heard is a time at which the store certainly held what is known now.
	Heard time.Time
	// Err is the failure of the call; the other fields are then empty.
	Err error
}

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Wait is the time for which one watch waits. Default 2s.
	Wait time.Duration
	// Grace is added to Wait before a silent watch is given up. Default 1s.
	Grace time.Duration
	// ListTimeout bounds the reading of all records. Default 2s.
	ListTimeout time.Duration
	// ListInterval is the time after which all records are read again.
	// Default 60s.
	ListInterval time.Duration
	// MinInterval is the pause after a call that brought records, so that many
	// writes in a row are read together. Default 500ms.
	MinInterval time.Duration
	// MinBackoff and MaxBackoff bound the pause after failed calls, which
	// doubles with each failure. Defaults 200ms and 5s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Seed drives the random part of all times, so that the instances of a
	// fleet do not call at once.
	Seed uint64
}

// The defaults of WatcherOptions.
const (
	defaultWait         = 2 * time.Second
	defaultGrace        = 1 * time.Second
	defaultListTimeout  = 2 * time.Second
	defaultListInterval = 60 * time.Second
	defaultMinInterval  = 500 * time.Millisecond
	defaultMinBackoff   = 200 * time.Millisecond
	defaultMaxBackoff   = 5 * time.Second
)

// Watcher watches the store from a goroutine of its own and delivers what it
// reads. It makes no call while it is not active.
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

// NewWatcher returns a watcher that is not active. It calls deliver from its
// own goroutine, one call at a time.
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

// Stop ends the goroutine and waits for it.
func (w *Watcher) Stop() {
	w.cancel()
	<-w.done
}

// SetActive starts or stops the calls. A watch under way is not interrupted.
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

// waitUntilActive returns false when the watcher is stopped.
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

// cursor is the place of a watcher in the changes of the store.
type cursor struct {
	after platform.Revision
	// listNext is when all records are read again.
	listNext time.Time
	failures int
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
	if time.Now().Before(c.listNext) {
		return w.watch(ctx, c.after)
	}
	return w.list(ctx)
}

// advance moves the cursor behind the update and returns the pause until the
// next call.
func (w *Watcher) advance(c *cursor, update Update) time.Duration {
	if update.Err != nil {
		return w.backoff(c)
	}
	regressed := update.Revision < c.after
	c.after = update.Revision
	if regressed {
		// The answer is older than an earlier one: read all again.
		c.listNext = time.Time{}
		return w.backoff(c)
	}
	c.failures = 0
	if update.Full {
		c.listNext = time.Now().Add(w.jitter(w.options.ListInterval))
	}
	if len(update.Entries) > 0 {
		return w.options.MinInterval
	}
	return 0
}

// backoff returns the pause after a failure and counts it.
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
	return Update{Entries: entries, Revision: revision, Full: true, Heard: start}
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
	return Update{Entries: entries, Revision: revision, Heard: heardAt(start, wait, len(entries))}
}

// heardAt returns a time at which the store certainly held what a watch
// brought. A watch that brought nothing was answered after its wait; one that
// brought changes may have been answered at its start and delayed since.
func heardAt(start time.Time, wait time.Duration, changes int) time.Time {
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

// jitter returns between half of d and d.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d/2)+1))
}
