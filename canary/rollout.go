package canary

import "time"

// Phase is how far a roll-out is.
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
	// judgeUntil is the part of the time for the roll-out after which the version
	// is promoted when it has answered enough.
	judgeUntil = 0.55
	// judgeLatest is the part after which it is promoted however little it has
	// answered.
	judgeLatest = 0.7
	// enoughAnswers is the number of answers that a judgement needs.
	enoughAnswers = 40
)

// Order is the operator's order.
type Order struct {
	Service string
	Version string
	// Within is the time that the roll-out may take.
	Within time.Duration
	// Revision is that of the order in the store.
	Revision int64
}

// Key names what was counted.
type Key struct {
	Route string
	// New says that it was the new version that answered.
	New bool
}

// Rollout is one roll-out as this instance knows it.
type Rollout struct {
	Order Order
	// Recorded is the phase in the store.
	Recorded Phase
	// Started is when the order was first known to any instance.
	Started time.Time
	// RecordedAt is when this instance learnt of that phase.
	RecordedAt time.Time
	// stopped is set by the own judgement, until the store records an end.
	stopped bool
	// counts are the own counts; peers those of other instances.
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

// Final says whether the phase is an end.
func (p Phase) Final() bool { return p == Done || p == Reverted }

// Adopt takes in the phase that the store has recorded. It returns whether that is
// new. The first end that is recorded stays.
func (r *Rollout) Adopt(now time.Time, phase Phase) bool {
	if r.Recorded.Final() || r.Recorded >= phase {
		return false
	}
	r.Recorded = phase
	r.RecordedAt = now
	return true
}

// Stop takes the version out of use here, before the store has recorded it. It
// returns false when the roll-out has ended or was stopped before.
func (r *Rollout) Stop() bool {
	if r.stopped || r.Recorded.Final() {
		return false
	}
	r.stopped = true
	return true
}

// Phase is what traffic goes by: the recorded end, else the own judgement, else
// the recorded phase. Once the old version has been given up in the store, the own
// judgement cannot bring it back.
func (r *Rollout) Phase() Phase {
	if r.stopped && !r.Recorded.Final() {
		return Reverted
	}
	return r.Recorded
}

// Failure says what went wrong with a request at a version.
type Failure uint8

// The failures of a request.
const (
	// None is a good answer.
	None Failure = iota
	// Answered is a failure that the upstream itself answered with.
	Answered
	// Late is an answer that did not come in time, or not whole.
	Late
)

// Record counts one answer or failure. A late answer counts against a version only
// while it shares the requests with the other one: when all requests move to
// upstreams that know no object yet, some are late whatever the version is.
func (r *Rollout) Record(key Key, failure Failure) {
	if failure == Late && r.Recorded != Canary {
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

// Counts returns the own counts. They must not be changed.
func (r *Rollout) Counts() map[Key]Count { return r.counts }

// Hear replaces the counts of another instance.
func (r *Rollout) Hear(peer string, counts map[Key]Count) { r.peers[peer] = counts }

// totals adds the counts of all instances.
func (r *Rollout) totals() map[Key]Count {
	total := map[Key]Count{}
	add := func(counts map[Key]Count) {
		for key, c := range counts {
			total[key] = total[key].Plus(c)
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

// Judge returns the route on which the new version is worse, or nil. While all
// requests move to the new version its answers are compared with those that the old
// one gave before.
func (r *Rollout) Judge() *Finding {
	if r.Recorded.Final() {
		return nil
	}
	total := r.totals()
	for key, fresh := range total {
		if !key.New {
			continue
		}
		old := total[Key{Route: key.Route}]
		if Worse(old, fresh) {
			return &Finding{Route: key.Route, Old: old, New: fresh}
		}
	}
	return nil
}

// Next returns the phase that the store should record now. settle is the time that
// the old version needs to end what it runs.
func (r *Rollout) Next(now time.Time, settle time.Duration) Phase {
	switch {
	case r.Recorded.Final():
		return r.Recorded
	case r.stopped:
		return Reverted
	case r.Recorded == Promoting && now.Sub(r.RecordedAt) < settle:
		return Promoting
	case r.Recorded == Promoting:
		return Done
	}
	elapsed := now.Sub(r.Started).Seconds() / r.Order.Within.Seconds()
	if elapsed >= judgeLatest || elapsed >= judgeUntil && r.newAnswers() >= enoughAnswers {
		return Promoting
	}
	return Canary
}

func (r *Rollout) newAnswers() uint32 {
	var n uint32
	for key, c := range r.totals() {
		if key.New {
			n += c.Answers
		}
	}
	return n
}
