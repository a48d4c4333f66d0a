package shift

import (
	"time"

	"samphireferry.example/ferry/invariant"
)

// The invariants of this package.
const (
	// InvariantStepOrder states that the applied step of a shift never decreases.
	InvariantStepOrder invariant.Name = "shift_step_order"
	// InvariantNextStep states that a planned step follows the stored one.
	InvariantNextStep invariant.Name = "shift_next_step"
	// InvariantEndIsFinal states that a shift that has ended does not reopen
	// within its generation.
	InvariantEndIsFinal invariant.Name = "shift_end"
	// InvariantDeadline states that no shift becomes done after its deadline, and
	// that none that has not ended is applied past it.
	InvariantDeadline invariant.Name = "shift_deadline"
)

// Tracker holds the newest known record of each shift on one instance,
// whether it came from the store or from a peer.
type Tracker[O comparable] struct {
	kind    Kind[O]
	checker *invariant.Checker
	records map[string]*trackedRecord[O]
}

// trackedRecord is a record with its stored form.
type trackedRecord[O comparable] struct {
	record *Record[O]
	value  []byte
	// seenAt is when this process first saw the step, by its monotonic clock.
	seenAt time.Time
}

// sinceSeen returns the time since this process first saw the step, or 0 when it
// saw the step before the first Tick.
func (t *trackedRecord[O]) sinceSeen(now time.Time) time.Duration {
	if t.seenAt.IsZero() {
		return 0
	}
	return now.Sub(t.seenAt)
}

// Adopt replaces the known record of a name if the given stored form has a higher
// step and has not expired, and reports whether it did. It returns an error if
// the stored form is invalid.
func (t *Tracker[O]) Adopt(now time.Time, value []byte) (bool, error) {
	r, err := Decode[O](value)
	if err != nil {
		return false, err
	}
	return t.adopt(now, r, value), nil
}

func (t *Tracker[O]) adopt(now time.Time, r *Record[O], value []byte) bool {
	known := t.records[r.Name]
	if known != nil && r.Step <= known.record.Step || expired(now, r) {
		return false
	}
	inOrder := known == nil || r.Step > known.record.Step
	t.checker.Check(inOrder, InvariantStepOrder, r.Name+": an older step was applied")
	t.records[r.Name] = &trackedRecord[O]{record: r, value: value, seenAt: now}
	return true
}

// Record returns the newest known record of the name, or nil.
func (t *Tracker[O]) Record(name string) *Record[O] {
	if known := t.records[name]; known != nil {
		return known.record
	}
	return nil
}

// Steps returns the newest known step of each shift by store key.
func (t *Tracker[O]) Steps() map[string]uint64 {
	steps := make(map[string]uint64, len(t.records))
	for name, known := range t.records {
		steps[t.kind.Prefix+name] = known.record.Step
	}
	return steps
}

// NewerThan returns the stored forms of the records that have a higher step than
// in steps, by store key.
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

// Elapsed returns the time since the start of the shift as defined in the package
// comment, or 0 for an unknown name.
func (t *Tracker[O]) Elapsed(now time.Time, name string) time.Duration {
	known := t.records[name]
	if known == nil {
		return 0
	}
	monotonic := known.record.Elapsed + known.sinceSeen(now)
	wallClock := now.Round(0).Sub(known.record.StartedAt) - ClockTolerance
	return max(monotonic, wallClock, 0)
}

// Share returns the share that this instance applies for the object: that of the
// newest record of exactly this object. It is 0 without such a record, when the
// shift is taken back, and once the deadline is near and the shift has not ended.
func (t *Tracker[O]) Share(now time.Time, object O) float64 {
	name := t.kind.Name(object)
	known := t.records[name]
	if known == nil || known.record.Object != object || known.record.Removed {
		return 0
	}
	if known.record.State == TakenBack {
		return 0
	}
	if known.record.State != Done && t.nearDeadline(now, known.record) {
		return 0
	}
	share := known.record.Share
	inTime := known.record.State == Done || t.Elapsed(now, name) < t.kind.Deadline(object)
	t.checker.Check(inTime || share == 0, InvariantDeadline, name+": applied past its deadline")
	return share
}

func (t *Tracker[O]) nearDeadline(now time.Time, r *Record[O]) bool {
	deadline := t.kind.Deadline(r.Object)
	return t.Elapsed(now, r.Name) >= deadline-localMargin(deadline)
}

// prune drops the records of objects that were removed more than TombstoneAge
// ago, since peers do not exchange deletions. Records that were seen before the
// first Tick count as seen now.
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

// remove drops the record of a name that has been deleted from the store.
func (t *Tracker[O]) remove(name string) { delete(t.records, name) }
