package usage

import (
	"maps"
	"slices"
)

// SourceReport holds counts of one process.
type SourceReport struct {
	// Source identifies the process.
	Source uint64
	// DoneThrough is the newest window that had ended when the source reported.
	DoneThrough int64
	Windows     map[int64]Counts
}

// Table holds the newest counts of several sources. Only the control goroutine may use it.
type Table struct {
	sources map[uint64]*SourceReport
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{sources: map[uint64]*SourceReport{}} }

// Merge adds a report, parts of which may be known or older than what is known.
func (t *Table) Merge(r SourceReport) {
	known := t.sources[r.Source]
	if known == nil {
		known = &SourceReport{Source: r.Source, DoneThrough: r.DoneThrough, Windows: map[int64]Counts{}}
		t.sources[r.Source] = known
	}
	known.DoneThrough = max(known.DoneThrough, r.DoneThrough)
	for window, counts := range r.Windows {
		if counts.Version > known.Windows[window].Version {
			known.Windows[window] = counts
		}
	}
}

// Prune removes windows before the given one, and sources that have reported none since. Of an
// expected source it keeps the last whole window, which Lacking needs.
func (t *Table) Prune(first int64, expected func(source uint64) bool) {
	for source, r := range t.sources {
		keeps := expected(source)
		maps.DeleteFunc(r.Windows, func(window int64, _ Counts) bool {
			return window < first && !(keeps && window == r.DoneThrough)
		})
		if !keeps && len(r.Windows) == 0 && r.DoneThrough < first {
			delete(t.sources, source)
		}
	}
}

// Sum returns the counts of all sources in the window.
func (t *Table) Sum(window int64) map[string]uint64 {
	sum := map[string]uint64{}
	for _, r := range t.sources {
		for customer, n := range r.Windows[window].Customers {
			sum[customer] += n
		}
	}
	return sum
}

// Knows reports whether any source has reported the window whole.
func (t *Table) Knows(window int64) bool {
	for _, r := range t.sources {
		if r.DoneThrough >= window {
			return true
		}
	}
	return false
}

// Expected is a source that is expected to report, and its failure domain.
type Expected struct {
	Source uint64
	Domain string
}

// Lacking returns an estimate of what the expected sources have not reported of the window, and
// whether all of them have reported it whole.
//
// A source that has not, while others of its failure domain have, was killed or is frozen, and
// has nothing more to report than what it counted in its last second. Where no source of a domain
// has reported the window whole, the domain may be cut off: its sources are taken to count as in
// the last window that they have reported whole, and one that is not known at all, as the mean
// of all others.
func (t *Table) Lacking(window int64, expected []Expected) (lacking map[string]uint64, complete bool) {
	lacking, complete = map[string]uint64{}, true
	reporting := map[string]bool{}
	for _, e := range expected {
		if r := t.sources[e.Source]; r != nil && r.DoneThrough >= window {
			reporting[e.Domain] = true
		}
	}
	unknown := uint64(0)
	for _, e := range expected {
		r := t.sources[e.Source]
		if r != nil && r.DoneThrough >= window {
			continue
		}
		complete = false
		switch {
		case reporting[e.Domain]:
		case r == nil:
			unknown++
		default:
			reported := r.Windows[window].Customers
			for customer, n := range r.Windows[r.DoneThrough].Customers {
				if n > reported[customer] {
					lacking[customer] += n - reported[customer]
				}
			}
		}
	}
	if unknown == 0 {
		return lacking, complete
	}
	known := uint64(max(len(t.sources), 1))
	for customer, n := range t.Sum(window) {
		lacking[customer] += (n*unknown + known - 1) / known
	}
	return lacking, false
}

// Outbox selects what a target has not acknowledged.
type Outbox struct {
	target string
	acked  map[uint64]*ackedReport
}

type ackedReport struct {
	doneThrough int64
	versions    map[int64]uint32
}

// SetTarget names the process to which reports go. A new one has acknowledged nothing.
func (o *Outbox) SetTarget(target string) {
	if target != o.target || o.acked == nil {
		o.target, o.acked = target, map[uint64]*ackedReport{}
	}
}

// Target returns the process to which reports go.
func (o *Outbox) Target() string { return o.target }

// Unacked returns the parts of the report that the target has not acknowledged, of windows up to the last one, and
// false if there are none. Windows before the first open one are sent once and not revised:
// their reports are closed, unless the target is new.
func (o *Outbox) Unacked(r SourceReport, open, last int64) (SourceReport, bool) {
	acked := o.acked[r.Source]
	if acked == nil {
		acked = &ackedReport{doneThrough: -1, versions: map[int64]uint32{}}
	}
	rest := SourceReport{Source: r.Source, DoneThrough: min(r.DoneThrough, last), Windows: map[int64]Counts{}}
	for window, counts := range r.Windows {
		seen := acked.versions[window]
		if window <= last && counts.Version > seen && (seen == 0 || window >= open) {
			rest.Windows[window] = counts
		}
	}
	return rest, len(rest.Windows) > 0 || rest.DoneThrough > acked.doneThrough
}

// Acked records that the target has received the reports.
func (o *Outbox) Acked(target string, reports []SourceReport) {
	if target != o.target {
		return
	}
	for _, r := range reports {
		acked := o.acked[r.Source]
		if acked == nil {
			acked = &ackedReport{versions: map[int64]uint32{}}
			o.acked[r.Source] = acked
		}
		acked.doneThrough = max(acked.doneThrough, r.DoneThrough)
		for window, counts := range r.Windows {
			acked.versions[window] = max(acked.versions[window], counts.Version)
		}
		first := acked.doneThrough - maxWindows
		maps.DeleteFunc(acked.versions, func(window int64, _ uint32) bool { return window < first })
	}
}

// Reports returns the reports of all sources.
func (t *Table) Reports() []SourceReport {
	reports := make([]SourceReport, 0, len(t.sources))
	for _, source := range slices.Sorted(maps.Keys(t.sources)) {
		reports = append(reports, *t.sources[source])
	}
	return reports
}
