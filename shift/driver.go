package shift

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/reconcile"
)

// Kind defines the policy of one kind of shift.
type Kind[O comparable] struct {
	// Prefix is the prefix of the store keys; the name of the object follows it.
	Prefix string
	// Name and Deadline return the name and the deadline of an object.
	Name     func(object O) string
	Deadline func(object O) time.Duration
	// Start returns the first state of a generation. The previous record is nil
	// when there is none.
	Start func(previous *Record[O], object O) Change
	// Next returns the change that follows the record, or false for no change.
	Next func(now time.Time, progress Progress, record *Record[O]) (Change, bool)
}

// Progress holds the durations on which the next change of a shift depends.
type Progress struct {
	// Elapsed is the time since the start.
	Elapsed time.Duration
	// SinceStep is the time since this process first saw the step.
	SinceStep time.Duration
}

// Driver plans the steps of all shifts of one kind. It implements
// reconcile.Reconciler. Every instance has one, since it also tracks the records
// that the instance applies; only the holder of the control lease calls Plan. It
// is not safe for concurrent use.
type Driver[O comparable] struct {
	*Tracker[O]
	objects     map[string]O
	version     uint64
	stored      map[string]*storedRecord[O]
	lastPlanned string
	now         time.Time
}

// storedRecord is the last known content of the store under one key. The record
// is nil when the key was deleted.
type storedRecord[O comparable] struct {
	record   *Record[O]
	revision platform.Revision
	// version is the highest configuration version of any record of the name.
	version uint64
}

var _ reconcile.Reconciler = (*Driver[struct{}])(nil)

// NewDriver returns a driver without records. The checker may be nil.
func NewDriver[O comparable](kind Kind[O], checker *invariant.Checker) *Driver[O] {
	return &Driver[O]{
		Tracker: &Tracker[O]{kind: kind, checker: checker, records: map[string]*trackedRecord[O]{}},
		stored:  map[string]*storedRecord[O]{},
	}
}

// Configure sets the objects of a configuration version. Versions older than the
// newest one seen are ignored.
func (d *Driver[O]) Configure(version uint64, objects []O) {
	if version < d.version {
		return
	}
	d.version = version
	d.objects = make(map[string]O, len(objects))
	for _, object := range objects {
		d.objects[d.kind.Name(object)] = object
	}
}

// Tick sets the time that Observe assigns to new steps and drops expired records.
// It must be called often on every instance.
func (d *Driver[O]) Tick(now time.Time) {
	d.now = now
	d.prune(now)
}

// Observe applies an entry of the store. Entries with another prefix, entries
// that are not newer than the known revision and invalid records are ignored.
func (d *Driver[O]) Observe(entry platform.Entry) {
	name, found := strings.CutPrefix(entry.Key, d.kind.Prefix)
	if !found {
		return
	}
	known := d.stored[name]
	if known != nil && entry.Revision <= known.revision {
		return
	}
	if entry.Deleted {
		d.applyDeletion(name, entry.Revision)
		return
	}
	r, err := Decode[O](entry.Value)
	if err != nil {
		return
	}
	next := &storedRecord[O]{record: r, revision: entry.Revision, version: r.ConfigVersion}
	if known != nil {
		next.version = max(next.version, known.version)
		d.checkOrder(known.record, r)
	}
	d.stored[name] = next
	d.adopt(d.now, r, entry.Value)
}

func (d *Driver[O]) applyDeletion(name string, revision platform.Revision) {
	next := &storedRecord[O]{revision: revision}
	if known := d.stored[name]; known != nil {
		next.version = known.version
	}
	d.stored[name] = next
	d.remove(name)
}

// checkOrder checks the invariants between two revisions of a record.
func (d *Driver[O]) checkOrder(earlier, later *Record[O]) {
	if earlier == nil {
		return
	}
	d.checker.Check(later.Step > earlier.Step, InvariantStepOrder, later.Name+": a later revision has no higher step")
	sameGeneration := later.ConfigVersion == earlier.ConfigVersion
	reopened := earlier.Ended() && !later.Ended() || earlier.State == TakenBack && later.State == Done
	d.checker.Check(!sameGeneration || !reopened, InvariantEndIsFinal, later.Name+": an ended shift was reopened")
}

// Plan returns the next write, or false if there is none. Names are planned in
// round-robin order.
func (d *Driver[O]) Plan(now time.Time) (reconcile.Write, bool) {
	d.now = now
	for _, name := range d.planningOrder() {
		if write, ok := d.planName(now, name); ok {
			d.lastPlanned = name
			return write, true
		}
	}
	return reconcile.Write{}, false
}

