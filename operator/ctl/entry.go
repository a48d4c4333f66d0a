package ctl

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/platform"
)

// pathEntryInstances is the path at which an entry instance serves the list of
// entry instances that a caller should use.
const pathEntryInstances = "/v1/entry-instances"

func (a *app) entryInstancesCommand() *ffcli.Command {
	return a.command("entry-instances", "", "Shows which entry instances a caller at this address should use.", newFlagSet("entry-instances"),
		func(ctx context.Context, args []string) error {
			if a.entryURL == "" || len(args) > 0 {
				return usagef("entry-instances needs the flag -entry and takes no arguments")
			}
			list, err := fetchEntryInstances(ctx, a.entryURL)
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(list)
			}
			var rows [][]string
			for _, i := range list.Instances {
				rows = append(rows, []string{i.Address, i.FailureDomain, i.Region})
			}
			return a.printTable([]string{"address", "failure domain", "region"}, rows)
		})
}

func fetchEntryInstances(ctx context.Context, url string) (*caller.EntryInstanceList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+pathEntryInstances, nil)
	if err != nil {
		return nil, usagef("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s returned HTTP status %d", url, response.StatusCode)
	}
	var list caller.EntryInstanceList
	err = json.NewDecoder(response.Body).Decode(&list)
	return &list, errors.Wrap(err, url)
}
