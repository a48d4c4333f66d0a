package sharetable

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/reconcile"
)

// Defaults of DriverSettings.
const (
	// DefaultWriteInterval is the least time between two writes.
	DefaultWriteInterval = 1 * time.Second
	// DefaultGoneAfter is how long an instance must be unlisted and unheard.
	DefaultGoneAfter = 30 * time.Second
	// DefaultViewMaxAge is the age over which a view is not used.
	DefaultViewMaxAge = 5 * time.Second
	// DefaultBytesPerSecond bounds the growth of the write interval.
	DefaultBytesPerSecond = 8 << 10
)

// DriverSettings are the settings of a Driver. Zero values mean the defaults.
type DriverSettings struct {
	// WriteInterval is the least time between two writes. Joins, departures
	// and acknowledgements of an interval go into one write.
	WriteInterval time.Duration
	// BytesPerSecond is what each member may spend on reading the table: the
	// write interval is at least the size of the table divided by it.
	BytesPerSecond int
	// GoneAfter is how long the platform's list must lack an instance, and
	// nothing must hear from it, before its limit is emptied, and then again
	// before its ranges are taken back. It must exceed the lag of the list.
	GoneAfter time.Duration
	// ViewMaxAge is the longest gap between two views. After a longer one the
	// absence of instances is counted anew.
	ViewMaxAge time.Duration
	Checker    *invariant.Checker
	// Log receives refusals to write; nil logs nothing.
	Log *zap.Logger
}

// Candidate is an entry instance in a View.
type Candidate struct {
	// Name is the address that serves callers.
	Name         string
	Incarnation  string
	WitnessGroup string
	// Listed is set when the platform's list has it.
	Listed bool
	// Reachable is set when it answered within the failure detector's bound.
	Reachable bool
	// Leaving is set when it, or the platform, says that it shuts down.
	Leaving bool
}

// View is what the driver's instance knows of the others, itself included.
type View struct {
	Candidates []Candidate
	// ListRead is set when the platform's list is fresh. Without it no
	// instance is counted as absent.
	ListRead bool
}

// Driver plans the changes of the share table. It implements
// reconcile.Reconciler. Several drivers may run at once.
type Driver struct {
	settings DriverSettings
	table    *Table
	revision platform.Revision
	size     int
	planned  *Table

	view     map[string]Candidate
	viewAt   time.Time
	absent   map[string]time.Time
	emptied  map[string]time.Time
	acks     map[string]acknowledgement
	groups   map[string]*agreement
	nextPlan time.Time
}

var _ reconcile.Reconciler = (*Driver)(nil)

// NewDriver returns a driver that knows of no table and no instance.
func NewDriver(settings DriverSettings) *Driver {
	if settings.WriteInterval <= 0 {
		settings.WriteInterval = DefaultWriteInterval
	}
	if settings.BytesPerSecond <= 0 {
		settings.BytesPerSecond = DefaultBytesPerSecond
	}
	if settings.GoneAfter <= 0 {
		settings.GoneAfter = DefaultGoneAfter
	}
	if settings.ViewMaxAge <= 0 {
		settings.ViewMaxAge = DefaultViewMaxAge
	}
	return &Driver{
		settings: settings,
		absent:   map[string]time.Time{},
		emptied:  map[string]time.Time{},
		acks:     map[string]acknowledgement{},
		groups:   map[string]*agreement{},
	}
}

// Table returns the newest table that the driver has observed, or nil.
func (d *Driver) Table() *Table { return d.table }

// SetMembers replaces the view. It is called at a steady interval, shorter
// than ViewMaxAge, for as long as the driver plans.
func (d *Driver) SetMembers(now time.Time, view View) {
	if now.Sub(d.viewAt) > d.settings.ViewMaxAge || !view.ListRead {
		clear(d.absent)
	}
	d.viewAt = now
	d.view = make(map[string]Candidate, len(view.Candidates))
	for _, c := range view.Candidates {
		d.view[c.Name] = c
	}
	if view.ListRead {
		d.countAbsence(now)
	}
}

