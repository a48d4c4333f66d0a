package command

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/tailscale/hujson"

	"samphireferry.example/ferry/platform"
	standin "samphireferry.example/ferry/standin/platform"
)

const platformHelp = `Serves the key-value store and the list of instances. The file of instances
holds JSON with comments: {"instances": [{"name", "role", "address",
"rpc_address", "operator_address", "failure_domain", "state"}]}. Fault switches
are set with PUT /standin/faults, the list with PUT /standin/instances, and the
calls are counted at GET /standin/calls.`

func platformCommand(program string, output, errOutput io.Writer) *ffcli.Command {
	fs := newFlagSet("platform", errOutput)
	listen := fs.String("listen", "127.0.0.1:7000", "IP address and port to listen on")
	file := fs.String("instances", "", "file with the list of instances")
	lag := fs.Duration("instance-lag", 0, "age of the list of instances that is returned")
	writes := fs.Float64("writes-per-second", 0, "writes that are accepted per second; 0 means no limit")
	reads := fs.Float64("reads-per-second", 0, "reads that are accepted per second; 0 means no limit")
	seed := fs.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the random faults")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: program + " platform [flags]",
		ShortHelp:  "Runs a stand-in for the platform.",
		LongHelp:   platformHelp,
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, _ []string) error {
			instances, err := readInstances(*file)
			if err != nil {
				return err
			}
			p := standin.New(standin.Options{
				Seed:            *seed,
				WritesPerSecond: *writes,
				ReadsPerSecond:  *reads,
				Instances:       instances,
				InstanceLag:     *lag,
			})
			return serve(ctx, *listen, p.Handler(), output)
		},
	}
}

// readInstances reads a file of instances; an empty name returns no instances.
func readInstances(name string) ([]platform.Instance, error) {
	if name == "" {
		return nil, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	var body platform.InstancesBody
	err = json.Unmarshal(standard, &body)
	return body.Instances, errors.Wrap(err, name)
}
