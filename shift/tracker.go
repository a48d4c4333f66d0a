package shift

import (
	"time"

	"samphireferry.example/ferry/invariant"
)

// The invariants of this package.
const (
	// InvariantStepOrder says that the applied step of a shift only rises.
	InvariantStepOrder invariant.Name = "shift_step_order"
	// InvariantNextStep says that a planned step follows the one that was read.
	InvariantNextStep invariant.Name = "shift_next_step"
	// InvariantEnd says that a shift that has ended stays so.
	InvariantEnd invariant.Name = "shift_end"
	// InvariantDeadline says that no shift is done after its deadline, and none
	// that has not ended is applied past it.
	InvariantDeadline invariant.Name = "shift_deadline"
)

// Tracker holds the newest known record of each shift on one instance,
// whether it came from the store or from a peer.
type Tracker[O comparable] struct {
	kind    Kind[O]
	checker *invariant.Checker
	records map[string]*tracked[O]
}

type tracked[O comparable] struct {
	record *Record[O]
	value  []byte
	// seenAt is when this process first saw the step, by its monotonic clock.
	seenAt time.Time
}

// sinceSeen returns the time since this process first saw the step; 0 when it
// saw it before it was told the time.
func (t *tracked[O]) sinceSeen(now time.Time) time.Duration {
	if t.seenAt.IsZero() {
		return 0
	}
	return now.Sub(t.seenAt)
}

// Adopt takes in a stored record and reports whether it is newer than the one
// known before.
func (t *Tracker[O]) Adopt(now time.Time, value []byte) (bool, error) {
	r, err := Decode[O](value)
	if err != nil {
		return false, err
	}
	return t.learn(now, r, value), nil
}

func (t *Tracker[O]) learn(now time.Time, r *Record[O], value []byte) bool {
	known := t.records[r.Name]
	if known != nil && r.Step <= known.record.Step || expired(now, r) {
		return false
	}
	inOrder := known == nil || r.Step > known.record.Step
	t.checker.Check(inOrder, InvariantStepOrder, r.Name+": an older step was applied")
	t.records[r.Name] = &tracked[O]{record: r, value: value, seenAt: now}
	return true
}

// Record returns the newest known record of the name, or nil.
func (t *Tracker[O]) Record(name string) *Record[O] {
	if known := t.records[name]; known != nil {
		return known.record
	}
	return nil
}

// Steps returns the newest known step of each shift by its key in the store.
func (t *Tracker[O]) Steps() map[string]uint64 {
	steps := make(map[string]uint64, len(t.records))
	for name, known := range t.records {
		steps[t.kind.Prefix+name] = known.record.Step
	}
	return steps
}

// NewerThan returns the stored forms of the records that have a higher step
// than the given one, by key in the store.
func (t *Tracker[O]) NewerThan(steps map[string]uint64) map[string][]byte {
	newer := map[string][]byte{}
	for name, known := range t.records {
		key := t.kind.Prefix + name
		if known.record.Step > steps[key] {
			newer[key] = known.value
		}
	}
	return newer
}

// Elapsed returns the time since the start of the shift, see the package
// comment.
func (t *Tracker[O]) Elapsed(now time.Time, name string) time.Duration {
	known := t.records[name]
	if known == nil {
		return 0
	}
	own := known.record.Elapsed + known.sinceSeen(now)
	wall := now.Round(0).Sub(known.record.StartedAt) - ClockTolerance
	return max(own, wall, 0)
}

// Share returns the share that this instance applies for the object: that of
// the newest record of the object, or 0 once the deadline is near and the shift
// has not ended.
func (t *Tracker[O]) Share(now time.Time, object O) float64 {
	name := t.kind.Name(object)
	known := t.records[name]
	if known == nil || known.record.Object != object || known.record.Removed {
		return 0
	}
	if known.record.State == TakenBack {
		return 0
	}
	if known.record.State != Done && t.overdue(now, known.record) {
		return 0
	}
	share := known.record.Share
	inTime := known.record.State == Done || t.Elapsed(now, name) < t.kind.Deadline(object)
	t.checker.Check(inTime || share == 0, InvariantDeadline, name+": applied past its deadline")
	return share
}

func (t *Tracker[O]) overdue(now time.Time, r *Record[O]) bool {
	deadline := t.kind.Deadline(r.Object)
	return t.Elapsed(now, r.Name) >= deadline-localMargin(deadline)
}

// prune drops the records of objects that were removed long ago, since peers do
// not pass deletions on. Records that were seen before the first tick count as
// seen now.
func (t *Tracker[O]) prune(now time.Time) {
	for name, known := range t.records {
		if known.seenAt.IsZero() {
			known.seenAt = now
		}
		if expired(now, known.record) {
			delete(t.records, name)
		}
	}
}

func expired[O comparable](now time.Time, r *Record[O]) bool {
	return r.Removed && now.Round(0).Sub(r.StepAt) > TombstoneAge
}

// forget drops the record of a name that has been deleted from the store.
func (t *Tracker[O]) forget(name string) { delete(t.records, name) }
