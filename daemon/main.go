package daemon

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/internal/program"
	"samphireferry.example/ferry/telemetry"
)

// Main runs one entry instance until SIGTERM or SIGINT and returns the exit
// code. It writes logs to output as JSON lines, and settings errors to errOutput.
func Main(name string, args []string, output, errOutput io.Writer) int {
	parse := func() (*static.Settings, error) { return static.Parse(name, args, errOutput) }
	return program.Run(name, output, errOutput, parse, func(s *static.Settings) error { return run(s, output) })
}

func run(settings *static.Settings, output io.Writer) error {
	program.LimitMemory(int64(settings.Memory))
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
