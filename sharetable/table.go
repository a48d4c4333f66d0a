package sharetable

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/invariant"
)

// The invariants of this package.
const (
	// InvariantHeldDisjoint requires that no part is held by two members.
	InvariantHeldDisjoint invariant.Name = "shares_held_disjoint"
	// InvariantLimitHeld requires that the Limit of each member is a subset of its Held.
	InvariantLimitHeld invariant.Name = "shares_limit_within_held"
	// InvariantVersionRises requires that a table has a higher version than the one it
	// replaces.
	InvariantVersionRises invariant.Name = "shares_version_rises"
	// InvariantMonotone requires that a member never returns to an older table.
	InvariantMonotone invariant.Name = "shares_member_monotone"
)

// Entry is one member of a Table.
type Entry struct {
	// Incarnation is the process that was last seen at the member's address.
	Incarnation string
	// WitnessGroup names the group whose members attest each other's tables.
	WitnessGroup string
	// Limit is what the member may use.
	Limit Ranges
	// Held is what the member may still be using.
	Held Ranges
	// LoweredAt is the table version that last lowered Limit below Held.
	LoweredAt uint64
	// Leaving is set on a member that is shutting down.
	Leaving bool
}

// entryJSON is the stored form of an Entry. Held is left out when it equals
// Limit.
type entryJSON struct {
	Incarnation  string  `json:"i"`
	WitnessGroup string  `json:"g"`
	Limit        Ranges  `json:"l,omitempty"`
	Held         *Ranges `json:"h,omitempty"`
	LoweredAt    uint64  `json:"v,omitempty"`
	Leaving      bool    `json:"x,omitempty"`
}

// MarshalJSON returns the stored form.
func (e Entry) MarshalJSON() ([]byte, error) {
	stored := entryJSON{e.Incarnation, e.WitnessGroup, e.Limit, nil, e.LoweredAt, e.Leaving}
	if !e.Held.Equal(e.Limit) {
		stored.Held = &e.Held
	}
	return json.Marshal(stored)
}

// UnmarshalJSON reads the stored form.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var stored entryJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	*e = Entry{stored.Incarnation, stored.WitnessGroup, stored.Limit, stored.Limit, stored.LoweredAt, stored.Leaving}
	if stored.Held != nil {
		e.Held = *stored.Held
	}
	return nil
}

// heldEqualsLimit reports whether nothing is left to reclaim from the member.
func (e Entry) heldEqualsLimit() bool { return e.Held.Equal(e.Limit) }

// Table is the division of all rates and bursts among the members. It is immutable
// once it has been written or adopted.
type Table struct {
	// Version increases by 1 with each write and is at least 1.
	Version uint64 `json:"version"`
	// Members is keyed by the address that serves callers.
	Members map[string]Entry `json:"members"`
}

// Encode returns the stored form of the table.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(t) }

// Decode parses the stored form of a table. It returns an error for a table without
// a version, or in which a part is held twice or a limit is not held.
func Decode(data []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, errors.Wrap(err, "stored share table")
	}
	if t.Version == 0 {
		return nil, errors.New("stored share table has no version")
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	return &t, nil
}

// Names returns the member names in ascending order.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.Members)) }

// free returns the parts that no member holds.
func (t *Table) free() Ranges {
	var held Ranges
	for _, e := range t.Members {
		held = append(held, e.Held...)
	}
	slices.SortFunc(held, func(a, b Range) int { return a.Start - b.Start })
	return All().Subtract(held)
}

// clone returns a copy with the next version. Its entries may be replaced.
func (t *Table) clone() *Table {
	return &Table{Version: t.Version + 1, Members: maps.Clone(t.Members)}
}

// check returns an error if an invariant of the table is violated.
func (t *Table) check() error {
	if name, ok := t.limitNotHeld(); ok {
		return errors.Newf("share table %d: limit of %s is not held", t.Version, name)
	}
	if at, ok := t.heldTwice(); ok {
		return errors.Newf("share table %d: part %d is held twice", t.Version, at)
	}
	return nil
}

// checkInvariants reports violations in t to the checker, and returns whether there
// are none. The table previous, which t replaces, may be nil.
func (t *Table) checkInvariants(checker *invariant.Checker, previous *Table) bool {
	name, limitWrong := t.limitNotHeld()
	at, heldWrong := t.heldTwice()
	rises := previous == nil || t.Version > previous.Version
	ok := checker.Check(!limitWrong, InvariantLimitHeld, name)
	ok = checker.Check(!heldWrong, InvariantHeldDisjoint, fmt.Sprintf("version %d, part %d", t.Version, at)) && ok
	return checker.Check(rises, InvariantVersionRises, fmt.Sprintf("version %d", t.Version)) && ok
}

// limitNotHeld returns a member whose Limit is not a subset of its Held, if any.
func (t *Table) limitNotHeld() (string, bool) {
	for name, e := range t.Members {
		if !e.Held.Contains(e.Limit) {
			return name, true
		}
	}
	return "", false
}

// heldTwice returns the first part that two members hold, if any.
func (t *Table) heldTwice() (int, bool) {
	var all Ranges
	for _, e := range t.Members {
		all = append(all, e.Held...)
	}
	slices.SortFunc(all, func(a, b Range) int { return a.Start - b.Start })
	for i := 1; i < len(all); i++ {
		if all[i].Start < all[i-1].End {
			return all[i].Start, true
		}
	}
	return 0, false
}
