package controllease

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

const (
	// DefaultTTL is the time to live of the platform lease.
	DefaultTTL = 10 * time.Second
	// readSpacing is the mean time between two reads of the key by the fleet.
	readSpacing = time.Second
	// maxBackoff is the largest factor on the time between two reads.
	maxBackoff = 8
	// renewals is the number of renewals in a time to live.
	renewals = 3
	// retries is the number of attempts in the time between two renewals.
	retries = 4
	// heldPart is the part of the time to live for which a renewal counts.
	heldPart = 0.75
)

// Action is a call that a Lease wants made.
type Action uint8

// The actions. Only one is under way at a time.
const (
	// None wants nothing.
	None Action = iota
	// Read reads who holds the key.
	Read
	// Acquire takes the key with a new lease, or with the one that an earlier
	// attempt got.
	Acquire
	// Renew keeps the lease alive.
	Renew
	// Release revokes the lease.
	Release
)

// Result is the outcome of an action.
type Result struct {
	Action Action
	// StartedAt is the time before the first call.
	StartedAt time.Time
	// Lease is the platform lease of an Acquire, also after a failure.
	Lease platform.LeaseID
	// Err is nil on success. After a Read, platform.ErrNotFound says that there
	// is no holder; after an Acquire, platform.ErrConflict that there is another.
	Err error
}

// Options are the settings of a Lease.
type Options struct {
	// TTL is the time to live. Default DefaultTTL.
	TTL time.Duration
	// Rand spreads the reads.
	Rand *rand.Rand
}

// Lease is the state machine of one instance. It is used by the control
// goroutine only.
type Lease struct {
	ttl       time.Duration
	rand      *rand.Rand
	members   int
	lease     platform.LeaseID
	holds     bool
	heldUntil time.Time
	nextAt    time.Time
	backoff   int
	underWay  bool
	wantsKey  bool
	resigned  bool
	scheduled bool
}

// New returns the state machine of an instance that does not hold the lease.
func New(options Options) *Lease {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	return &Lease{ttl: options.TTL, rand: options.Rand, members: 1, backoff: 1}
}

// SetMembers sets the number of live entry instances, by which the reads are
// spread.
func (l *Lease) SetMembers(n int) { l.members = max(n, 1) }

// Held says whether this instance does control work now.
func (l *Lease) Held(now time.Time) bool {
	return l.holds && !l.resigned && now.Before(l.heldUntil)
}

// Resign gives the lease up for good, before the instance stops.
func (l *Lease) Resign() { l.resigned = true }

// Tick returns the call to make now. The caller passes its Result to Handle;
// until then Tick returns None.
func (l *Lease) Tick(now time.Time) Action {
	if l.underWay {
		return None
	}
	action := l.next(now)
	l.underWay = action != None
	return action
}

func (l *Lease) next(now time.Time) Action {
	if l.resigned {
		if l.lease != 0 {
			return Release
		}
		return None
	}
	if l.holds && !now.Before(l.heldUntil) {
		l.lose(now)
	}
	if !l.scheduled {
		l.scheduleRead(now)
	}
	if now.Before(l.nextAt) {
		return None
	}
	if l.holds {
		return Renew
	}
	if l.wantsKey {
		return Acquire
	}
	return Read
}

// Handle takes in the result of the action under way.
func (l *Lease) Handle(now time.Time, result Result) {
	l.underWay = false
	switch result.Action {
	case Read:
		l.handleRead(now, result.Err)
	case Acquire:
		l.handleAcquire(now, result)
	case Renew:
		l.handleRenew(now, result)
	case Release:
		l.lease = 0
		l.holds = false
	}
}

func (l *Lease) handleRead(now time.Time, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		l.backoff = 1
		l.wantsKey = true
		l.nextAt = now
		return
	}
	l.setBackoff(err)
	l.scheduleRead(now)
}

func (l *Lease) handleAcquire(now time.Time, result Result) {
	l.wantsKey = false
	l.setBackoff(result.Err)
	l.lease = result.Lease
	if result.Err != nil {
		if !errors.Is(result.Err, platform.ErrUnavailable) {
			l.lease = 0
		}
		l.scheduleRead(now)
		return
	}
	l.renewed(result.StartedAt)
}

func (l *Lease) handleRenew(now time.Time, result Result) {
	if errors.Is(result.Err, platform.ErrLeaseExpired) {
		l.lose(now)
		return
	}
	if result.Err != nil {
		l.nextAt = now.Add(l.ttl / renewals / retries)
		return
	}
	l.renewed(result.StartedAt)
}

func (l *Lease) renewed(startedAt time.Time) {
	l.holds = true
	l.heldUntil = startedAt.Add(time.Duration(heldPart * float64(l.ttl)))
	l.nextAt = startedAt.Add(l.ttl / renewals)
}

func (l *Lease) lose(now time.Time) {
	l.holds = false
	l.lease = 0
	l.scheduleRead(now)
}

func (l *Lease) setBackoff(err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		l.backoff = min(2*l.backoff, maxBackoff)
		return
	}
	l.backoff = 1
}

// scheduleRead puts the next read at a random time, so that the fleet reads
// about once in readSpacing.
func (l *Lease) scheduleRead(now time.Time) {
	l.scheduled = true
	mean := max(time.Duration(l.members)*readSpacing, l.ttl/renewals) * time.Duration(l.backoff)
	l.nextAt = now.Add(time.Duration(2 * l.rand.Float64() * float64(mean)))
}
