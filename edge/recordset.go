package edge

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"samphireferry.example/ferry/platform"
)

// minCompactedChanges is the number of changes below which none are removed.
const minCompactedChanges = 64

// recordSet holds the latest entries of the store, deleted ones included. It is not safe for
// concurrent use, and must not be changed during an iteration.
type recordSet struct {
	// groups holds the entries by the first part of their keys and by key, so that many
	// entries of one kind cost nothing when another kind is read.
	groups map[string]map[string]platform.Entry
	count  int
	// changes holds each put, oldest revision first if sorted is set. Those that a later put
	// of the same key replaced are removed from time to time.
	changes []recordChange
	sorted  bool
}

// recordChange is the put of an entry.
type recordChange struct {
	revision platform.Revision
	key      string
}

func newRecordSet() *recordSet {
	return &recordSet{groups: map[string]map[string]platform.Entry{}, sorted: true}
}

// group returns the first part of a key, with the slash.
func group(key string) string { return key[:strings.IndexByte(key, '/')+1] }

// get returns the entry with the key, or the zero value.
func (s *recordSet) get(key string) platform.Entry { return s.groups[group(key)][key] }

// put stores an entry, whose revision must not be below that of the present one.
func (s *recordSet) put(entry platform.Entry) {
	name := group(entry.Key)
	if s.groups[name] == nil {
		s.groups[name] = map[string]platform.Entry{}
	}
	old, ok := s.groups[name][entry.Key]
	s.groups[name][entry.Key] = entry
	if ok && old.Revision == entry.Revision {
		return
	}
	if !ok {
		s.count++
	}
	if len(s.changes) > 0 && s.changes[len(s.changes)-1].revision > entry.Revision {
		s.sorted = false
	}
	s.changes = append(s.changes, recordChange{entry.Revision, entry.Key})
	if len(s.changes) >= max(2*s.count, minCompactedChanges) {
		s.changes = slices.DeleteFunc(s.changes, s.replaced)
	}
}

// replaced reports whether a later put of the same key replaced the change.
func (s *recordSet) replaced(change recordChange) bool {
	return s.get(change.key).Revision != change.revision
}

// all returns all entries in no particular order.
func (s *recordSet) all() iter.Seq[platform.Entry] {
	return func(yield func(platform.Entry) bool) {
		for _, entries := range s.groups {
			for _, entry := range entries {
				if !yield(entry) {
					return
				}
			}
		}
	}
}

// withPrefix returns the entries whose keys have the prefix, in no particular order. The
// prefix must contain a slash.
func (s *recordSet) withPrefix(prefix string) iter.Seq[platform.Entry] {
	return func(yield func(platform.Entry) bool) {
		for key, entry := range s.groups[group(prefix)] {
			if strings.HasPrefix(key, prefix) && !yield(entry) {
				return
			}
		}
	}
}

// after returns the entries whose revisions are above the given one, oldest first.
func (s *recordSet) after(revision platform.Revision) iter.Seq[platform.Entry] {
	return func(yield func(platform.Entry) bool) {
		if !s.sorted {
			slices.SortStableFunc(s.changes, func(a, b recordChange) int { return cmp.Compare(a.revision, b.revision) })
			s.sorted = true
		}
		first, _ := slices.BinarySearchFunc(s.changes, revision+1, func(c recordChange, r platform.Revision) int { return cmp.Compare(c.revision, r) })
		for _, change := range s.changes[first:] {
			if !s.replaced(change) && !yield(s.get(change.key)) {
				return
			}
		}
	}
}
