package ctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/samber/lo"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
)

func (a *app) checkCommand() *ffcli.Command {
	return a.command("check", "FILE...", "Checks object files without contacting the platform.", newFlagSet("check"),
		func(_ context.Context, files []string) error {
			source, err := load(files)
			var faults dynamic.ValidationErrors
			if a.json && errors.As(err, &faults) {
				return errors.CombineErrors(err, a.printJSON(faults))
			}
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(countObjects(&source.Set))
			}
			fmt.Fprintf(a.output, "%d objects, no fault\n", lo.Sum(lo.Values(countObjects(&source.Set))))
			return nil
		})
}

// load reads and checks object files.
func load(files []string) (*dynamic.Source, error) {
	if len(files) == 0 {
		return nil, usagef("at least one object file is required")
	}
	source, err := dynamic.Load(files...)
	if err != nil {
		return nil, err
	}
	return source, source.Check().Err()
}

func countObjects(set *dynamic.Set) map[dynamic.Kind]int {
	counts := map[dynamic.Kind]int{}
	for _, kind := range dynamic.Kinds() {
		counts[kind] = len(set.Objects(kind))
	}
	return counts
}

func (a *app) publishCommand() *ffcli.Command {
	fs := newFlagSet("publish")
	allowRemovals := fs.Bool("allow-removals", false, "remove published objects that the files do not contain")
	baseVersion := fs.Uint64("base-version", 0, "publish only if this version is the published one; 0 accepts any")
	return a.command("publish", "FILE...", "Publishes object files as the complete set.", fs,
		func(ctx context.Context, files []string) error {
			source, err := load(files)
			if err != nil {
				return err
			}
			return a.withPublisher(func(p *operator.Publisher) error {
				return a.publish(ctx, p, source, *baseVersion, *allowRemovals)
			})
		})
}

func (a *app) publish(ctx context.Context, p *operator.Publisher, source *dynamic.Source, baseVersion uint64, allowRemovals bool) error {
	current, err := p.Current(ctx)
	if err != nil {
		return err
	}
	if baseVersion != 0 && baseVersion != current.Version() {
		return errors.Newf("version %d is published, not %d; nothing was published", current.Version(), baseVersion)
	}
	if err := source.CheckChange(current.Set()).Err(); err != nil {
		return err
	}
	changes := dynamic.Diff(publishedSet(current), &source.Set)
	if !allowRemovals {
		if err := rejectRemovals(changes); err != nil {
			return err
		}
	}
	config, err := p.Publish(ctx, current, &source.Set)
	if err != nil {
		return err
	}
	return a.printPublished(config, changes)
}

// rejectRemovals returns an error if the changes remove objects, so that a publish
// does not remove what other commands have added.
func rejectRemovals(changes []dynamic.Change) error {
	removed := lo.Filter(changes, func(c dynamic.Change, _ int) bool { return c.Op == dynamic.OpRemoved })
	if len(removed) == 0 {
		return nil
	}
	text := "published objects are missing from the files; add them or use -allow-removals:"
	for _, change := range removed {
		text += "\n  " + change.String()
	}
	return errors.New(text)
}

// publishedSet returns the published set, or an empty one if nothing is published.
func publishedSet(p operator.Published) *dynamic.Set {
	if set := p.Set(); set != nil {
		return set
	}
	return &dynamic.Set{}
}

func (a *app) diffCommand() *ffcli.Command {
	return a.command("diff", "FILE...", "Shows what publishing the files would change.", newFlagSet("diff"),
		func(ctx context.Context, files []string) error {
			source, err := load(files)
			if err != nil {
				return err
			}
			return a.withPublisher(func(p *operator.Publisher) error {
				current, err := p.Current(ctx)
				if err != nil {
					return err
				}
				return a.printChanges(dynamic.Diff(publishedSet(current), &source.Set))
			})
		})
}

func (a *app) printChanges(changes []dynamic.Change) error {
	if a.json {
		return a.printJSON(changes)
	}
	if len(changes) == 0 {
		fmt.Fprintln(a.output, "no change")
	}
	for _, change := range changes {
		fmt.Fprintln(a.output, change)
	}
	return nil
}
