package dynamic

import (
	"fmt"
	"strings"
)

// Position is a place in a file. The zero value is unknown.
type Position struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// Fault is one thing that is wrong in a set.
type Fault struct {
	Position
	Kind Kind `json:"kind,omitempty"`
	// Index is the place of the object in its list of the Set.
	Index int    `json:"index"`
	Name  string `json:"name,omitempty"`
	// Field is the field at fault; empty when it is the whole object.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error returns the fault in one line, as "file:12: customers acme: rate: ...".
func (f Fault) Error() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.Kind != "" {
		fmt.Fprintf(&b, "%s %s: ", f.Kind, f.objectName())
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Message)
	return b.String()
}

func (f Fault) objectName() string {
	if f.Name == "" {
		return fmt.Sprintf("#%d", f.Index+1)
	}
	return f.Name
}

// Faults is everything that is wrong in a set. It is an error when not empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
