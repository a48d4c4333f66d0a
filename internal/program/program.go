// Package program holds what the daemons' main functions share: reading the
// settings, the flags that end at once, and the exit codes.
package program

import (
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buildinfo"
)

// The exit codes.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadUsage = 2
)

// Settings say what the program is asked for.
type Settings interface {
	// VersionOnly asks for the version and nothing else.
	VersionOnly() bool
	// CheckOnly asks for a check of the settings and nothing else.
	CheckOnly() bool
}

// Run reads the settings with parse, runs the program with them and returns the
// exit code. Errors go to errOutput.
func Run[S Settings](name string, output, errOutput io.Writer, parse func() (S, error), run func(S) error) int {
	settings, err := parse()
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", name, err)
		return ExitBadUsage
	}
	if settings.VersionOnly() {
		fmt.Fprintln(output, buildinfo.Version())
		return ExitDone
	}
	if settings.CheckOnly() {
		fmt.Fprintln(output, "the settings are valid")
		return ExitDone
	}
	err = run(settings)
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", name, err)
		return ExitFailed
	}
	return ExitDone
}
