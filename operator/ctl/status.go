package ctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
)

// statusInterval is the time between two reports while a status command waits.
const statusInterval = 250 * time.Millisecond

func (a *app) statusCommand() *ffcli.Command {
	fs := newFlagSet("status")
	version := fs.Uint64("version", 0, "version that should be in force; 0 means the published one")
	wait := fs.Duration("wait", 0, "time to wait for the version to be in force")
	return a.command("status", "", "Reports on which entry instances a version is in force.", fs,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("status takes no arguments")
			}
			if a.platformURL == "" && a.entryURL == "" {
				return usagef("set -platform to the URL of the platform, or -entry to that of an entry instance")
			}
			report, err := a.waitForReport(ctx, *version, *wait)
			if err != nil {
				return err
			}
			if err := a.printReport(report); err != nil {
				return err
			}
			if !report.InForce {
				return errNotInForce
			}
			return nil
		})
}

// waitForReport repeats the report until the version is in force, the wait is over
// or the context ends, and returns the last one.
func (a *app) waitForReport(ctx context.Context, version uint64, wait time.Duration) (*operator.Report, error) {
	collector := a.newCollector()
	defer collector.close()
	end := time.Now().Add(wait)
	for {
		report, err := collector.report(ctx, version)
		done := err == nil && report.InForce
		if done || !time.Now().Before(end) || ctx.Err() != nil {
			return report, err
		}
		time.Sleep(statusInterval)
	}
}

func (a *app) printReport(r *operator.Report) error {
	if a.json {
		return a.printJSON(r)
	}
	var rows [][]string
	for _, i := range r.Instances {
		rows = append(rows, []string{i.FailureDomain, i.Name, string(i.State), strconv.FormatUint(i.ConfigVersion, 10), remarks(i)})
	}
	if err := a.printTable([]string{"failure domain", "instance", "state", "version", "remarks"}, rows); err != nil {
		return err
	}
	a.printShifts("move", r.Moves)
	a.printShifts("roll-out", r.Rollouts)
	for _, key := range r.WithdrawnKeys {
		fmt.Fprintf(a.output, "key %s: withdrawn%s\n", key.Name, behindSuffix(key.NotYet))
	}
	if r.InForce {
		fmt.Fprintf(a.output, "version %d is in force everywhere\n", r.Version)
		return nil
	}
	fmt.Fprintf(a.output, "version %d is not in force everywhere\n", r.Version)
	return nil
}

// remarks returns the remarks on one instance, separated by semicolons.
func remarks(i operator.InstanceReport) string {
	var texts []string
	if i.CutOff {
		texts = append(texts, fmt.Sprintf("cut off from the store for %s", time.Duration(i.StoreAgeMillis)*time.Millisecond))
	}
	if i.Leaving {
		texts = append(texts, "leaving")
	}
	if i.Error != "" {
		texts = append(texts, i.Error)
	}
	return strings.Join(texts, "; ")
}

func (a *app) printShifts(what string, shifts []operator.ShiftReport) {
	for _, s := range shifts {
		reason := ""
		if s.Reason != "" {
			reason = " (" + s.Reason + ")"
		}
		fmt.Fprintf(a.output, "%s %s of %s: %s%s, share %.1f%%%s\n", what, s.Name, s.Service, s.State, reason, s.Share*100, behindSuffix(s.Behind))
	}
}

// behindSuffix returns the end of a line that lists the instances on which a step or
// a withdrawal is not known to be in force.
func behindSuffix(instances []string) string {
	if len(instances) == 0 {
		return ""
	}
	return ", not known to be in force on " + strings.Join(instances, ", ")
}

// report builds one report from the platform and all instances. A version of 0 means
// the published one or, if there is none or the platform cannot be read, the newest
// one on any instance.
func (c *collector) report(ctx context.Context, version uint64) (*operator.Report, error) {
	var set *dynamic.Set
	if c.publisher != nil {
		readCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		current, err := c.publisher.Current(readCtx)
		cancel()
		switch {
		case err == nil:
			set = current.Set()
			if version == 0 {
				version = current.Version()
			}
		case c.entryURL == "":
			return nil, errors.Wrap(err, "published version")
		}
	}
	probes, err := c.probes(ctx)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		version = newestVersion(probes)
	}
	return operator.NewReport(version, set, probes), nil
}
