package edge

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

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
	settings, err := static.ParseEdge(program, args, errOutput)
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

func run(settings *static.EdgeSettings, output io.Writer) error {
	metrics := telemetry.New()
	log, err := telemetry.NewBoundedLog(output, settings.LogLevel, metrics)
	if err != nil {
		return err
	}
	defer log.Close()
	instance, err := New(settings, log.Logger, metrics)
	if err != nil {
		return err
	}
	err = instance.Start()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		log.Info("SIGHUP; settings take force at the next start", zap.String("name", settings.Name))
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Grace)
	defer cancel()
	instance.Stop(ctx)
	return nil
}
