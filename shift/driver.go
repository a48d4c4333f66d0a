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

// Kind is the policy of one kind of shift.
type Kind[O comparable] struct {
	// Prefix precedes the name in the key of the store.
	Prefix string
	// Name and Deadline read the object.
	Name     func(object O) string
	Deadline func(object O) time.Duration
	// Start returns the first state of a generation. The previous record is nil
	// when there is none.
	Start func(previous *Record[O], object O) Change
	// Next returns the change that follows the record, or false to leave it.
	Next func(now time.Time, progress Progress, record *Record[O]) (Change, bool)
}

// Progress is the time that a shift has taken.
type Progress struct {
	// Elapsed is the time since the start.
	Elapsed time.Duration
	// SinceStep is the time since this process first saw the step.
	SinceStep time.Duration
}

// Driver plans the steps of all shifts of one kind. It implements
// reconcile.Reconciler. Every instance has one, since it also tracks what the
// instance applies; only the holder of the control lease calls Plan.
type Driver[O comparable] struct {
	*Tracker[O]
	objects map[string]O
	version uint64
	stored  map[string]*stored[O]
	last    string
	now     time.Time
}

// stored is what the store holds under one key, as far as is known. The record
// is nil when the key was deleted.
type stored[O comparable] struct {
	record   *Record[O]
	revision platform.Revision
	// version is the highest configuration version of any record of the name.
	version uint64
}

var _ reconcile.Reconciler = (*Driver[struct{}])(nil)

// NewDriver returns a driver without records. The checker may be nil.
func NewDriver[O comparable](kind Kind[O], checker *invariant.Checker) *Driver[O] {
	return &Driver[O]{
		Tracker: &Tracker[O]{kind: kind, checker: checker, records: map[string]*tracked[O]{}},
		stored:  map[string]*stored[O]{},
	}
}

// Configure takes in the objects of a configuration version. Older versions
// than the newest seen are ignored.
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

// Tick tells the driver the time. It is called often on every instance, so
// that Observe knows when a step was first seen.
func (d *Driver[O]) Tick(now time.Time) {
	d.now = now
	d.prune(now)
}

// Observe takes in an entry of the store.
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
		d.deleted(name, entry.Revision)
		return
	}
	r, err := Decode[O](entry.Value)
	if err != nil {
		return
	}
	next := &stored[O]{record: r, revision: entry.Revision, version: r.ConfigVersion}
	if known != nil {
		next.version = max(next.version, known.version)
		d.checkOrder(known.record, r)
	}
	d.stored[name] = next
	d.learn(d.now, r, entry.Value)
}

func (d *Driver[O]) deleted(name string, revision platform.Revision) {
	next := &stored[O]{revision: revision}
	if known := d.stored[name]; known != nil {
		next.version = known.version
	}
	d.stored[name] = next
	d.forget(name)
}

// checkOrder checks a record against an earlier revision of it.
func (d *Driver[O]) checkOrder(before, after *Record[O]) {
	if before == nil {
		return
	}
	d.checker.Check(after.Step > before.Step, InvariantStepOrder, after.Name+": a later revision has no higher step")
	sameGeneration := after.ConfigVersion == before.ConfigVersion
	reopened := before.Ended() && !after.Ended() || before.State == TakenBack && after.State == Done
	d.checker.Check(!sameGeneration || !reopened, InvariantEnd, after.Name+": an ended shift went on")
}

// Plan returns the next write. The names take turns.
func (d *Driver[O]) Plan(now time.Time) (reconcile.Write, bool) {
	d.now = now
	for _, name := range d.turns() {
		if write, ok := d.planName(now, name); ok {
			d.last = name
			return write, true
		}
	}
	return reconcile.Write{}, false
}

// Done takes in the result of a write.
func (d *Driver[O]) Done(write reconcile.Write, revision platform.Revision, err error) {
	if err != nil {
		return
	}
	if write.Delete {
		d.deleted(strings.TrimPrefix(write.Key, d.kind.Prefix), write.Expected)
		return
	}
	d.Observe(platform.Entry{Key: write.Key, Value: write.Value, Revision: revision})
}

// turns returns all names, starting after the one planned last.
func (d *Driver[O]) turns() []string {
	names := slices.Collect(maps.Keys(d.objects))
	for name, known := range d.stored {
		if _, ok := d.objects[name]; !ok && known.record != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start, _ := slices.BinarySearch(names, d.last+"\x00")
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

func (d *Driver[O]) planNext(now time.Time, known *stored[O]) (reconcile.Write, bool) {
	r := known.record
	progress := Progress{Elapsed: d.Elapsed(now, r.Name), SinceStep: d.sinceStep(now, r)}
	change, ok := d.kind.Next(now, progress, r)
	if !ok {
		return reconcile.Write{}, false
	}
	return d.write(known, d.follow(now, r, change))
}

// planRemoved takes back the shift of a removed object, and deletes its record
// when it is old enough.
func (d *Driver[O]) planRemoved(now time.Time, known *stored[O]) (reconcile.Write, bool) {
	r := known.record
	if !r.Removed {
		change := Change{State: TakenBack, Reason: ReasonRemoved}
		if r.State == TakenBack {
			change.Reason, change.Detail = r.Reason, r.Detail
		}
		next := d.follow(now, r, change)
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

func (d *Driver[O]) follow(now time.Time, previous *Record[O], change Change) *Record[O] {
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

func (d *Driver[O]) write(known *stored[O], next *Record[O]) (reconcile.Write, bool) {
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
