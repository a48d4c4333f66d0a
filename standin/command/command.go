// Package command is the command line of the stand-ins.
//
// Each subcommand serves one stand-in over HTTP until its context ends. The
// stand-ins hold everything in memory and are made for tests and
// demonstrations only.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/buildinfo"
)

// EnvPrefix precedes the names of environment variables: the flag -listen is
// read from FERRY_STANDIN_LISTEN.
const EnvPrefix = "FERRY_STANDIN"

// The exit codes of Main.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// shutdownTimeout bounds the wait for running requests at the end.
const shutdownTimeout = 10 * time.Second

// headerTimeout bounds the time for which a request header may arrive.
const headerTimeout = 5 * time.Second

// Main runs the subcommand that the arguments name until the context ends, and
// returns the exit code.
func Main(ctx context.Context, program string, args []string, output, errOutput io.Writer) int {
	root := newRoot(program, output, errOutput)
	if err := root.Parse(args); err != nil {
		return usageCode(err, program, errOutput)
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return exitBadUsage
	}
	if err != nil {
		fmt.Fprintf(errOutput, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitDone
}

// usageCode reports an error in the arguments; the flag package has printed
// those of its own.
func usageCode(err error, program string, errOutput io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	fmt.Fprintf(errOutput, "%s: %v\n", program, err)
	return exitBadUsage
}

func newRoot(program string, output, errOutput io.Writer) *ffcli.Command {
	fs := newFlagSet(program, errOutput)
	version := fs.Bool("version", false, "print the version and exit")
	return &ffcli.Command{
		Name:        program,
		ShortUsage:  program + " <platform | upstream> [flags]",
		ShortHelp:   "Runs a stand-in for the platform or for one upstream.",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{platformCommand(program, output, errOutput), upstreamCommand(program, output, errOutput)},
		Exec: func(context.Context, []string) error {
			if *version {
				fmt.Fprintln(output, buildinfo.Version())
				return nil
			}
			return flag.ErrHelp
		},
	}
}

func newFlagSet(name string, errOutput io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOutput)
	return fs
}

func envOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)} }

// serve serves the handler at the address until the context ends, then lets
// running requests end.
func serve(ctx context.Context, address string, handler http.Handler, output io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "listening on http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err = server.Shutdown(stopping)
	<-failed
	return err
}
