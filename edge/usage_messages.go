package edge

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/usage"
)

// sourceOfIncarnation returns the source of the counts of a process.
func sourceOfIncarnation(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// usageReportMessage returns the message for the reports. Each customer is named once.
func usageReportMessage(reports []usage.SourceReport) *entrypb.UsageReport {
	m := &entrypb.UsageReport{}
	positions := map[string]uint32{}
	for _, r := range reports {
		source := &entrypb.SourceUsage{Source: r.Source, DoneThrough: r.DoneThrough}
		for _, window := range slices.Sorted(maps.Keys(r.Windows)) {
			counts := r.Windows[window]
			w := &entrypb.WindowUsage{Window: window, Version: counts.Version}
			for _, customer := range slices.Sorted(maps.Keys(counts.Customers)) {
				position, known := positions[customer]
				if !known {
					position = uint32(len(m.Customers))
					positions[customer] = position
					m.Customers = append(m.Customers, customer)
				}
				w.Customers = append(w.Customers, position)
				w.Counts = append(w.Counts, uint32(counts.Customers[customer]))
			}
			source.Windows = append(source.Windows, w)
		}
		m.Sources = append(m.Sources, source)
	}
	return m
}

// usageReportsOf returns the reports in the message. Counts without a customer are left out.
func usageReportsOf(m *entrypb.UsageReport) []usage.SourceReport {
	var reports []usage.SourceReport
	for _, source := range m.GetSources() {
		r := usage.SourceReport{Source: source.GetSource(), DoneThrough: source.GetDoneThrough(), Windows: map[int64]usage.Counts{}}
		for _, w := range source.GetWindows() {
			counts := usage.Counts{Version: w.GetVersion(), Customers: map[string]uint64{}}
			for i := range min(len(w.GetCustomers()), len(w.GetCounts())) {
				if position := int(w.GetCustomers()[i]); position < len(m.GetCustomers()) {
					counts.Customers[m.GetCustomers()[position]] = uint64(w.GetCounts()[i])
				}
			}
			r.Windows[w.GetWindow()] = counts
		}
		reports = append(reports, r)
	}
	return reports
}
