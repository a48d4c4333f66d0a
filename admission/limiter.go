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
	// DefaultHorizon is how far ahead tokens are borrowed and kept back.
	DefaultHorizon = 100 * time.Millisecond
	// DefaultLoanTimeout is the longest wait for the answer to a loan request.
	DefaultLoanTimeout = 200 * time.Millisecond
	// DefaultMaxWait is the longest wait of a request for a token.
	DefaultMaxWait = 300 * time.Millisecond
	// DefaultMinTimeLeft is what a request must have left to be made to wait.
	DefaultMinTimeLeft = 400 * time.Millisecond
	// DefaultMaxWaiting is the number of waiting requests of one customer.
	DefaultMaxWaiting = 32
	// DefaultMessagesPerSecond bounds the loan requests of one instance.
	DefaultMessagesPerSecond = 100
	// DefaultMessageBurst is the number of loan requests that may go at once.
	DefaultMessageBurst = 20
)

// Settings are the settings of a Limiter. Zero values mean the defaults.
type Settings struct {
	// MaxPause is the longest gap between two ticks of the control goroutine
	// after which requests are still admitted.
	MaxPause time.Duration
	// Horizon is the period for which tokens are borrowed ahead of need, and
	// for which a lender keeps back what its own demand needs.
	Horizon time.Duration
	// LoanTimeout ends the wait for an answer to a loan request.
	LoanTimeout time.Duration
	// MaxWait is the longest wait of a request for a token.
	MaxWait time.Duration
	// MinTimeLeft is the time until its deadline that a request must have to
	// be made to wait.
	MinTimeLeft time.Duration
	// MaxWaiting is the number of requests of one customer that may wait.
	MaxWaiting int
	// MessagesPerSecond and MessageBurst bound the loan requests sent.
	MessagesPerSecond float64
	MessageBurst      int
	// NoLoans switches borrowing and waiting off.
	NoLoans bool
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

// Decision is the answer to one request.
type Decision struct {
	Admitted bool
	// Kind is RateExceeded or ShareUnconfirmed when the request is refused.
	Kind errkind.Kind
	// RetryAfter is the time until a token is there at the latest, if no other
	// request takes it. It is 0 for ShareUnconfirmed.
	RetryAfter time.Duration
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
	wake     chan struct{}

	// mu guards what follows: the loans that this instance asks for.
	mu       sync.Mutex
	messages *rate.Limiter
	peers    []*peerState
	loans    map[uint64]*loan
	lastLoan uint64
	turn     int
}

type bucketSet struct {
	byName map[string]*Bucket
	list   []*Bucket
}

// NewLimiter returns a limiter that is unconfirmed and has no customer.
func NewLimiter(settings Settings, now time.Time) *Limiter {
	settings = settings.withDefaults()
	l := &Limiter{
		settings: settings,
		epoch:    now,
		wake:     make(chan struct{}, 1),
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

// Admit takes one token for a request of the bucket's customer.
func (l *Limiter) Admit(now time.Time, b *Bucket) Decision {
	if !l.usable(now) {
		return unconfirmed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived()
	decision := l.admitLocked(now, b)
	if !decision.Admitted {
		b.totals.Refused++
	}
	return decision
}

func (l *Limiter) admitLocked(now time.Time, b *Bucket) Decision {
	b.refill(now)
	taken := b.take()
	l.settings.Checker.Check(b.within(), InvariantRoom, b.customer)
	if taken {
		return admitted
	}
	return Decision{Kind: errkind.RateExceeded, RetryAfter: b.retryAfter()}
}

// usable says whether the shares are confirmed and the control goroutine runs.
func (l *Limiter) usable(now time.Time) bool {
	sinceTick := now.Sub(l.epoch) - time.Duration(l.tickedAt.Load())
	return l.confirmed.Load() && sinceTick <= l.settings.MaxPause
}

// Tick is called at a steady interval by the control goroutine. After a gap
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

// Configure puts shares in force. When it returns, no request is admitted by
// older ones, and their version may be acknowledged. Without confirmation
// nothing is admitted. Customers that are not in shares are dropped.
func (l *Limiter) Configure(now time.Time, shares []sharetable.Share, confirmed bool) {
	if !confirmed || !l.confirmed.Load() {
		l.unconfirm(now)
	}
	old := l.buckets.Load()
	next := &bucketSet{byName: make(map[string]*Bucket, len(shares))}
	for _, share := range shares {
		b := old.byName[share.Customer.Name]
		if b == nil {
			b = &Bucket{customer: share.Customer.Name, at: now}
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

// unconfirm stops admission, empties the buckets and forgets the loans.
func (l *Limiter) unconfirm(now time.Time) {
	l.confirmed.Store(false)
	l.forgetLoans()
	for _, b := range l.buckets.Load().list {
		b.empty(now)
	}
}

// Confirmed says whether the shares in force are confirmed.
func (l *Limiter) Confirmed() bool { return l.confirmed.Load() }
