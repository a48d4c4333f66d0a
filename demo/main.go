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

// Exit codes of Main.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
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
	var trialOptions TrialOptions
	fs.IntVar(&trialOptions.Steps, "trial-steps", 0, "run a trial with this number of steps instead, and exit; 0 serves")
	fs.Uint64Var(&trialOptions.Seed, "trial-seed", 1, "seed from which the faults of a trial are drawn")
	fs.DurationVar(&trialOptions.MaxFaultDuration, "trial-harm", 4*time.Second, "longest duration of one fault of a trial")
	showVersion := fs.Bool("version", false, "print the version and exit")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FERRY_DEMO"))
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err == nil && *showVersion {
		fmt.Fprintln(output, buildinfo.Version())
		return exitOK
	}
	if err == nil {
		options.Log, err = telemetry.NewLog(errOutput, *logLevel)
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitUsage
	}
	if trialOptions.Steps > 0 {
		err = runTrial(trialOptions, output)
	} else {
		err = runUntilSignal(options, output)
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitOK
}

// trialPrinter prints the reports of a trial and counts the violated guarantees.
type trialPrinter struct {
	output     io.Writer
	mu         sync.Mutex
	violations int
}

// Errorf implements TrialReporter.
func (p *trialPrinter) Errorf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations++
	fmt.Fprintf(p.output, "VIOLATED: "+format+"\n", args...)
}

// Logf implements TrialReporter.
func (p *trialPrinter) Logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.output, format+"\n", args...)
}

func runTrial(options TrialOptions, output io.Writer) error {
	p := &trialPrinter{output: output}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := RunTrial(ctx, options, p)
	if err == nil && p.violations > 0 {
		err = errors.Newf("%d guarantees were violated", p.violations)
	}
	return err
}

func runUntilSignal(options Options, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fmt.Fprintln(output, "starting…")
	system, err := Start(options)
	if err == nil {
		err = system.WaitReady(ctx)
	}
	if err == nil {
		system.Describe(output)
		<-ctx.Done()
		fmt.Fprintln(output, "stopping…")
	}
	return errors.Join(err, system.Stop())
}

// readyPollInterval is the time between two attempts of WaitReady.
const readyPollInterval = 50 * time.Millisecond

// WaitReady waits until every entry instance serves requests. It returns an
// error when the context ends first.
func (s *System) WaitReady(ctx context.Context) error {
	for _, entry := range s.Entries {
		for !isReady(ctx, entry.CallerAddress()) {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "the system did not become ready")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// isReady reports whether the entry instance at the address serves a read.
func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dossiers/ready", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+KeyHighRate)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
