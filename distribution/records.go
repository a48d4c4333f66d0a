package distribution

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
)

// The invariants of Records.
const (
	// InvariantRecordRises states that the revision of a record only increases.
	InvariantRecordRises invariant.Name = "record_revision_rises"
	// InvariantRecordUnique states that a revision of a record has only one value.
	InvariantRecordUnique invariant.Name = "record_revision_unique"
)

// maxTombstones is the number of deletions that are kept, so that peers receive
// them.
const maxTombstones = 1024

// Records is a copy of the store's records in which the revision of each record
// only increases.
type Records struct {
	checker  *invariant.Checker
	entries  map[string]platform.Entry
	complete platform.Revision
	// prunedTo is the revision up to which deletions may be missing, because
	// their tombstones were dropped or a full list did not include them.
	prunedTo platform.Revision
	// frozen is set while a snapshot shares the entries; they are copied before
	// the next change.
	frozen bool
}

// NewRecords returns an empty copy.
func NewRecords(checker *invariant.Checker) *Records {
	return &Records{checker: checker, entries: map[string]platform.Entry{}}
}

// Complete returns the revision up to which the copy has every record.
func (r *Records) Complete() platform.Revision { return r.complete }

// Get returns the record with the key, or false if there is none.
func (r *Records) Get(key string) (platform.Entry, bool) {
	entry, ok := r.entries[key]
	return entry, ok && !entry.Deleted
}

// List returns the records whose keys have the prefix, sorted by key.
func (r *Records) List(prefix string) []platform.Entry {
	var list []platform.Entry
	for key, entry := range r.entries {
		if strings.HasPrefix(key, prefix) && !entry.Deleted {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Observe applies one record and reports whether it is newer than the one held.
// It does not raise the revision up to which the copy is complete.
func (r *Records) Observe(entry platform.Entry) bool {
	held, known := r.entries[entry.Key]
	if !known && entry.Revision <= r.complete {
		// The copy is complete at this revision, so the record was deleted since.
		return false
	}
	if known && entry.Revision <= held.Revision {
		r.checkUnique(held, entry)
		return false
	}
	r.put(entry)
	return true
}

// Advance applies the records that changed up to a revision and returns those
// that are newer than the ones held. The entries must include all changes since
// a revision up to which the copy was complete.
func (r *Records) Advance(entries []platform.Entry, revision platform.Revision) []platform.Entry {
	var changes []platform.Entry
	for _, entry := range entries {
		if r.Observe(entry) {
			changes = append(changes, entry)
		}
	}
	r.complete = max(r.complete, revision)
	return changes
}

// Replace applies a full list of the records at a revision and returns the
// changes, deletions included. A held record that is missing from the list is
// deleted unless it is newer than the list's revision or has that revision itself.
func (r *Records) Replace(entries []platform.Entry, revision platform.Revision) []platform.Entry {
	if revision > r.complete {
		r.prunedTo = max(r.prunedTo, revision)
	}
	changes := r.Advance(entries, revision)
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(r.entries)) {
		held := r.entries[key]
		if listed[key] || held.Deleted || held.Revision >= revision {
			continue
		}
		deleted := platform.Entry{Key: key, Revision: revision, Deleted: true}
		r.put(deleted)
		changes = append(changes, deleted)
	}
	return changes
}

// Since returns the records that are newer than the revision, deletions
// included. It returns all records and true if a deletion since then may be
// missing.
func (r *Records) Since(revision platform.Revision) (entries []platform.Entry, full bool) {
	if revision < r.prunedTo {
		return r.List(""), true
	}
	for _, entry := range r.entries {
		if entry.Revision > revision {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, false
}

func (r *Records) put(entry platform.Entry) {
	held := r.entries[entry.Key]
	r.checker.Check(entry.Revision > held.Revision, InvariantRecordRises,
		fmt.Sprintf("record %s: revision %d replaces %d", entry.Key, entry.Revision, held.Revision))
	if r.frozen {
		r.entries = maps.Clone(r.entries)
		r.frozen = false
	}
	r.entries[entry.Key] = entry
	if entry.Deleted {
		r.pruneTombstones()
	}
}

func (r *Records) checkUnique(held, entry platform.Entry) {
	if entry.Revision != held.Revision {
		return
	}
	same := held.Deleted == entry.Deleted && bytes.Equal(held.Value, entry.Value)
	r.checker.Check(same, InvariantRecordUnique,
		fmt.Sprintf("record %s: two values with revision %d", entry.Key, entry.Revision))
}

// pruneTombstones drops the oldest deletion if there are more than
// maxTombstones.
func (r *Records) pruneTombstones() {
	var tombstones []platform.Entry
	for _, entry := range r.entries {
		if entry.Deleted {
			tombstones = append(tombstones, entry)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	oldest := slices.MinFunc(tombstones, func(a, b platform.Entry) int { return int(a.Revision - b.Revision) })
	delete(r.entries, oldest.Key)
	r.prunedTo = max(r.prunedTo, oldest.Revision)
}

// freeze returns an immutable copy; it shares the entries until the next change.
func (r *Records) freeze() *Records {
	r.frozen = true
	snapshot := *r
	return &snapshot
}