// Done applies the result of a write. A write with an error has no effect.
func (d *Driver[O]) Done(write reconcile.Write, revision platform.Revision, err error) {
	if err != nil {
		return
	}
	if write.Delete {
		d.applyDeletion(strings.TrimPrefix(write.Key, d.kind.Prefix), write.Expected)
		return
	}
	d.Observe(platform.Entry{Key: write.Key, Value: write.Value, Revision: revision})
}

// planningOrder returns all names in sorted order, starting after the one planned
// last.
func (d *Driver[O]) planningOrder() []string {
	names := slices.Collect(maps.Keys(d.objects))
	for name, known := range d.stored {
		if _, ok := d.objects[name]; !ok && known.record != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start, _ := slices.BinarySearch(names, d.lastPlanned+"\x00")
	return append(names[start:], names[:start]...)
}

func (d *Driver[O]) planName(now time.Time, name string) (reconcile.Write, bool) {
	object, exists := d.objects[name]
	known := d.stored[name]
	if known == nil || known.record == nil {
		if !exists || known != nil && known.version >= d.version {
			return reconcile.Write{}, false
		}
		return d.write(known, d.newGeneration(now, nil, object))
	}
	r := known.record
	if r.ConfigVersion > d.version {
		return reconcile.Write{}, false
	}
	if !exists {
		return d.planRemoved(now, known)
	}
	if r.Object != object || r.Removed {
		if r.ConfigVersion == d.version {
			return reconcile.Write{}, false
		}
		return d.write(known, d.newGeneration(now, r, object))
	}
	return d.planNext(now, known)
}

func (d *Driver[O]) planNext(now time.Time, known *storedRecord[O]) (reconcile.Write, bool) {
	r := known.record
	progress := Progress{Elapsed: d.Elapsed(now, r.Name), SinceStep: d.sinceStep(now, r)}
	change, ok := d.kind.Next(now, progress, r)
	if !ok {
		return reconcile.Write{}, false
	}
	return d.write(known, d.nextRecord(now, r, change))
}

// planRemoved takes back the shift of a removed object, and deletes its record
// when it is older than TombstoneAge.
func (d *Driver[O]) planRemoved(now time.Time, known *storedRecord[O]) (reconcile.Write, bool) {
	r := known.record
	if !r.Removed {
		change := Change{State: TakenBack, Reason: ReasonRemoved}
		if r.State == TakenBack {
			change.Reason, change.Detail = r.Reason, r.Detail
		}
		next := d.nextRecord(now, r, change)
		next.Removed = true
		next.ConfigVersion = d.version
		return d.write(known, next)
	}
	if !expired(now, r) {
		return reconcile.Write{}, false
	}
	return reconcile.Write{Key: d.kind.Prefix + r.Name, Expected: known.revision, Delete: true}, true
}

func (d *Driver[O]) sinceStep(now time.Time, r *Record[O]) time.Duration {
	known := d.records[r.Name]
	if known == nil || known.record.Step != r.Step {
		return 0
	}
	return known.sinceSeen(now)
}

func (d *Driver[O]) newGeneration(now time.Time, previous *Record[O], object O) *Record[O] {
	change := d.kind.Start(previous, object)
	r := &Record[O]{
		Name:          d.kind.Name(object),
		ConfigVersion: d.version,
		Object:        object,
		Step:          d.version * stepsPerVersion,
		State:         change.State,
		Share:         change.Share,
		StartedAt:     now.Round(0).UTC(),
		StepAt:        now.Round(0).UTC(),
		Reason:        change.Reason,
		Detail:        change.Detail,
	}
	if previous != nil {
		r.Step = previous.Step + 1
	}
	return r
}

func (d *Driver[O]) nextRecord(now time.Time, previous *Record[O], change Change) *Record[O] {
	next := *previous
	next.Step++
	next.State = change.State
	next.Share = change.Share
	next.Reason = change.Reason
	next.Detail = change.Detail
	next.StepAt = now.Round(0).UTC()
	next.Elapsed = d.Elapsed(now, previous.Name)
	return &next
}

func (d *Driver[O]) write(known *storedRecord[O], next *Record[O]) (reconcile.Write, bool) {
	value, err := json.Marshal(next)
	if err != nil {
		return reconcile.Write{}, false
	}
	write := reconcile.Write{Key: d.kind.Prefix + next.Name, Value: value}
	if known != nil && known.record != nil {
		write.Expected = known.revision
		d.checker.Check(next.Step == known.record.Step+1, InvariantNextStep, next.Name)
	}
	if next.State == Done {
		d.checker.Check(next.Elapsed < d.kind.Deadline(next.Object), InvariantDeadline, next.Name+": done after its deadline")
	}
	return write, true
}
