package operator

import (
	"fmt"
	"strings"

	"samphireferry.example/ferry/config/dynamic"
)

// RaceError says that another operator published first. Nothing was published.
type RaceError struct {
	// Published is the configuration that is published now.
	Published *dynamic.Config
	// Changes is what it changed against the one that was to be replaced.
	Changes []dynamic.Change
}

// Error names the published version and each changed object.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "another operator has published version %d first; nothing was published", e.Published.Version)
	for _, change := range e.Changes {
		fmt.Fprintf(&b, "\n  %s", change)
	}
	return b.String()
}

// UnsettledError says that it is not known whether a publish took effect.
type UnsettledError struct {
	Version   uint64
	PublishID string
}

// Error names the version and the publish id.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the store gave no answer: version %d with publish id %s may or may not be published", e.Version, e.PublishID)
}
