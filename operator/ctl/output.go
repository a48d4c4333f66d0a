package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"samphireferry.example/ferry/config/dynamic"
)

// printJSON prints the value as indented JSON.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows of cells under a header.
func (a *app) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// published is the result of a command that published a version.
type published struct {
	Version   uint64           `json:"version"`
	PublishID string           `json:"publish_id"`
	Changes   []dynamic.Change `json:"changes,omitempty"`
}

func (a *app) printPublished(config *dynamic.Config, changes []dynamic.Change) error {
	if a.json {
		return a.printJSON(published{Version: config.Version, PublishID: config.PublishID, Changes: changes})
	}
	for _, change := range changes {
		fmt.Fprintln(a.output, change)
	}
	fmt.Fprintf(a.output, "published version %d\n", config.Version)
	return nil
}
