package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"samphireferry.example/ferry/buildinfo"
	"samphireferry.example/ferry/units"
)

// Exit codes of Main.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// options holds the flags of ferry-load.
type options struct {
	planFile    string
	entries     string
	key         string
	rate        string
	method      string
	path        string
	body        string
	atMostOnce  bool
	duration    time.Duration
	allowRemote bool
	jsonFile    string
	version     bool
}

// Main runs ferry-load and returns the exit code: 0 after a run, -help or -version, 1
// when the report could not be written, 2 for invalid flags or an invalid plan.
func Main(program string, args []string, output, errOutput io.Writer) int {
	var o options
	fs := o.flagSet(program, errOutput)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FERRY_LOAD"))
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err == nil && o.version {
		fmt.Fprintln(output, buildinfo.Version())
		return exitOK
	}
	var plan *Plan
	if err == nil {
		plan, err = o.plan()
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitBadUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := o.write(Run(ctx, plan), output); err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitOK
}

func (o *options) flagSet(program string, errOutput io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(errOutput)
	fs.StringVar(&o.planFile, "plan", "", "file with the plan, as JSON with comments; -entry, -duration and -allow-remote override it")
	fs.StringVar(&o.entries, "entry", "", "base URLs of entry instances, separated by commas")
	fs.StringVar(&o.key, "key", "", "API key of the customer, when there is no plan")
	fs.StringVar(&o.rate, "rate", "10/s", "rate of the customer, when there is no plan")
	fs.StringVar(&o.method, "method", "GET", "method of the requests, when there is no plan")
	fs.StringVar(&o.path, "path", "/", "path of the requests, when there is no plan")
	fs.StringVar(&o.body, "body", "", "body of the requests, when there is no plan")
	fs.BoolVar(&o.atMostOnce, "at-most-once", false, "send an idempotency key, when there is no plan")
	fs.DurationVar(&o.duration, "duration", 0, "time for which requests start; at most 10m (default 10s)")
	fs.BoolVar(&o.allowRemote, "allow-remote", false, "allow addresses other than loopback")
	fs.StringVar(&o.jsonFile, "json", "", "file for the report as JSON; - writes it to standard output after the table")
	fs.BoolVar(&o.version, "version", false, "print the version and exit")
	return fs
}

// plan returns the checked plan: that of the plan file, or one with a single customer,
// with the flags applied.
func (o *options) plan() (*Plan, error) {
	plan, err := o.basePlan()
	if err != nil {
		return nil, err
	}
	if o.entries != "" {
		plan.Entries = strings.Split(o.entries, ",")
	}
	if o.duration != 0 {
		plan.Duration = units.Duration(o.duration)
	}
	plan.AllowRemote = plan.AllowRemote || o.allowRemote
	return plan, plan.Check()
}

// basePlan returns the plan of the plan file, or one with a single customer from the flags.
func (o *options) basePlan() (*Plan, error) {
	if o.planFile != "" {
		data, err := os.ReadFile(o.planFile)
		if err != nil {
			return nil, err
		}
		return ParsePlan(data)
	}
	var rate units.Rate
	if err := rate.UnmarshalText([]byte(o.rate)); err != nil {
		return nil, err
	}
	request := Request{Method: o.method, Path: o.path, Body: o.body, AtMostOnce: o.atMostOnce}
	customer := Customer{Name: "customer", Key: o.key, Rate: rate, Requests: []Request{request}}
	return &Plan{Customers: []Customer{customer}}, nil
}

func (o *options) write(report *Report, output io.Writer) error {
	if err := report.WriteTable(output); err != nil {
		return err
	}
	if o.jsonFile == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if o.jsonFile == "-" {
		_, err = output.Write(text)
		return err
	}
	return os.WriteFile(o.jsonFile, text, 0o644)
}
