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
	// DefaultGoneAfter is how long an instance must be unlisted and out of contact.
	DefaultGoneAfter = 30 * time.Second
	// DefaultViewMaxAge is the age above which a view is not used.
	DefaultViewMaxAge = 5 * time.Second
	// DefaultBytesPerSecond is the bandwidth for reading the table, per member.
	DefaultBytesPerSecond = 8 << 10
)

// DriverSettings are the settings of a Driver. Zero or negative values mean the
// defaults.
type DriverSettings struct {
	// WriteInterval is the least time between two writes. All joins, departures
	// and acknowledgements within an interval are combined into one write.
	WriteInterval time.Duration
	// BytesPerSecond is the bandwidth that each member may use for reading the
	// table: the write interval is at least the size of the table divided by it.
	BytesPerSecond int
	// GoneAfter is how long the platform's list must lack an instance, without any
	// contact with it, before its limit is emptied, and again before its ranges are
	// reclaimed. It must exceed the lag of the list.
	GoneAfter time.Duration
	// ViewMaxAge is the longest gap between two views. After a longer one the
	// absence of instances is measured from the start again.
	ViewMaxAge time.Duration
	// Checker receives violations of invariants; nil drops them.
	Checker *invariant.Checker
	// Log receives errors of reading and writing the table; nil logs nothing.
	Log *zap.Logger
}

// Candidate is an entry instance in a View.
type Candidate struct {
	// Name is the address that serves callers.
	Name         string
	Incarnation  string
	WitnessGroup string
	// Listed is set when the platform's list contains it.
	Listed bool
	// Reachable is set when it responded within the failure detector's bound.
	Reachable bool
	// Leaving is set when it, or the platform, reports that it shuts down.
	Leaving bool
}

// View is what the driver's instance knows of all instances, itself included.
type View struct {
	Candidates []Candidate
	// ListRead is set when the platform's list is up to date. Otherwise no instance
	// counts as absent.
	ListRead bool
}

// Driver plans the changes of the share table. It implements
// reconcile.Reconciler. Several instances may run a driver at the same time.
type Driver struct {
	settings DriverSettings
	table    *Table
	revision platform.Revision
	size     int
	planned  *Table

	view         map[string]Candidate
	viewAt       time.Time
	absentSince  map[string]time.Time
	emptiedSince map[string]time.Time
	acks         map[string]acknowledgement
	groups       map[string]*agreement
	nextPlan     time.Time
}

var _ reconcile.Reconciler = (*Driver)(nil)

// NewDriver returns a driver without a table and without a view.
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
		settings:     settings,
		absentSince:  map[string]time.Time{},
		emptiedSince: map[string]time.Time{},
		acks:         map[string]acknowledgement{},
		groups:       map[string]*agreement{},
	}
}

// Table returns the newest table that the driver has observed, or nil.
func (d *Driver) Table() *Table { return d.table }

// SetMembers replaces the view. It must be called regularly, at an interval shorter
// than ViewMaxAge, for as long as the driver plans.
func (d *Driver) SetMembers(now time.Time, view View) {
	if now.Sub(d.viewAt) > d.settings.ViewMaxAge || !view.ListRead {
		clear(d.absentSince)
	}
	d.viewAt = now
	d.view = make(map[string]Candidate, len(view.Candidates))
	for _, c := range view.Candidates {
		d.view[c.Name] = c
	}
	if view.ListRead {
		d.trackAbsence(now)
	}
}

// trackAbsence updates since when each member has been neither listed nor reachable.
func (d *Driver) trackAbsence(now time.Time) {
	if d.table == nil {
		return
	}
	maps.DeleteFunc(d.absentSince, func(name string, _ time.Time) bool { return !d.isMember(name) })
	maps.DeleteFunc(d.acks, func(name string, _ acknowledgement) bool { return !d.isMember(name) })
	for name := range d.table.Members {
		c := d.view[name]
		if c.Listed || c.Reachable {
			delete(d.absentSince, name)
			continue
		}
		if _, tracked := d.absentSince[name]; !tracked {
			d.absentSince[name] = now
		}
	}
}

func (d *Driver) isMember(name string) bool {
	_, member := d.table.Members[name]
	return member
}

// gone reports whether there is evidence that the member's process has stopped.
func (d *Driver) gone(now time.Time, name string) bool {
	since, absent := d.absentSince[name]
	return absent && now.Sub(since) >= d.settings.GoneAfter
}

// fenced reports whether the member is gone and no process can have replaced it:
// its limit has been empty for another GoneAfter, so that a process that adopted
// the limit before that would be on the platform's list by now.
func (d *Driver) fenced(now time.Time, name string) bool {
	since, emptied := d.emptiedSince[name]
	return emptied && d.gone(now, name) && now.Sub(since) >= d.settings.GoneAfter
}

// trackEmptied updates since when each member has been gone with an empty limit.
func (d *Driver) trackEmptied(now time.Time) {
	for name := range d.emptiedSince {
		if !d.gone(now, name) {
			delete(d.emptiedSince, name)
		}
	}
	for name, e := range d.table.Members {
		_, tracked := d.emptiedSince[name]
		if !tracked && d.gone(now, name) && len(e.Limit) == 0 {
			d.emptiedSince[name] = now
		}
	}
}

// Ack records the state that a member reported, received at now. AskedAt is by the
// clock of this process; a response to a request that is not newer than the last
// recorded one is ignored.
func (d *Driver) Ack(now time.Time, a MemberState) {
	old, known := d.acks[a.Name]
	if known && !a.AskedAt.After(old.askedAt) {
		return
	}
	ack := acknowledgement{incarnation: a.Incarnation, applied: a.Applied, askedAt: a.AskedAt, firstSeen: now}
	if known && old.incarnation == a.Incarnation {
		ack.firstSeen = old.firstSeen
	}
	d.acks[a.Name] = ack
}

// Observe records the table as read from the store. Entries with other keys or with
// old revisions are ignored.
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
		d.logError(err)
		return
	}
	if d.table != nil && t.Version < d.table.Version {
		d.logError(errors.Newf("share table went back from version %d to %d", d.table.Version, t.Version))
		return
	}
	d.table = t
	d.revision = entry.Revision
	d.size = len(entry.Value)
}

// Plan returns the next write of the table, if there is one.
func (d *Driver) Plan(now time.Time) (reconcile.Write, bool) {
	if now.Before(d.nextPlan) || now.Sub(d.viewAt) > d.settings.ViewMaxAge {
		return reconcile.Write{}, false
	}
	next, changed := d.nextTable(now)
	if !changed || !next.checkInvariants(d.settings.Checker, d.table) {
		return reconcile.Write{}, false
	}
	value, err := next.Encode()
	if err != nil || len(value) > platform.MaxValueBytes {
		d.logError(errors.Newf("share table of %d bytes cannot be stored", len(value)))
		return reconcile.Write{}, false
	}
	d.planned = next
	d.nextPlan = now.Add(d.writeInterval(len(value)))
	return reconcile.Write{Key: platform.KeyShares, Value: value, Expected: d.revision}, true
}

// Done records the result of the planned write. After a failed one the table stays
// as it was observed last.
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

// writeInterval returns the time to wait after writing a table of size bytes.
func (d *Driver) writeInterval(size int) time.Duration {
	readTime := time.Duration(size) * time.Second / time.Duration(d.settings.BytesPerSecond)
	return max(d.settings.WriteInterval, readTime)
}

// logError logs that a table cannot be read or written.
func (d *Driver) logError(err error) {
	if d.settings.Log != nil {
		d.settings.Log.Error("share table not usable", zap.Error(err))
	}
}
