// Package program contains what the main functions of the daemons share: reading
// the settings, the flags that end the program at once, and the exit codes.
package program

import (
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buildinfo"
)

// The exit codes of a program.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadUsage = 2
)

// Settings are the parsed settings of a program.
type Settings interface {
	// VersionOnly reports whether the program only prints its version.
	VersionOnly() bool
	// CheckOnly reports whether the program only validates its settings.
	CheckOnly() bool
}

// Run reads the settings with parse, runs the program with them and returns the
// exit code: ExitBadUsage when parse fails, ExitFailed when run fails. Errors are
// written to errOutput.
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