func (d *Driver) countAbsence(now time.Time) {
	if d.table == nil {
		return
	}
	maps.DeleteFunc(d.absent, func(name string, _ time.Time) bool { return !d.isMember(name) })
	maps.DeleteFunc(d.acks, func(name string, _ acknowledgement) bool { return !d.isMember(name) })
	for name := range d.table.Members {
		c := d.view[name]
		if c.Listed || c.Reachable {
			delete(d.absent, name)
			continue
		}
		if _, counted := d.absent[name]; !counted {
			d.absent[name] = now
		}
	}
}

func (d *Driver) isMember(name string) bool {
	_, member := d.table.Members[name]
	return member
}

// gone says whether there is evidence that the member's process has stopped.
func (d *Driver) gone(now time.Time, name string) bool {
	since, absent := d.absent[name]
	return absent && now.Sub(since) >= d.settings.GoneAfter
}

// fenced says whether the member is gone and nothing can have taken its place:
// its limit has been empty for another GoneAfter, so that a process that took
// it over before that would be on the platform's list by now.
func (d *Driver) fenced(now time.Time, name string) bool {
	since, emptied := d.emptied[name]
	return emptied && d.gone(now, name) && now.Sub(since) >= d.settings.GoneAfter
}

// countEmptied follows which members are gone and have an empty limit.
func (d *Driver) countEmptied(now time.Time) {
	for name := range d.emptied {
		if !d.gone(now, name) {
			delete(d.emptied, name)
		}
	}
	for name, e := range d.table.Members {
		_, counted := d.emptied[name]
		if !counted && d.gone(now, name) && len(e.Limit) == 0 {
			d.emptied[name] = now
		}
	}
}

// Ack takes in the answer of a member that arrived at now. AskedAt is by the
// clock of this process; an answer to an earlier question than one already
// taken in is ignored.
func (d *Driver) Ack(now time.Time, a Answer) {
	old, known := d.acks[a.Name]
	if known && !a.AskedAt.After(old.askedAt) {
		return
	}
	ack := acknowledgement{incarnation: a.Incarnation, applied: a.Applied, askedAt: a.AskedAt, since: now}
	if known && old.incarnation == a.Incarnation {
		ack.since = old.since
	}
	d.acks[a.Name] = ack
}

// Observe takes in the record as read from the store.
func (d *Driver) Observe(entry platform.Entry) {
	if entry.Key != platform.KeyShares || entry.Revision <= d.revision {
		return
	}
	if entry.Deleted {
		d.revision = 0
		return
	}
	t, err := Decode(entry.Value)
	if err != nil {
		d.refuse(err)
		return
	}
	if d.table != nil && t.Version < d.table.Version {
		d.refuse(errors.Newf("share table went back from version %d to %d", d.table.Version, t.Version))
		return
	}
	d.table = t
	d.revision = entry.Revision
	d.size = len(entry.Value)
}

// Plan returns the next change of the table.
func (d *Driver) Plan(now time.Time) (reconcile.Write, bool) {
	if now.Before(d.nextPlan) || now.Sub(d.viewAt) > d.settings.ViewMaxAge {
		return reconcile.Write{}, false
	}
	next, changed := d.next(now)
	if !changed || !next.checkInvariants(d.settings.Checker, d.table) {
		return reconcile.Write{}, false
	}
	value, err := next.Encode()
	if err != nil || len(value) > platform.MaxValueBytes {
		d.refuse(errors.Newf("share table of %d bytes cannot be stored", len(value)))
		return reconcile.Write{}, false
	}
	d.planned = next
	d.nextPlan = now.Add(d.interval(len(value)))
	return reconcile.Write{Key: platform.KeyShares, Value: value, Expected: d.revision}, true
}

// Done takes in the result of the write.
func (d *Driver) Done(write reconcile.Write, revision platform.Revision, err error) {
	if err != nil || d.planned == nil {
		d.planned = nil
		return
	}
	d.table = d.planned
	d.revision = revision
	d.size = len(write.Value)
	d.planned = nil
}

func (d *Driver) interval(size int) time.Duration {
	reading := time.Duration(size) * time.Second / time.Duration(d.settings.BytesPerSecond)
	return max(d.settings.WriteInterval, reading)
}

func (d *Driver) refuse(err error) {
	if d.settings.Log != nil {
		d.settings.Log.Error("share table not usable", zap.Error(err))
	}
}
