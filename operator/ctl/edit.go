package ctl

import (
	"context"
	"flag"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/units"
)

// edit applies a change to the published set and prints the new version.
func (a *app) edit(ctx context.Context, change func(*dynamic.Set) error) error {
	return a.withPublisher(func(p *operator.Publisher) error {
		config, changes, err := publishEdit(ctx, p, change)
		if err != nil {
			return err
		}
		return a.printPublished(config, changes)
	})
}

// publishEdit applies a change to the published set, publishes the result and
// returns the differences.
func publishEdit(ctx context.Context, p *operator.Publisher, change func(*dynamic.Set) error) (*dynamic.Config, []dynamic.Change, error) {
	var changes []dynamic.Change
	config, err := p.Edit(ctx, func(set *dynamic.Set) error {
		before, err := set.Clone()
		if err != nil {
			return err
		}
		if err := change(set); err != nil {
			return err
		}
		changes = dynamic.Diff(before, set)
		return nil
	})
	return config, changes, err
}

// singleName returns the only argument of a command.
func singleName(args []string) (string, error) {
	if len(args) != 1 {
		return "", usagef("exactly one name is required, after the flags")
	}
	return args[0], nil
}

// remove removes the objects that match. It returns an error if there are none.
func remove[T any](list *[]T, what, name string, match func(T) bool) error {
	kept := slices.DeleteFunc(slices.Clone(*list), match)
	if len(kept) == len(*list) {
		return errors.Newf("no %s %q is published", what, name)
	}
	*list = kept
	return nil
}

func (a *app) drainCommand() *ffcli.Command {
	fs := newFlagSet("drain")
	var drain dynamic.Drain
	end := fs.Bool("end", false, "end the drain")
	return a.command("drain", "NAME", "Stops new work on an upstream or a failure domain.", fs,
		func(ctx context.Context, args []string) error {
			name, err := singleName(args)
			if err != nil {
				return err
			}
			return a.edit(ctx, func(set *dynamic.Set) error {
				if *end {
					return remove(&set.Drains, "drain of", name, func(d dynamic.Drain) bool { return d.Upstream == name || d.FailureDomain == name })
				}
				return addDrain(set, name, drain)
			})
		})
}

// addDrain adds a drain of the upstream or the failure domain named target.
func addDrain(set *dynamic.Set, target string, drain dynamic.Drain) error {
	isUpstream := slices.ContainsFunc(set.Upstreams, func(u dynamic.Upstream) bool { return u.Name == target })
	isDomain := slices.ContainsFunc(set.FailureDomains, func(d dynamic.FailureDomain) bool { return d.Name == target })
	switch {
	case isUpstream && isDomain:
		return errors.Newf("%q is both an upstream and a failure domain; publish a drain from a file", target)
	case isUpstream:
		drain.Upstream = target
	case isDomain:
		drain.FailureDomain = target
	default:
		return errors.Newf("no upstream or failure domain %q is published", target)
	}
	drain.Name = "drain-" + target
	set.Drains = append(set.Drains, drain)
	return nil
}

func (a *app) moveCommand() *ffcli.Command {
	fs := newFlagSet("move")
	var move dynamic.Move
	fs.StringVar(&move.Service, "service", "", "service whose traffic is moved")
	fs.StringVar(&move.From, "from", "", "failure domain that the traffic is moved from")
	fs.StringVar(&move.To, "to", "", "failure domain that the traffic is moved to")
	fs.TextVar(&move.Cap, "cap", units.Share(1), "maximum share of the traffic that is moved")
	fs.TextVar(&move.Step, "step", units.Share(0), "increase of the share per step; 0% means the default")
	shiftFlags(fs, &move.StepInterval, &move.Deadline)
	removal := fs.Bool("remove", false, "remove the move; an unfinished one is taken back")
	return a.command("move", "NAME", "Moves the traffic of a service between failure domains.", fs,
		func(ctx context.Context, args []string) error {
			name, err := singleName(args)
			if err != nil {
				return err
			}
			move.Name = name
			return a.edit(ctx, func(set *dynamic.Set) error {
				if *removal {
					return remove(&set.Moves, "move", name, func(m dynamic.Move) bool { return m.Name == name })
				}
				set.Moves = append(set.Moves, move)
				return nil
			})
		})
}

func (a *app) rolloutCommand() *ffcli.Command {
	fs := newFlagSet("rollout")
	var rollout dynamic.Rollout
	fs.StringVar(&rollout.Service, "service", "", "service that gets a new version")
	fs.StringVar(&rollout.From, "from", "", "version that runs now")
	fs.StringVar(&rollout.To, "to", "", "version that takes over")
	fs.TextVar(&rollout.CanaryShare, "canary-share", units.Share(0), "maximum share until the version has been compared; 0% means the default")
	fs.TextVar(&rollout.Step, "step", units.Share(0), "increase of the share per step; 0% means the default")
	shiftFlags(fs, &rollout.StepInterval, &rollout.Deadline)
	removal := fs.Bool("remove", false, "remove the roll-out; an unfinished one is taken back")
	stableVersion := fs.String("stable-version", "", "with -remove: version that serves from now on; required if the service has several versions and no stable version")
	return a.command("rollout", "NAME", "Rolls out a new version of a service.", fs,
		func(ctx context.Context, args []string) error {
			name, err := singleName(args)
			if err != nil {
				return err
			}
			rollout.Name = name
			return a.edit(ctx, func(set *dynamic.Set) error {
				if *removal {
					return removeRollout(set, name, *stableVersion)
				}
				set.Rollouts = append(set.Rollouts, rollout)
				return nil
			})
		})
}

// removeRollout removes the roll-out with the name and, if a stable version is
// given, sets it as the stable version of the service.
func removeRollout(set *dynamic.Set, name, stableVersion string) error {
	for _, r := range set.Rollouts {
		i := slices.IndexFunc(set.Services, func(s dynamic.Service) bool { return s.Name == r.Service })
		if r.Name == name && stableVersion != "" && i >= 0 {
			set.Services[i].StableVersion = stableVersion
		}
	}
	return remove(&set.Rollouts, "roll-out", name, func(r dynamic.Rollout) bool { return r.Name == name })
}

// shiftFlags adds the flags that moves and roll-outs share.
func shiftFlags(fs *flag.FlagSet, interval, deadline *units.Duration) {
	fs.TextVar(interval, "step-interval", units.Duration(0), "minimum time between two steps; 0s means the default")
	fs.TextVar(deadline, "deadline", units.Duration(0), "time limit from the first step to the end; required")
}
