package edge

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/internal/program"
	"samphireferry.example/ferry/telemetry"
)

// Main runs one entry instance until SIGTERM or SIGINT and returns the exit code. It
// writes logs to output as JSON lines and errors in the settings to errOutput. SIGHUP
// reloads the settings.
func Main(name string, args []string, output, errOutput io.Writer) int {
	parse := func() (*static.EdgeSettings, error) { return static.ParseEdge(name, args, errOutput) }
	return program.Run(name, output, errOutput, parse, func(s *static.EdgeSettings) error { return run(s, parse, output) })
}

func run(settings *static.EdgeSettings, parse func() (*static.EdgeSettings, error), output io.Writer) error {
	program.LimitMemory(int64(settings.Memory))
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
		next, err := parse()
		if err != nil {
			log.Error("reloaded settings are invalid and were ignored", zap.Error(err))
			continue
		}
		instance.Reload(next)
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Grace)
	defer cancel()
	instance.Stop(ctx)
	return nil
}
