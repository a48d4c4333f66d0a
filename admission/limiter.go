package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/sharetable"
)

// Defaults of Settings.
const (
	// DefaultMaxPause equals that of sharetable.Member.
	DefaultMaxPause = sharetable.DefaultMaxPause
	// DefaultHorizon is how far ahead tokens are borrowed and retained.
	DefaultHorizon = 100 * time.Millisecond
	// DefaultLoanTimeout is the longest wait for the response to a loan request.
	DefaultLoanTimeout = 200 * time.Millisecond
	// DefaultMaxWait is the longest wait of a request for a token.
	DefaultMaxWait = 300 * time.Millisecond
	// DefaultMinTimeLeft is the least time until its deadline for a request to wait.
	DefaultMinTimeLeft = 400 * time.Millisecond
	// DefaultMaxWaiting is the largest number of waiting requests of one customer.
	DefaultMaxWaiting = 32
	// DefaultMessagesPerSecond bounds the loan requests that one instance sends.
	DefaultMessagesPerSecond = 100
	// DefaultMessageBurst is the number of loan requests that may be sent at once.
	DefaultMessageBurst = 20
)

// Settings are the settings of a Limiter. Zero or negative numbers and durations
// mean the defaults.
type Settings struct {
	// MaxPause is the longest gap between two ticks of the control goroutine
	// after which requests are still admitted.
	MaxPause time.Duration
	// Horizon is the period for which tokens are borrowed ahead of need, and
	// for which a lender retains what its own demand needs.
	Horizon time.Duration
	// LoanTimeout is the longest wait for the response to a loan request.
	LoanTimeout time.Duration
	// MaxWait is the longest wait of a request for a token.
	MaxWait time.Duration
	// MinTimeLeft is the least time until its deadline for a request to wait.
	MinTimeLeft time.Duration
	// MaxWaiting is the largest number of requests of one customer that wait.
	MaxWaiting int
	// MessagesPerSecond and MessageBurst bound the loan requests sent.
	MessagesPerSecond float64
	MessageBurst      int
	// NoLoans disables borrowing and waiting.
	NoLoans bool
	// RefuseFutile refuses a request at once when the last waits of its customer ended without a
	// token.
	RefuseFutile bool
	// Jitter returns a random number from 0 to 1 that spreads the RetryAfter of refusals; nil spreads
	// none.
	Jitter func() float64
	// Checker receives violations of invariants; nil drops them.
	Checker *invariant.Checker
}

