package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/samber/lo"

	"samphireferry.example/ferry/operator/where"
	"samphireferry.example/ferry/platform"
)

const (
	// maxAnswerBytes bounds the answer of an instance.
	maxAnswerBytes = 16 << 20
	// shownCandidates is the number of upstreams shown without -all: the object's own, and those
	// that could take their place.
	shownCandidates = 10
)

func (a *app) whereCommand() *ffcli.Command {
	fs := newFlagSet("where")
	question := url.Values{}
	for _, param := range []struct{ name, help string }{
		{where.ParamHost, "host of the request"},
		{where.ParamMethod, "method of the request; GET if empty"},
		{where.ParamObject, "object key of the request"},
		{where.ParamAttempt, "attempt id of the request, which decides where it goes if it has no object key"},
		{where.ParamCustomer, "name of the customer, as in the configuration"},
	} {
		fs.Func(param.name, param.help, func(value string) error {
			question.Set(param.name, value)
			return nil
		})
	}
	all := fs.Bool("all", false, "show all upstreams of the service")
	return a.command("where", "PATH", "Shows where an entry instance would send a request now and why, without sending it.", fs,
		func(ctx context.Context, args []string) error {
			if a.entryURL == "" || len(args) != 1 {
				return usagef("where needs the flag -entry with the metrics address of an instance, and the path of a request")
			}
			question.Set(where.ParamPath, args[0])
			answer, err := askWhere(ctx, a.entryURL, question)
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(answer)
			}
			return a.printWhere(answer, *all)
		})
}

func askWhere(ctx context.Context, entryURL string, question url.Values) (*where.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entryURL+where.Path+"?"+question.Encode(), nil)
	if err != nil {
		return nil, usagef("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s returned HTTP status %d: %s", entryURL, response.StatusCode, strings.TrimSpace(string(data)))
	}
	var answer where.Answer
	err = json.Unmarshal(data, &answer)
	return &answer, errors.Wrap(err, entryURL)
}

func (a *app) printWhere(w *where.Answer, all bool) error {
	fmt.Fprintf(a.output, "instance %s in %s (%s), configuration %d%s\n", w.Instance, w.FailureDomain, w.Region, w.ConfigVersion, lo.Ternary(w.Leaving, ", leaving", ""))
	if r := w.Route; r != nil {
		kind := lo.Ternary(r.AtMostOnce, "at most once, ", "")
		fmt.Fprintf(a.output, "route %s (%s%s, %spriority %d, timeout %v)\n", r.Name, r.Host, r.Prefix, kind, r.Priority, time.Duration(r.TimeoutMillis)*time.Millisecond)
	}
	if w.Customer != "" {
		fmt.Fprintf(a.output, "customer %s%s\n", w.Customer, rateText(w.Rate))
	}
	if w.Service != "" {
		shares := lo.Map(w.Split, func(s where.Share, _ int) string { return fmt.Sprintf("%s %g", s.Service, s.Weight) })
		fmt.Fprintf(a.output, "service %s%s, upstreams in the order of the %s\n", w.Service, lo.Ternary(len(shares) > 0, " of the split "+strings.Join(shares, ", "), ""), w.Order)
	}
	if w.PriorityFraction != nil && *w.PriorityFraction < 1 {
		fmt.Fprintf(a.output, "overload: %.2f of the requests of this priority are admitted\n", *w.PriorityFraction)
	}
	for _, choice := range w.Choices {
		if err := a.printChoice(choice, all); err != nil {
			return err
		}
	}
	if w.Refusal != "" {
		waits := w.Rate != nil && w.Rate.MayWait
		fmt.Fprintf(a.output, "refused: %s%s\n", w.Refusal, lo.Ternary(waits, ", unless a token comes while it waits", ""))
		return nil
	}
	fmt.Fprintf(a.output, "goes to %s\n", w.Upstream)
	return nil
}

func rateText(r *where.Rate) string {
	if r == nil {
		return ", no rate"
	}
	return fmt.Sprintf(", %.1f of %d tokens here, %.1f/s here of %g/s and %d in the fleet, %d waiting", r.Tokens, r.HereBurst, r.HerePerSecond, r.PerSecond, r.Burst, r.Waiting)
}

func (a *app) printChoice(choice where.Choice, all bool) error {
	if choice.Version != "" {
		share := lo.Ternary(choice.NewShare > 0, fmt.Sprintf(", which gets %.3f of the route", choice.NewShare), "")
		fmt.Fprintf(a.output, "roll-out of %s (%s%s): among %s\n", choice.Version, choice.Phase, share, lo.Ternary(choice.New, "its upstreams", "the upstreams of other versions"))
	}
	if choice.EjectionsIgnored {
		fmt.Fprintln(a.output, "most upstreams are ejected, so ejections are ignored")
	}
	shown := choice.Candidates
	if !all {
		shown = shown[:min(len(shown), shownCandidates)]
	}
	rows := lo.Map(shown, func(c where.Candidate, _ int) []string {
		reason := c.Reason
		if c.ForMillis > 0 {
			reason += " for " + seconds(c.ForMillis)
		}
		age := "none"
		if c.LoadAgeMillis >= 0 {
			age = seconds(c.LoadAgeMillis)
		}
		return []string{c.Upstream, reason, fmt.Sprintf("%.1f", c.Load), strconv.Itoa(c.Slots), age, c.FailureDomain, c.Region, cmp.Or(c.Version, "-")}
	})
	if err := a.printTable([]string{"upstream", "reason", "load", "slots", "load age", "failure domain", "region", "version"}, rows); err != nil {
		return err
	}
	if rest := choice.Candidates[len(shown):]; len(rest) > 0 {
		counts := lo.CountValuesBy(rest, func(c where.Candidate) string { return c.Reason })
		reasons := lo.MapToSlice(counts, func(reason string, n int) string { return fmt.Sprintf("%d %s", n, reason) })
		slices.Sort(reasons)
		fmt.Fprintf(a.output, "%d more (-all shows them): %s\n", len(rest), strings.Join(reasons, ", "))
	}
	return nil
}

// seconds returns the milliseconds as text.
func seconds(millis int64) string { return (time.Duration(millis) * time.Millisecond).String() }
