package command

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/standin/upstream"
)

const upstreamHelp = `Serves requests with slots, a service time and a cold start. Faults are set with
POST /standin/faults; what reached the stand-in is shown by GET /standin/ledger.`

// Defaults of the flags.
const (
	defaultSlots       = 4
	defaultServiceTime = 5 * time.Millisecond
)

func upstreamCommand(program string, output, errOutput io.Writer) *ffcli.Command {
	fs := newFlagSet("upstream", errOutput)
	listen := fs.String("listen", "127.0.0.1:7100", "IP address and port to listen on")
	var options upstream.Options
	fs.StringVar(&options.Name, "name", "upstream", "name of the upstream")
	fs.StringVar(&options.Version, "service-version", "v1", "version of the service that it runs")
	fs.IntVar(&options.Slots, "slots", defaultSlots, "requests that run concurrently; 0 means no limit")
	fs.DurationVar(&options.ServiceTime, "service-time", defaultServiceTime, "time for which a request occupies its slot")
	fs.DurationVar(&options.ColdFor, "cold-for", 0, "time after the start during which requests are slower")
	fs.Float64Var(&options.ColdFactor, "cold-factor", 1, "factor of the service time at the start")
	fs.BoolVar(&options.ShedWhenFull, "shed", false, "refuse requests that find no free slot")
	return &ffcli.Command{
		Name:       "upstream",
		ShortUsage: program + " upstream [flags]",
		ShortHelp:  "Runs a stand-in for one upstream.",
		LongHelp:   upstreamHelp,
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, upstream.New(options), output)
		},
	}
}
