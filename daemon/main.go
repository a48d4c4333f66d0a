package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buildinfo"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/telemetry"
)

// The exit codes of Main.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// Main runs one entry instance until SIGTERM or SIGINT and returns the exit
// code. Logs go to output as JSON lines, and errors in the settings to errOutput.
func Main(program string, args []string, output, errOutput io.Writer) int {
	settings, err := static.Parse(program, args, errOutput)
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitBadUsage
	}
	if settings.ShowVersion {
		fmt.Fprintln(output, buildinfo.Version())
		return exitDone
	}
	if settings.Check {
		fmt.Fprintln(output, "the settings are valid")
		return exitDone
	}
	err = run(settings, output)
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitDone
}

func run(settings *static.Settings, output io.Writer) error {
	log, err := telemetry.NewLog(output, settings.LogLevel)
	if err != nil {
		return err
	}
	instance, err := New(settings, log, nil)
	if err != nil {
		return err
	}
	err = instance.Provision()
	if err != nil {
		return err
	}
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-signals.Done()
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownTimeout)
	defer cancel()
	return instance.Cleanup(ctx)
}
