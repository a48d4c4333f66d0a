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
	Phase Phase
	// Started is when the order was first known to any instance.
	Started time.Time
	// PhaseAt is when this instance learnt of the phase.
	PhaseAt time.Time
	// counts are the own counts; peers those of other instances.
	counts map[Key]Count
	peers  map[string]map[Key]Count
}

// New returns a roll-out in its first phase.
func New(order Order, now time.Time) *Rollout {
	return &Rollout{
		Order: order, Started: now, PhaseAt: now,
		counts: map[Key]Count{},
		peers:  map[string]map[Key]Count{},
	}
}

// Enter moves to a phase that the store has recorded. Final phases stay.
func (r *Rollout) Enter(now time.Time, phase Phase) bool {
	if r.Phase >= phase {
		return false
	}
	r.Phase = phase
	r.PhaseAt = now
	return true
}

// Record counts one answer or failure.
func (r *Rollout) Record(key Key, failed bool) {
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

// Judge returns the route on which the new version is worse, or nil.
func (r *Rollout) Judge() *Finding {
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

// Next returns the phase that the roll-out should enter now. settle is the time
// that the old version needs to end what it runs.
func (r *Rollout) Next(now time.Time, settle time.Duration) Phase {
	if r.Phase == Done || r.Phase == Reverted {
		return r.Phase
	}
	if r.Judge() != nil {
		return Reverted
	}
	if r.Phase == Promoting {
		if now.Sub(r.PhaseAt) >= settle {
			return Done
		}
		return Promoting
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
