package dynamic

import (
	"fmt"
	"strings"
)

// Position is a line of a file. The zero value means that it is unknown.
type Position struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// ValidationError is one validation error of a set.
type ValidationError struct {
	Position
	Kind Kind `json:"kind,omitempty"`
	// Index is the index of the object in its list of the Set.
	Index int    `json:"index"`
	Name  string `json:"name,omitempty"`
	// Field is the invalid field; empty when the error concerns the whole object.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error returns the error in one line, as "file:12: customers acme: rate: ...".
func (e ValidationError) Error() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	}
	if e.Kind != "" {
		fmt.Fprintf(&b, "%s %s: ", e.Kind, e.objectName())
	}
	if e.Field != "" {
		fmt.Fprintf(&b, "%s: ", e.Field)
	}
	b.WriteString(e.Message)
	return b.String()
}

func (e ValidationError) objectName() string {
	if e.Name == "" {
		return fmt.Sprintf("#%d", e.Index+1)
	}
	return e.Name
}

// ValidationErrors holds all validation errors of a set. An empty list means that
// the set is valid; Err turns it into a nil error.
type ValidationErrors []ValidationError

// Error returns one line for each validation error.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, err := range f {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the validation errors as one error, or nil when there are none.
func (f ValidationErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
