package canary

import "time"

// Phase is the stage of a roll-out.
type Phase uint8

// The phases of a roll-out.
const (
	Canary Phase = iota
	Promoting
	Done
	Reverted
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	return [...]string{"canary", "promoting", "done", "reverted"}[p]
}

const (
	// promoteFraction is the fraction of Order.Within after which the version is promoted
	// if it has at least minPromotionResponses responses.
	promoteFraction = 0.55
	// forcePromoteFraction is the fraction after which it is promoted however few
	// responses it has.
	forcePromoteFraction = 0.7
	// minPromotionResponses is the number of responses of the new version that an early
	// promotion needs.
	minPromotionResponses = 40
)

// Order is an operator's order to roll out a version of a service.
type Order struct {
	Service string
	Version string
	// Within is the time that the roll-out may take.
	Within time.Duration
	// Revision is the revision of the order in the store.
	Revision int64
}

// Key identifies a count by route and version.
type Key struct {
	Route string
	// New is set for the new version.
	New bool
}

// Rollout is this instance's view of one roll-out. It is not safe for concurrent use.
type Rollout struct {
	Order Order
	// Recorded is the phase in the store.
	Recorded Phase
	// Started is when the order was first known to any instance.
	Started time.Time
	// RecordedAt is when this instance learned of the recorded phase.
	RecordedAt time.Time
	// stopped is set once this instance has found the version worse. It has no effect
	// once the store has recorded a final phase.
	stopped bool
	// counts are the counts of this instance; peers holds those of its peers by name.
	counts map[Key]Count
	peers  map[string]map[Key]Count
}

// New returns a roll-out in its first phase.
func New(order Order, now time.Time) *Rollout {
	return &Rollout{
		Order: order, Started: now, RecordedAt: now,
		counts: map[Key]Count{},
		peers:  map[string]map[Key]Count{},
	}
}

// Final reports whether the phase is Done or Reverted.
func (p Phase) Final() bool { return p == Done || p == Reverted }

// Adopt applies the phase that the store has recorded and reports whether it is a later
// one. The first final phase stays.
func (r *Rollout) Adopt(now time.Time, phase Phase) bool {
	if r.Recorded.Final() || r.Recorded >= phase {
		return false
	}
	r.Recorded = phase
	r.RecordedAt = now
	return true
}

// Stop takes the new version out of use on this instance before the store has recorded
// the reversion. It returns false if the roll-out has ended or was already stopped.
func (r *Rollout) Stop() bool {
	if r.stopped || r.Recorded.Final() {
		return false
	}
	r.stopped = true
	return true
}

// Phase returns the phase that routing follows: a recorded final phase, else Reverted if
// this instance has stopped the roll-out, else the recorded phase. Once the store has
// recorded Done, the old version is retired and this instance cannot bring it back.
func (r *Rollout) Phase() Phase {
	if r.stopped && !r.Recorded.Final() {
		return Reverted
	}
	return r.Recorded
}

// Failure is how a request to a version failed, if it did.
type Failure uint8

// The failures of a request.
const (
	// None is a successful response.
	None Failure = iota
	// ErrorResponse is an error response of the upstream itself.
	ErrorResponse
	// LateResponse is a response that was incomplete or did not arrive in time.
	LateResponse
)

// Record counts one response or failure. Late responses are counted only in the canary
// phase, while the two versions share the requests: when all requests move to upstreams
// with cold caches, some responses are late whatever the version.
func (r *Rollout) Record(key Key, failure Failure) {
	if failure == LateResponse && r.Recorded != Canary {
		return
	}
	failed := failure != None
	c := r.counts[key]
	c.Answers++
	if failed {
		c.Failures++
	}
	r.counts[key] = c
}

// Counts returns the counts of this instance. They must not be modified.
func (r *Rollout) Counts() map[Key]Count { return r.counts }

// SetPeerCounts replaces the counts received from a peer.
func (r *Rollout) SetPeerCounts(peer string, counts map[Key]Count) { r.peers[peer] = counts }

// totals adds the counts of all instances.
func (r *Rollout) totals() map[Key]Count {
	total := map[Key]Count{}
	add := func(counts map[Key]Count) {
		for key, c := range counts {
			total[key] = total[key].Add(c)
		}
	}
	add(r.counts)
	for _, counts := range r.peers {
		add(counts)
	}
	return total
}

// Finding is a route on which the new version is worse.
type Finding struct {
	Route string
	Old   Count
	New   Count
}

// FindWorseRoute returns a route on which the new version is worse, or nil. While
// promoting, the responses of the new version are compared with the earlier ones of the
// old version.
func (r *Rollout) FindWorseRoute() *Finding {
	if r.Recorded.Final() {
		return nil
	}
	total := r.totals()
	for key, candidate := range total {
		if !key.New {
			continue
		}
		baseline := total[Key{Route: key.Route}]
		if Worse(baseline, candidate) {
			return &Finding{Route: key.Route, Old: baseline, New: candidate}
		}
	}
	return nil
}

// Next returns the phase that the store should record now. drainTime is the time that
// the old version needs to complete its running requests.
func (r *Rollout) Next(now time.Time, drainTime time.Duration) Phase {
	switch {
	case r.Recorded.Final():
		return r.Recorded
	case r.stopped:
		return Reverted
	case r.Recorded == Promoting && now.Sub(r.RecordedAt) < drainTime:
		return Promoting
	case r.Recorded == Promoting:
		return Done
	}
	elapsed := now.Sub(r.Started).Seconds() / r.Order.Within.Seconds()
	if elapsed >= forcePromoteFraction || elapsed >= promoteFraction && r.newVersionResponses() >= minPromotionResponses {
		return Promoting
	}
	return Canary
}

// newVersionResponses returns the number of responses of the new version on all
// instances.
func (r *Rollout) newVersionResponses() uint32 {
	var n uint32
	for key, c := range r.totals() {
		if key.New {
			n += c.Answers
		}
	}
	return n
}
