package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"samphireferry.example/ferry/buildinfo"
	"samphireferry.example/ferry/telemetry"
)

// The exit codes of Main.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// Main runs a small system until SIGTERM or SIGINT and returns the exit code.
func Main(program string, args []string, output, errOutput io.Writer) int {
	options := Options{}
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(errOutput)
	fs.IntVar(&options.Regions, "regions", 3, "number of regions")
	fs.IntVar(&options.DomainsPerRegion, "domains", 2, "number of failure domains in each region")
	fs.IntVar(&options.Entries, "entries", 10, "number of entry instances")
	logLevel := fs.String("log-level", "warn", "level of the logs of the entry instances: debug, info, warn or error")
	var trial TrialOptions
	fs.IntVar(&trial.Steps, "trial-steps", 0, "run a trial with this number of steps instead, and exit; 0 serves")
	fs.Uint64Var(&trial.Seed, "trial-seed", 1, "seed from which the harms of a trial are drawn")
	fs.DurationVar(&trial.MaxHarm, "trial-harm", 4*time.Second, "longest time that one harm of a trial lasts")
	showVersion := fs.Bool("version", false, "print the version and exit")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FERRY_DEMO"))
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err == nil && *showVersion {
		fmt.Fprintln(output, buildinfo.Version())
		return exitDone
	}
	if err == nil {
		options.Log, err = telemetry.NewLog(errOutput, *logLevel)
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitBadUsage
	}
	if trial.Steps > 0 {
		err = runTrial(trial, output)
	} else {
		err = runUntilSignal(options, output)
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitDone
}

// printer writes what a trial finds and counts the broken promises.
type printer struct {
	output io.Writer
	mu     sync.Mutex
	broken int
}

// Errorf implements TrialReporter.
func (p *printer) Errorf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken++
	fmt.Fprintf(p.output, "BROKEN: "+format+"\n", args...)
}

// Logf implements TrialReporter.
func (p *printer) Logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.output, format+"\n", args...)
}

func runTrial(options TrialOptions, output io.Writer) error {
	p := &printer{output: output}
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := RunTrial(signals, options, p)
	if err == nil && p.broken > 0 {
		err = errors.Newf("%d promises were broken", p.broken)
	}
	return err
}

func runUntilSignal(options Options, output io.Writer) error {
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fmt.Fprintln(output, "starting…")
	system, err := Start(options)
	if err == nil {
		err = system.WaitReady(signals)
	}
	if err == nil {
		system.Describe(output)
		<-signals.Done()
		fmt.Fprintln(output, "stopping…")
	}
	return errors.Join(err, system.Stop())
}

// readyPoll is the pause between two attempts of WaitReady.
const readyPoll = 50 * time.Millisecond

// WaitReady waits until every entry instance serves requests, or the context
// ends.
func (s *System) WaitReady(ctx context.Context) error {
	for _, entry := range s.Entries {
		for !ready(ctx, entry.CallerAddress()) {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "the system did not get ready")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dossiers/ready", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+KeyLarge)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
