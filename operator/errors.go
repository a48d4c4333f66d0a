package operator

import (
	"fmt"
	"strings"

	"samphireferry.example/ferry/config/dynamic"
)

// RaceError means that another operator published first. Nothing was published.
type RaceError struct {
	// Published is the configuration that is published now.
	Published *dynamic.Config
	// Changes are the differences between the configuration that was to be
	// replaced and Published.
	Changes []dynamic.Change
}

// Error returns a text with the published version and each changed object.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "another operator has published version %d first; nothing was published", e.Published.Version)
	for _, change := range e.Changes {
		fmt.Fprintf(&b, "\n  %s", change)
	}
	return b.String()
}

// UnknownOutcomeError means that the outcome of a publish is unknown: it may or may
// not have taken effect.
type UnknownOutcomeError struct {
	Version   uint64
	PublishID string
}

// Error returns a text with the version and the publish id.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the publish is unknown: version %d with publish id %s may or may not be published", e.Version, e.PublishID)
}
