// Package telemetry provides the logs of a process and its metrics, which it
// writes in the Prometheus text format.
//
// Each process, or each entry instance embedded in one process, has its own
// Metrics, so that several can run side by side.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/invariant"
)

// RetryReason is the reason for which a request is sent again, one of the
// constants below.
type RetryReason string

// The reasons for a retry. Each has its own counter.
const (
	// RetryConnectionFailed counts requests that failed before any byte was sent,
	// such as when no connection could be opened.
	RetryConnectionFailed RetryReason = "connection_failed"
	// RetryUpstreamShed counts requests that an upstream shed without running them.
	RetryUpstreamShed RetryReason = "upstream_shed"
	// RetryRelayRefused counts requests that another entry instance refused without
	// running them.
	RetryRelayRefused RetryReason = "relay_refused"
	// RetrySilentConnection counts idempotent requests retried after the silence
	// timeout of a connection.
	RetrySilentConnection RetryReason = "silent_connection"
	// RetryAnswerMismatched counts idempotent requests retried after the response to
	// another request.
	RetryAnswerMismatched RetryReason = "answer_mismatched"
	// RetryAnswerTruncated counts idempotent requests retried after a truncated
	// response.
	RetryAnswerTruncated RetryReason = "answer_truncated"
	// RetryUpstreamFailed counts idempotent requests retried after an upstream failed.
	RetryUpstreamFailed RetryReason = "upstream_failed"
)

// RetryReasons returns all retry reasons.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectionFailed, RetryUpstreamShed, RetryRelayRefused, RetrySilentConnection,
		RetryAnswerMismatched, RetryAnswerTruncated, RetryUpstreamFailed,
	}
}

// Metrics is the set of counters, gauges and histograms of one process.
type Metrics struct {
	set             *metrics.Set
	refusalCounters [256]*metrics.Counter
	retryCounters   map[RetryReason]*metrics.Counter
}

// New returns metrics in which all refusal and retry counters exist and are 0.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet(), retryCounters: map[RetryReason]*metrics.Counter{}}
	for _, kind := range errkind.All() {
		m.refusalCounters[kind] = m.Counter("ferry_refusals_total", "kind", kind.String())
	}
	for _, reason := range RetryReasons() {
		m.retryCounters[reason] = m.Counter("ferry_retries_total", "reason", string(reason))
	}
	return m
}

// CountRefusal counts a request refused or failed with the error kind, in total and
// by service and customer, which are empty when the request was refused before they
// were known.
func (m *Metrics) CountRefusal(kind errkind.Kind, service, customer string) {
	m.refusalCounters[kind].Inc()
	m.Counter("ferry_request_refusals_total", "kind", kind.String(), "service", service, "customer", customer).Inc()
}

// Refusals returns the number of requests refused or failed with the error kind.
func (m *Metrics) Refusals(kind errkind.Kind) uint64 { return m.refusalCounters[kind].Get() }

// CountRetry counts a retry for the reason, in total and by service and customer.
func (m *Metrics) CountRetry(reason RetryReason, service, customer string) {
	m.retryCounters[reason].Inc()
	m.Counter("ferry_request_retries_total", "reason", string(reason), "service", service, "customer", customer).Inc()
}

// Counter returns the counter with the name and the label pairs, and creates it on
// first use.
func (m *Metrics) Counter(name string, labelPairs ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(SeriesName(name, labelPairs...))
}

// Gauge registers a gauge whose value is read from the function when the metrics
// are written.
func (m *Metrics) Gauge(name string, value func() float64, labelPairs ...string) {
	m.set.GetOrCreateGauge(SeriesName(name, labelPairs...), value)
}

// Histogram returns the histogram with the name and the label pairs, and creates it
// on first use.
func (m *Metrics) Histogram(name string, labelPairs ...string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(SeriesName(name, labelPairs...))
}

// ExportInvariantViolations exports the number of violations that the checker has
// recorded.
func (m *Metrics) ExportInvariantViolations(checker *invariant.Checker) {
	m.Gauge("ferry_invariant_violations", func() float64 { return float64(checker.Total()) })
}

// WritePrometheus writes all series in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

// SeriesName returns the name of a metric followed by its labels in braces. The
// label pairs are alternating names and values.
func SeriesName(name string, labelPairs ...string) string {
	if len(labelPairs) == 0 {
		return name
	}
	series := name + "{"
	for i := 0; i+1 < len(labelPairs); i += 2 {
		if i > 0 {
			series += ","
		}
		series += fmt.Sprintf("%s=%q", labelPairs[i], labelPairs[i+1])
	}
	return series + "}"
}
