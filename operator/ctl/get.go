package ctl

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/samber/lo"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
)

func (a *app) getCommand() *ffcli.Command {
	return a.command("get", "[KIND [NAME]]", "Shows the published objects.", newFlagSet("get"),
		func(ctx context.Context, args []string) error {
			if len(args) > 2 {
				return usagef("get takes at most a kind and a name")
			}
			if len(args) > 0 && !lo.Contains(dynamic.Kinds(), dynamic.Kind(args[0])) {
				return usagef("no kind %q; the kinds are %v", args[0], dynamic.Kinds())
			}
			return a.withPublisher(func(p *operator.Publisher) error {
				current, err := p.Current(ctx)
				if err != nil {
					return err
				}
				if current.Config == nil {
					return errors.New("nothing has been published")
				}
				return a.get(current.Config, args)
			})
		})
}

func (a *app) get(config *dynamic.Config, args []string) error {
	switch len(args) {
	case 0:
		return a.getAll(config)
	case 1:
		return a.getKind(config, dynamic.Kind(args[0]))
	}
	for _, object := range config.Set.Objects(dynamic.Kind(args[0])) {
		if object.Name == args[1] {
			return a.printJSON(object.Value)
		}
	}
	return errors.Newf("no %s %q in version %d", args[0], args[1], config.Version)
}

func (a *app) getAll(config *dynamic.Config) error {
	if a.json {
		return a.printJSON(config)
	}
	rows := [][]string{{"version", strconv.FormatUint(config.Version, 10)}, {"publish_id", config.PublishID}}
	counts := countObjects(&config.Set)
	for _, kind := range dynamic.Kinds() {
		rows = append(rows, []string{string(kind), strconv.Itoa(counts[kind])})
	}
	return a.printTable([]string{"what", "value"}, rows)
}

func (a *app) getKind(config *dynamic.Config, kind dynamic.Kind) error {
	objects := config.Set.Objects(kind)
	if a.json {
		return a.printJSON(lo.Map(objects, func(o dynamic.Object, _ int) any { return o.Value }))
	}
	return a.printTable([]string{"name"}, lo.Map(objects, func(o dynamic.Object, _ int) []string { return []string{o.Name} }))
}
