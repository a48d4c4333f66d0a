// Package command implements the command line of the stand-ins.
//
// Each subcommand serves one stand-in over HTTP until its context ends. The
// stand-ins keep all state in memory and are for tests and demonstrations only.
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

// EnvPrefix is the prefix of the environment variables: the flag -listen is also
// read from FERRY_STANDIN_LISTEN.
const EnvPrefix = "FERRY_STANDIN"

// Exit codes of Main.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadUsage = 2
)

// shutdownTimeout bounds the wait for requests in flight at shutdown.
const shutdownTimeout = 10 * time.Second

// headerTimeout bounds the time to read a request header.
const headerTimeout = 5 * time.Second

// Main runs the subcommand named by the arguments until the context ends, and returns
// the exit code: 0 after a shutdown, -help or -version, 1 when the subcommand failed, 2
// for invalid arguments.
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
	return exitOK
}

// usageCode prints an error in the arguments and returns the exit code; a request for
// help is no error.
func usageCode(err error, program string, errOutput io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
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

// serve serves the handler at the address until the context ends, then waits for
// requests in flight, for at most shutdownTimeout.
func serve(ctx context.Context, address string, handler http.Handler, output io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "listening on http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err = server.Shutdown(shutdownCtx)
	<-serveErr
	return err
}
