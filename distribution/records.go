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
	// InvariantRecordRises says that the revision of a record only rises.
	InvariantRecordRises invariant.Name = "record_revision_rises"
	// InvariantRecordUnique says that a revision of a record has one value.
	InvariantRecordUnique invariant.Name = "record_revision_unique"
)

// maxTombstones is the number of deleted records that are remembered, so that
// peers learn of the deletion.
const maxTombstones = 1024

// Records is a copy of the store's records in which each record only moves
// forward, by its revision.
type Records struct {
	checker  *invariant.Checker
	entries  map[string]platform.Entry
	complete platform.Revision
	// forgotten is the revision up to which deletions may be missing: their
	// tombstones were dropped, or a full list did not show them.
	forgotten platform.Revision
	// shared says that a snapshot reads the entries; they are copied before
	// the next change.
	shared bool
}

// NewRecords returns an empty copy.
func NewRecords(checker *invariant.Checker) *Records {
	return &Records{checker: checker, entries: map[string]platform.Entry{}}
}

// Complete returns the revision up to which the copy has every record.
func (r *Records) Complete() platform.Revision { return r.complete }

// Get returns the record, or false when there is none.
func (r *Records) Get(key string) (platform.Entry, bool) {
	entry, ok := r.entries[key]
	return entry, ok && !entry.Deleted
}

// List returns the records whose key has the prefix, in key order.
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

// Observe takes in one record and says whether it is newer than the one held.
// It does not make the copy complete up to its revision.
func (r *Records) Observe(entry platform.Entry) bool {
	held, known := r.entries[entry.Key]
	if !known && entry.Revision <= r.complete {
		// The copy is complete beyond it, so it has been deleted since.
		return false
	}
	if known && entry.Revision <= held.Revision {
		r.checkUnique(held, entry)
		return false
	}
	r.put(entry)
	return true
}

// Advance takes in the records that changed up to a revision, and returns
// those that are newer than the ones held. The records must be all that
// changed since a revision that the copy had complete.
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

// Replace takes in all records as they were at a revision, and returns those
// that are newer than the ones held. A held record that is missing from them
// has been deleted, unless it is newer than the revision.
func (r *Records) Replace(entries []platform.Entry, revision platform.Revision) []platform.Entry {
	if revision > r.complete {
		r.forgotten = max(r.forgotten, revision)
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
// included. It returns all records and true when a deletion since then may
// have been forgotten.
func (r *Records) Since(revision platform.Revision) (entries []platform.Entry, full bool) {
	if revision < r.forgotten {
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
	if r.shared {
		r.entries = maps.Clone(r.entries)
		r.shared = false
	}
	r.entries[entry.Key] = entry
	if entry.Deleted {
		r.forgetTombstones()
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

// forgetTombstones drops the oldest deletions beyond maxTombstones.
func (r *Records) forgetTombstones() {
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
	r.forgotten = max(r.forgotten, oldest.Revision)
}

// freeze returns a copy that does not change with this one.
func (r *Records) freeze() *Records {
	r.shared = true
	frozen := *r
	return &frozen
}
