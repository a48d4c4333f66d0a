package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/buildinfo"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "FERRYCTL"

// Exit codes of Main.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitBadUsage    = 2
	ExitUnavailable = 3
)

// defaultTimeout limits the run time of a command unless -timeout is set.
const defaultTimeout = 10 * time.Second

// Limits of the calls of one command to the platform.
const (
	callsPerSecond = 20
	callBurst      = 20
	maxBackoff     = 1 * time.Second
)

// usageError is an error in the arguments of a command.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// errNotInForce is the error of a status command that found the version not in
// force on every instance.
var errNotInForce = errors.New("not in force everywhere")

// app holds the output and the flags that all commands share.
type app struct {
	program string
	output  io.Writer

	platformURL string
	entryURL    string
	timeout     time.Duration
	json        bool
}

// Main runs the command that the arguments name and returns the exit code.
func Main(ctx context.Context, program string, args []string, output, errOutput io.Writer) int {
	a := &app{program: program, output: output}
	root := a.root(errOutput)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return ExitBadUsage
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeoutOrDefault())
	defer cancel()
	err := root.Run(ctx)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
	}
	return exitCode(err)
}

func (a *app) timeoutOrDefault() time.Duration {
	if a.timeout > 0 {
		return a.timeout
	}
	return defaultTimeout
}

func exitCode(err error) int {
	var usage *usageError
	var unknownErr *operator.UnknownOutcomeError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage):
		return ExitBadUsage
	case errors.Is(err, platform.ErrUnavailable), errors.As(err, &unknownErr):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func (a *app) root(errOutput io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet(a.program, flag.ContinueOnError)
	fs.SetOutput(errOutput)
	version := fs.Bool("version", false, "print the version and exit")
	root := &ffcli.Command{
		Name:       a.program,
		ShortUsage: a.program + " <command> [flags] [arguments]",
		ShortHelp:  "Publishes configurations and reports whether they are in force.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			a.checkCommand(), a.publishCommand(), a.diffCommand(), a.getCommand(), a.statusCommand(),
			a.drainCommand(), a.moveCommand(), a.rolloutCommand(), a.keyCommand(), a.entryInstancesCommand(),
			a.certificateCommand(), a.explainCommand(), a.whereCommand(),
		},
		Exec: func(context.Context, []string) error {
			if *version {
				fmt.Fprintln(a.output, buildinfo.Version())
				return nil
			}
			return flag.ErrHelp
		},
	}
	setOutput(root, errOutput)
	return root
}

// setOutput sets the output of the help texts of the command and its subcommands.
func setOutput(command *ffcli.Command, output io.Writer) {
	command.FlagSet.SetOutput(output)
	for _, sub := range command.Subcommands {
		setOutput(sub, output)
	}
}

// command returns a command with the flags that all commands share.
func (a *app) command(name, usage, help string, fs *flag.FlagSet, run func(ctx context.Context, args []string) error) *ffcli.Command {
	fs.StringVar(&a.platformURL, "platform", "", "URL of the platform, such as http://10.0.0.9:7000")
	fs.StringVar(&a.entryURL, "entry", "", "URL of an entry instance: its operator address for status, its caller address for entry-instances, its metrics address for where")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of the command")
	fs.BoolVar(&a.json, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: a.program + " " + name + " [flags] " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec:       run,
	}
}

func newFlagSet(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }

// client returns a client of the platform; it must be closed.
func (a *app) client() (*platform.Client, error) {
	if a.platformURL == "" {
		return nil, usagef("the flag -platform, or FERRYCTL_PLATFORM, must be set to the URL of the platform")
	}
	client, err := platform.NewClient(platform.ClientOptions{
		URL:            a.platformURL,
		CallsPerSecond: callsPerSecond,
		CallBurst:      callBurst,
		MaxBackoff:     maxBackoff,
		Seed:           uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return client, nil
}

// withPublisher calls the function with a publisher that is valid until it returns.
func (a *app) withPublisher(run func(p *operator.Publisher) error) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	defer client.Close()
	return run(operator.NewPublisher(client, nil))
}
