package dynamic

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Op is what happened to an object between two sets.
type Op string

// The changes of an object.
const (
	OpAdded   Op = "added"
	OpChanged Op = "changed"
	OpRemoved Op = "removed"
)

// Change is one object that differs between two sets.
type Change struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Fields names the fields that differ in a changed object, sorted.
	Fields []string `json:"fields,omitempty"`
}

// String returns the change in one line, as "changed customers acme: rate".
func (c Change) String() string {
	text := fmt.Sprintf("%s %s %s", c.Op, c.Kind, c.Name)
	if len(c.Fields) > 0 {
		text += ": " + strings.Join(c.Fields, ", ")
	}
	return text
}

// Diff returns the objects that differ between two sets, by kind and name. The
// order of the objects in the sets does not matter.
func Diff(before, after *Set) []Change {
	var changes []Change
	for _, kind := range kinds {
		changes = append(changes, diffObjects(kind.objects(before), kind.objects(after))...)
	}
	return changes
}

func diffObjects(before, after []Object) []Change {
	byName := func(o Object) (string, Object) { return o.Name, o }
	beforeByName := lo.SliceToMap(before, byName)
	afterByName := lo.SliceToMap(after, byName)
	names := lo.Union(lo.Keys(beforeByName), lo.Keys(afterByName))
	slices.Sort(names)
	var changes []Change
	for _, name := range names {
		old, existed := beforeByName[name]
		now, exists := afterByName[name]
		switch {
		case !existed:
			changes = append(changes, Change{Op: OpAdded, Kind: now.Kind, Name: name})
		case !exists:
			changes = append(changes, Change{Op: OpRemoved, Kind: old.Kind, Name: name})
		default:
			if fields := diffFields(old, now); len(fields) > 0 {
				changes = append(changes, Change{Op: OpChanged, Kind: now.Kind, Name: name, Fields: fields})
			}
		}
	}
	return changes
}

func diffFields(before, after Object) []string {
	beforeFields := fieldsOf(before)
	afterFields := fieldsOf(after)
	fields := lo.Filter(lo.Union(lo.Keys(beforeFields), lo.Keys(afterFields)), func(field string, _ int) bool {
		return string(beforeFields[field]) != string(afterFields[field])
	})
	slices.Sort(fields)
	return fields
}

// fieldsOf returns the encoded fields of an object by their JSON names.
func fieldsOf(o Object) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	data, err := json.Marshal(o.Value)
	if err != nil {
		return nil
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil
	}
	return fields
}
