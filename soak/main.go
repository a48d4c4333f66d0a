package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// Main runs one soak for each of a range of consecutive seeds and returns the exit
// code: 0 without a violation or after -help, 1 after a violation or a failure of the
// soak itself, 2 for invalid flags. Cancelling the context ends the run early and stops
// all processes that it has started.
func Main(ctx context.Context, name string, args []string, output, errOutput io.Writer) int {
	o := Options{Log: io.Discard, Report: io.Discard}
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOutput)
	fs.StringVar(&o.Program, "program", "bin/ferry-edge", "path of the entry instance's program")
	fs.Uint64Var(&o.Seed, "seed", 1, "first seed")
	seeds := fs.Uint64("seeds", 1, "number of seeds to run, one after the other")
	fs.DurationVar(&o.FaultDuration, "harm", 20*time.Second, "time during which faults are injected")
	fs.IntVar(&o.Instances, "instances", 6, "number of entry instances")
	fs.IntVar(&o.Callers, "callers", 12, "number of callers")
	fs.StringVar(&o.LogLevel, "log-level", "info", "level of the instances' logs")
	logs := fs.String("logs", "", "file that receives the logs of the instances")
	err := ff.Parse(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", name, err)
		return 2
	}
	if *logs != "" {
		file, err := os.Create(*logs)
		if err != nil {
			fmt.Fprintf(errOutput, "%s: %v\n", name, err)
			return 1
		}
		defer file.Close()
		o.Log, o.Report = file, file
	}
	return runSeeds(ctx, o, *seeds, output, errOutput)
}

func runSeeds(ctx context.Context, o Options, seeds uint64, output, errOutput io.Writer) int {
	code := 0
	for range seeds {
		if ctx.Err() != nil {
			return 1
		}
		result, err := Run(ctx, o)
		if err != nil {
			fmt.Fprintf(errOutput, "seed %d: %v\n", o.Seed, err)
			return 1
		}
		fmt.Fprintf(output, "seed %d: %d faults, %d of %d requests served, %d guarantees violated\n",
			o.Seed, result.Faults, result.Served, result.Sent, len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Fprintln(output, "  "+violation)
			code = 1
		}
		o.Seed++
	}
	return code
}
