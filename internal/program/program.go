// Package program contains what the main functions of the daemons share: reading
// the settings, the flags that end the program at once, and the exit codes.
package program

import (
	"flag"
	"fmt"
	"io"
	"runtime/debug"

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

const (
	// heapFraction is the fraction of the memory, less textBytes, beyond which the garbage collector works
	// without waiting for the heap to double. The rest is for what the heap grows while it works.
	heapFraction = 0.65
	// textBytes is the memory of the program's text and constants that are in use.
	textBytes = 14 << 20
)

// LimitMemory makes the garbage collector keep the process within the memory of its machine in bytes, as far
// as the heap in use allows. 0 sets no limit.
func LimitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(max(memory/2, memory-textBytes)) * heapFraction))
	}
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