func (s Settings) withDefaults() Settings {
	s.MaxPause = orDefault(s.MaxPause, DefaultMaxPause)
	s.Horizon = orDefault(s.Horizon, DefaultHorizon)
	s.LoanTimeout = orDefault(s.LoanTimeout, DefaultLoanTimeout)
	s.MaxWait = orDefault(s.MaxWait, DefaultMaxWait)
	s.MinTimeLeft = orDefault(s.MinTimeLeft, DefaultMinTimeLeft)
	s.MaxWaiting = orDefault(s.MaxWaiting, DefaultMaxWaiting)
	s.MessagesPerSecond = orDefault(s.MessagesPerSecond, DefaultMessagesPerSecond)
	s.MessageBurst = orDefault(s.MessageBurst, DefaultMessageBurst)
	return s
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Decision is the result of the admission check of one request.
type Decision struct {
	Admitted bool
	// Kind is RateExceeded or ShareUnconfirmed when the request is refused.
	Kind errkind.Kind
	// RetryAfter is the longest time until a token is available, if no other
	// request takes it, or longer by a random part where Settings has Jitter. It is at most 1 hour,
	// and 0 for ShareUnconfirmed.
	RetryAfter time.Duration
	// OverRate is set when the request was refused without a wait because the customer is over its
	// rate at all instances.
	OverRate bool
}

// Err returns the error of a refusal, or nil.
func (d Decision) Err() error {
	if d.Admitted {
		return nil
	}
	err := errkind.New(d.Kind, "")
	err.RetryAfter = d.RetryAfter
	return err
}

var (
	admitted    = Decision{Admitted: true}
	unconfirmed = Decision{Kind: errkind.ShareUnconfirmed}
)

// Limiter holds the buckets of one entry instance. Admit, AdmitWait, Bucket
// and Lend are safe for use by any goroutine; Tick and Configure are called by
// the control goroutine.
type Limiter struct {
	settings  Settings
	buckets   atomic.Pointer[bucketSet]
	confirmed atomic.Bool
	// tickedAt is the time of the last tick in nanoseconds after epoch.
	tickedAt atomic.Int64
	epoch    time.Time
	// wanted signals that a request waits; see Wanted.
	wanted chan struct{}

	// mu guards the following fields, which concern loans to this instance.
	mu       sync.Mutex
	messages *rate.Limiter
	peers    []*peerState
	loans    map[uint64]*loan
	lastLoan uint64
	rotation int
}

// bucketSet holds the buckets of all configured customers. It is immutable.
type bucketSet struct {
	byName map[string]*Bucket
	list   []*Bucket
}

// NewLimiter returns a limiter that is unconfirmed and has no customers.
func NewLimiter(settings Settings, now time.Time) *Limiter {
	settings = settings.withDefaults()
	l := &Limiter{
		settings: settings,
		epoch:    now,
		wanted:   make(chan struct{}, 1),
		messages: rate.NewLimiter(rate.Limit(settings.MessagesPerSecond), settings.MessageBurst),
		loans:    map[uint64]*loan{},
	}
	l.buckets.Store(&bucketSet{byName: map[string]*Bucket{}})
	return l
}

// Bucket returns the bucket of the customer, or nil when it has none.
func (l *Limiter) Bucket(customer string) *Bucket { return l.buckets.Load().byName[customer] }

// Buckets returns the buckets of all customers. The slice must not be changed.
func (l *Limiter) Buckets() []*Bucket { return l.buckets.Load().list }

// Admit takes one token for a request of the bucket's customer, or refuses the
// request.
func (l *Limiter) Admit(now time.Time, b *Bucket) Decision {
	if !l.usable(now) {
		return unconfirmed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countArrival()
	decision := l.admitLocked(now, b)
	if !decision.Admitted {
		b.totals.Refused++
	}
	return decision
}

// admitLocked is Admit without counting the arrival or refusal. The caller holds the
// lock of the bucket.
func (l *Limiter) admitLocked(now time.Time, b *Bucket) Decision {
	b.refill(now)
	taken := b.take()
	l.settings.Checker.Check(b.withinBurst(), InvariantWithinBurst, b.customer)
	if taken {
		return admitted
	}
	return Decision{Kind: errkind.RateExceeded, RetryAfter: l.spread(b, b.retryAfter())}
}

// usable reports whether the shares are confirmed and the control goroutine has
// ticked within MaxPause.
func (l *Limiter) usable(now time.Time) bool {
	sinceTick := now.Sub(l.epoch) - time.Duration(l.tickedAt.Load())
	return l.confirmed.Load() && sinceTick <= l.settings.MaxPause
}

// Tick must be called at a steady interval by the control goroutine. After a gap
// longer than MaxPause all buckets are emptied and the limiter is unconfirmed
// until Configure confirms it; Tick then returns true.
func (l *Limiter) Tick(now time.Time) bool {
	elapsed := now.Sub(l.epoch)
	paused := elapsed-time.Duration(l.tickedAt.Load()) > l.settings.MaxPause
	if paused {
		l.unconfirm(now)
	}
	l.tickedAt.Store(int64(elapsed))
	return paused
}

// Configure puts shares in force. When it returns, no request is admitted by older
// shares, and the version of the new ones may be acknowledged. While confirmed is
// false, no request is admitted. Customers that are not in shares are dropped.
func (l *Limiter) Configure(now time.Time, shares []sharetable.Share, confirmed bool) {
	if !confirmed || !l.confirmed.Load() {
		l.unconfirm(now)
	}
	old := l.buckets.Load()
	next := &bucketSet{byName: make(map[string]*Bucket, len(shares))}
	for _, share := range shares {
		b := old.byName[share.Customer.Name]
		if b == nil {
			b = &Bucket{customer: share.Customer.Name, refilledAt: now}
		}
		b.configure(now, share)
		next.byName[b.customer] = b
		next.list = append(next.list, b)
	}
	l.buckets.Store(next)
	for name, b := range old.byName {
		if next.byName[name] == nil {
			b.configure(now, sharetable.Share{})
		}
	}
	l.confirmed.Store(confirmed)
}

// unconfirm stops admission, empties the buckets and drops the outstanding loans.
func (l *Limiter) unconfirm(now time.Time) {
	l.confirmed.Store(false)
	l.dropLoans()
	for _, b := range l.buckets.Load().list {
		b.empty(now)
	}
}

// Confirmed reports whether the shares in force are confirmed.
func (l *Limiter) Confirmed() bool { return l.confirmed.Load() }
