package duty

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

const (
	// heldFraction is the fraction of the TTL after the start of a renewal for which the
	// holder may act. The rest allows for clocks of different rates.
	heldFraction = 0.75
	// renewFraction is the fraction of the TTL between two renewals. Each is a priced call;
	// a failed one can be repeated within heldFraction.
	renewFraction = 0.4
	// retryFraction is the fraction of the TTL after which a failed renewal is repeated.
	retryFraction = 0.1
	// maxDelayFraction bounds the random delay of a candidate, as a fraction of the TTL.
	maxDelayFraction = 0.15
	// maxBackoffFactor bounds the growth of the pause after failed acquisitions.
	maxBackoffFactor = 8
	// cededTTLs is the pause of an instance that cannot fulfil the duty, in TTLs, so that others
	// are tried first; lostTTLs that of one that has lost it.
	cededTTLs = 4
	lostTTLs  = 2
)

// Action is a call that a Duty requests.
type Action uint8

// The actions. At most one is in flight at a time.
const (
	// None requests no call.
	None Action = iota
	// Acquire reads the duty's records, writes the key under a new lease, and reads it back.
	Acquire
	// Renew keeps the lease alive.
	Renew
	// Release revokes the lease, which removes the key.
	Release
)

// Result is the outcome of an action.
type Result struct {
	Action Action
	// StartedAt is a time before the first call of the action.
	StartedAt time.Duration
	// Lease is the lease of an Acquire, also after a failure.
	Lease platform.LeaseID
	// Token is the confirmed revision of the key after a successful Acquire, Report the entry
	// with what the last holders did.
	Token  platform.Revision
	Report platform.Entry
	// Wait is how long the new holder has to wait, from the end of the Acquire.
	Wait time.Duration
	// Err is nil on success; platform.ErrConflict means that another instance has the duty.
	Err error
}

// Permit is the right to act with a fencing token for a time.
type Permit struct {
	// Token is 0 for no right.
	Token platform.Revision
	// From and Until bound the time, by the clock that counts suspension.
	From, Until time.Duration
}

// Allows reports whether the holder may act at the time.
func (p Permit) Allows(now time.Duration) bool { return p.Token != 0 && now >= p.From && now < p.Until }

// Lapsed reports whether the right has ended, for good or until a late renewal.
func (p Permit) Lapsed(now time.Duration) bool { return p.Token == 0 || now >= p.Until }

// Options configure a Duty.
type Options struct {
	// TTL is the time to live of the lease.
	TTL time.Duration
	// Rand is the source of the random delays.
	Rand *rand.Rand
}

// Duty is the state machine of one instance. Only the control goroutine may use it. Its times
// are those of a clock that also runs while the machine is suspended.
type Duty struct {
	ttl    time.Duration
	rand   *rand.Rand
	permit Permit
	lease  platform.LeaseID
	// nextAt is when the next call is due.
	nextAt   time.Duration
	inFlight bool
	resigned bool
	// free is whether the key was free at the last Tick.
	free bool
	// notBefore is the earliest time of the next acquisition.
	notBefore     time.Duration
	backoffFactor int
	// given is set when the lease is to be released although the instance goes on.
	given bool
}

// New returns the state machine of an instance that does not have the duty.
func New(options Options) *Duty {
	return &Duty{ttl: options.TTL, rand: options.Rand, backoffFactor: 1}
}

// Permit returns the current right, whose Token is 0 if there is none.
func (d *Duty) Permit() Permit { return d.permit }

// Resign gives up the duty for good, before the instance stops.
func (d *Duty) Resign() { d.resigned = true; d.permit = Permit{} }

// Cede gives up the duty because the instance cannot fulfil it, so that another one can try.
func (d *Duty) Cede(now time.Duration) {
	d.giveUp(now + cededTTLs*d.ttl)
}

// Refused gives up the duty because the token was refused, as a higher one was seen, or because
// another holder has acted. The token is never used again.
func (d *Duty) Refused(now time.Duration) { d.giveUp(now + lostTTLs*d.ttl) }

func (d *Duty) giveUp(notBefore time.Duration) {
	d.permit = Permit{}
	d.given = d.lease != 0
	d.notBefore = notBefore
}

// Lease returns the lease that a Renew or Release is about, 0 for none.
func (d *Duty) Lease() platform.LeaseID { return d.lease }

// Tick returns the call to make now. candidate is whether this instance may acquire the duty,
// free is whether the key names no holder, as far as known. The caller passes the Result to
// Handle; until then Tick returns None.
func (d *Duty) Tick(now time.Duration, candidate, free bool) Action {
	if d.inFlight {
		return None
	}
	action := d.next(now, candidate, free)
	d.inFlight = action != None
	return action
}

func (d *Duty) next(now time.Duration, candidate, free bool) Action {
	if d.resigned || d.given {
		if d.lease != 0 {
			return Release
		}
		d.given = false
		if d.resigned {
			return None
		}
	}
	if d.lease != 0 && d.permit.Token != 0 {
		if now < d.nextAt {
			return None
		}
		return Renew
	}
	if free && !d.free {
		d.nextAt = max(d.notBefore, now+d.delay())
	}
	d.free = free
	if !candidate || !free || now < d.nextAt || now < d.notBefore {
		return None
	}
	return Acquire
}

// delay returns a random delay, so that candidates that see the free key at the same time do
// not all call the store.
func (d *Duty) delay() time.Duration {
	return time.Duration(d.rand.Float64() * maxDelayFraction * float64(d.ttl))
}

// fraction returns the fraction of the TTL.
func (d *Duty) fraction(f float64) time.Duration { return time.Duration(f * float64(d.ttl)) }

// Handle applies the result of the action in flight. It reports whether the instance has just
// acquired the duty.
func (d *Duty) Handle(now time.Duration, result Result) bool {
	d.inFlight = false
	switch result.Action {
	case Acquire:
		return d.handleAcquire(now, result)
	case Renew:
		d.handleRenew(now, result)
	case Release:
		// Without a response, the lease ends by itself.
		d.lease, d.given = 0, false
		d.free = false
	}
	return false
}

func (d *Duty) handleAcquire(now time.Duration, result Result) bool {
	d.lease = result.Lease
	if result.Err == nil {
		d.permit = Permit{Token: result.Token, From: now + result.Wait}
		d.recordRenewal(result.StartedAt)
		d.backoffFactor = 1
		return true
	}
	// The key may have been written. It is released, since its revision is not known.
	d.given = d.lease != 0
	d.nextAt = now + d.delay() + time.Duration(d.backoffFactor)*d.fraction(retryFraction)
	d.backoffFactor = min(2*d.backoffFactor, maxBackoffFactor)
	return false
}

func (d *Duty) handleRenew(now time.Duration, result Result) {
	if d.permit.Token == 0 {
		return
	}
	if errors.Is(result.Err, platform.ErrLeaseExpired) {
		d.permit, d.lease = Permit{}, 0
		d.notBefore = now + lostTTLs*d.ttl
		return
	}
	if result.Err != nil {
		d.nextAt = now + d.fraction(retryFraction)
		return
	}
	d.recordRenewal(result.StartedAt)
}

// recordRenewal extends the permit after a renewal that began at the time. The key cannot have
// been removed before the renewal: the store would have refused it.
func (d *Duty) recordRenewal(startedAt time.Duration) {
	d.permit.Until = startedAt + d.fraction(heldFraction)
	d.nextAt = startedAt + d.fraction(renewFraction)
}
