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
	// promoteFraction is the fraction of Order.Within after which a version with enough
	// evidence is promoted. Before, faults that begin after some seconds would be missed.
	promoteFraction = 0.6
	// decisionMargin is the time before the deadline that is left, beside the drain time, for
	// writing the two last phases to the store.
	decisionMargin = 2 * time.Second
	// minDecisionFraction is the fraction of Order.Within that is always used for evidence.
	minDecisionFraction = 0.5
	// minKnown is how long an instance has known a roll-out before it decides without enough
	// evidence: after a restart it lacks the counts of its peers.
	minKnown = 3 * time.Second
	// partialViewDelay is how long an instance that lacks fresh counts of others leaves that
	// decision to those that have them.
	partialViewDelay = time.Second
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
	// drainTime is the time that the old version needs to complete its running requests.
	drainTime time.Duration
	// knownSince is when this instance learned of the order.
	knownSince time.Time
	// starts are the counts at the times from which the version may be bad.
	starts []sample
	// recent holds samples of the last seconds, recentAt is the time of the newest.
	recent   []sample
	recentAt time.Time
	// stopped is set once this instance has found the version worse. It has no effect
	// once the store has recorded a final phase.
	stopped bool
	// counts are the counts of this instance; peers holds those of its peers by name.
	counts map[Key]Count
	peers  map[string]map[Key]Count
}

// New returns a roll-out in its first phase. drainTime is the time that the old version needs
// to complete its running requests before Done.
func New(order Order, drainTime time.Duration, now time.Time) *Rollout {
	return &Rollout{
		Order: order, Started: now, RecordedAt: now,
		drainTime:  drainTime,
		knownSince: now,
		counts:     map[Key]Count{},
		peers:      map[string]map[Key]Count{},
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
	if failure == ErrorResponse {
		c.Errors++
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

// Finding is the evidence that the new version is worse.
type Finding struct {
	// Route is the route with the most evidence.
	Route string
	Old   Count
	New   Count
	// Ratio is the likelihood ratio of a worse version to a sound one.
	Ratio float64
}

// FindWorse returns the evidence that the new version is worse, or nil. While promoting, the
// responses of the new version are compared with the earlier ones of the old version.
func (r *Rollout) FindWorse(now time.Time) *Finding {
	if r.Recorded.Final() {
		return nil
	}
	total := r.totals()
	current := newSample(total)
	r.observe(now, current)
	r.keepRecent(now, current)
	ratio, worst := r.ratio(current)
	if ratio >= stopRatio && r.hasBaseline(current) {
		return &Finding{Route: worst, Old: current.old[worst], New: current.new[worst], Ratio: ratio}
	}
	for _, route := range current.routes() {
		candidate := r.withoutBurst(route, current)
		baseline := current.old[route]
		if baseline.Answers < minBaseline {
			baseline = sum(current.old)
		}
		if Worse(baseline, candidate) {
			return &Finding{Route: route, Old: baseline, New: candidate, Ratio: ratio}
		}
	}
	return nil
}

// hasBaseline reports whether error responses can be compared. In the canary phase an old
// version with few responses is taken for a sound one; later, its counts may have been lost
// in a restart.
func (r *Rollout) hasBaseline(current sample) bool {
	return r.Recorded == Canary || sum(current.old).Answers >= minBaseline
}

// Decision is what is due in a roll-out.
type Decision struct {
	// Phase is the phase that the store should record now.
	Phase Phase
	// Lacking is the route that lacks most evidence while the roll-out waits for it, or when
	// the phase was decided without it; otherwise it is nil.
	Lacking *Shortage
	// Ratio is the likelihood ratio of a worse version to a sound one at the end of the
	// canary phase.
	Ratio float64
}

// latestDecision returns when the canary phase ends, with enough evidence or without.
func (r *Rollout) latestDecision() time.Time {
	shortest := time.Duration(minDecisionFraction * float64(r.Order.Within))
	return r.Started.Add(max(r.Order.Within-r.drainTime-decisionMargin, shortest))
}

// Next returns what is due now. complete reports whether the counts of all others are fresh here.
func (r *Rollout) Next(now time.Time, complete bool) Decision {
	switch {
	case r.Recorded.Final():
		return Decision{Phase: r.Recorded}
	case r.stopped:
		return Decision{Phase: Reverted}
	case r.Recorded == Promoting && now.Sub(r.RecordedAt) < r.drainTime:
		return Decision{Phase: Promoting}
	case r.Recorded == Promoting:
		return Decision{Phase: Done}
	}
	latest := r.latestDecision()
	earliest := r.Started.Add(time.Duration(promoteFraction * float64(r.Order.Within)))
	if now.Before(earliest) && now.Before(latest) {
		return Decision{Phase: Canary}
	}
	current := newSample(r.totals())
	d := Decision{Phase: Canary, Lacking: current.shortage()}
	d.Ratio, _ = r.ratio(current)
	if d.Lacking == nil && d.Ratio < revertRatio {
		d.Phase = Promoting
		return d
	}
	if !complete {
		latest = latest.Add(partialViewDelay)
	}
	if now.Before(latest) || now.Sub(r.knownSince) < minKnown {
		return d
	}
	d.Phase = Promoting
	if d.Ratio >= revertRatio || d.Lacking != nil && d.Lacking.unobserved {
		d.Phase = Reverted
	}
	return d
}
