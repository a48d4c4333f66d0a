package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the report as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\trate/s\trequests\tok\tok %\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for i := range r.Customers {
		c := &r.Customers[i]
		fmt.Fprintf(table, "%s\t%.1f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			c.Name, c.Rate, c.Requests, c.OK, 100*c.okShare(),
			c.Latency.P50, c.Latency.P90, c.Latency.P99, c.Latency.P999, c.Latency.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range r.Customers {
		c := &r.Customers[i]
		fmt.Fprintf(w, "%s: outcomes %s", c.Name, counts(c.Outcomes))
		if len(c.Retries) > 0 {
			fmt.Fprintf(w, "; retries after %s", counts(c.Retries))
		}
		fmt.Fprintln(w)
	}
	_, err := fmt.Fprintf(w, "worst served: %s\n", r.WorstServed)
	return err
}

// counts formats the counts in the order of their names.
func counts(byName map[string]int64) string {
	parts := make([]string, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, byName[name]))
	}
	return strings.Join(parts, ", ")
}
