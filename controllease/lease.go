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
	// readSpacing is the mean time between two reads of the key across the fleet.
	readSpacing = time.Second
	// maxBackoffFactor is the largest factor on the time between two reads.
	maxBackoffFactor = 8
	// renewalsPerTTL is the number of renewals per TTL.
	renewalsPerTTL = 3
	// attemptsPerRenewal is the number of attempts within one renewal interval.
	attemptsPerRenewal = 4
	// heldFraction is the fraction of the TTL for which a renewal is valid.
	heldFraction = 0.75
)

// Action is a call that a Lease requests.
type Action uint8

// The actions. At most one is in flight at a time.
const (
	// None requests no call.
	None Action = iota
	// Read reads who holds the key.
	Read
	// Acquire creates the key with a new platform lease, or with the one that an
	// earlier attempt was granted.
	Acquire
	// Renew keeps the platform lease alive.
	Renew
	// Release revokes the platform lease.
	Release
)

// Result is the outcome of an action.
type Result struct {
	Action Action
	// StartedAt is a time before the first call of the action.
	StartedAt time.Time
	// Lease is the platform lease of an Acquire, also after a failure.
	Lease platform.LeaseID
	// Err is nil on success. After a Read, platform.ErrNotFound means that there
	// is no holder; after an Acquire, platform.ErrConflict means that another
	// instance is the holder.
	Err error
}

// Options configure a Lease.
type Options struct {
	// TTL is the time to live of the platform lease. Default DefaultTTL.
	TTL time.Duration
	// Rand is the source of the random read times.
	Rand *rand.Rand
}

// Lease is the state machine of one instance. Only the control goroutine may
// use it.
type Lease struct {
	ttl           time.Duration
	rand          *rand.Rand
	members       int
	lease         platform.LeaseID
	holds         bool
	heldUntil     time.Time
	nextAt        time.Time
	backoffFactor int
	inFlight      bool
	acquireNext   bool
	resigned      bool
	readScheduled bool
}

// New returns the state machine of an instance that does not hold the lease.
func New(options Options) *Lease {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	return &Lease{ttl: options.TTL, rand: options.Rand, members: 1, backoffFactor: 1}
}

// SetMembers sets the number of live entry instances, with which the time between
// the reads of one instance grows. Values below 1 count as 1.
func (l *Lease) SetMembers(n int) { l.members = max(n, 1) }

// Held reports whether this instance holds the lease and may do control-plane
// work at the given time.
func (l *Lease) Held(now time.Time) bool {
	return l.holds && !l.resigned && now.Before(l.heldUntil)
}

// Resign releases the lease permanently, before the instance stops.
func (l *Lease) Resign() { l.resigned = true }

// Tick returns the call to make now. The caller passes the Result to Handle;
// until then Tick returns None.
func (l *Lease) Tick(now time.Time) Action {
	if l.inFlight {
		return None
	}
	action := l.next(now)
	l.inFlight = action != None
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
		l.loseLease(now)
	}
	if !l.readScheduled {
		l.scheduleRead(now)
	}
	if now.Before(l.nextAt) {
		return None
	}
	if l.holds {
		return Renew
	}
	if l.acquireNext {
		return Acquire
	}
	return Read
}

// Handle applies the result of the action in flight.
func (l *Lease) Handle(now time.Time, result Result) {
	l.inFlight = false
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
		l.backoffFactor = 1
		l.acquireNext = true
		l.nextAt = now
		return
	}
	l.updateBackoff(err)
	l.scheduleRead(now)
}

func (l *Lease) handleAcquire(now time.Time, result Result) {
	l.acquireNext = false
	l.updateBackoff(result.Err)
	l.lease = result.Lease
	if result.Err != nil {
		if !errors.Is(result.Err, platform.ErrUnavailable) {
			l.lease = 0
		}
		l.scheduleRead(now)
		return
	}
	l.recordRenewal(result.StartedAt)
}

func (l *Lease) handleRenew(now time.Time, result Result) {
	if errors.Is(result.Err, platform.ErrLeaseExpired) {
		l.loseLease(now)
		return
	}
	if result.Err != nil {
		l.nextAt = now.Add(l.ttl / renewalsPerTTL / attemptsPerRenewal)
		return
	}
	l.recordRenewal(result.StartedAt)
}

func (l *Lease) recordRenewal(startedAt time.Time) {
	l.holds = true
	l.heldUntil = startedAt.Add(time.Duration(heldFraction * float64(l.ttl)))
	l.nextAt = startedAt.Add(l.ttl / renewalsPerTTL)
}

func (l *Lease) loseLease(now time.Time) {
	l.holds = false
	l.lease = 0
	l.scheduleRead(now)
}

func (l *Lease) updateBackoff(err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		l.backoffFactor = min(2*l.backoffFactor, maxBackoffFactor)
		return
	}
	l.backoffFactor = 1
}

// scheduleRead schedules the next read at a random time, so that the fleet reads
// about once per readSpacing.
func (l *Lease) scheduleRead(now time.Time) {
	l.readScheduled = true
	mean := max(time.Duration(l.members)*readSpacing, l.ttl/renewalsPerTTL) * time.Duration(l.backoffFactor)
	l.nextAt = now.Add(time.Duration(2 * l.rand.Float64() * float64(mean)))
}
