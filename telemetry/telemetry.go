// Package telemetry holds the counters of one process and serves them in the
// Prometheus text format.
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

// RetryReason is the closed list of reasons for which a request is sent again.
type RetryReason string

// The reasons for a retry. Each has its own counter.
const (
	// RetryConnectionFailed counts requests whose connection never opened.
	RetryConnectionFailed RetryReason = "connection_failed"
	// RetryUpstreamShed counts requests that an upstream refused unrun.
	RetryUpstreamShed RetryReason = "upstream_shed"
	// RetryRelayRefused counts requests that another entry instance refused unrun.
	RetryRelayRefused RetryReason = "relay_refused"
	// RetrySilentConnection counts reads moved off a silent connection.
	RetrySilentConnection RetryReason = "silent_connection"
	// RetryAnswerMismatched counts reads repeated after a foreign answer.
	RetryAnswerMismatched RetryReason = "answer_mismatched"
	// RetryAnswerTruncated counts reads repeated after a cut answer.
	RetryAnswerTruncated RetryReason = "answer_truncated"
	// RetryUpstreamFailed counts reads repeated after an upstream failure.
	RetryUpstreamFailed RetryReason = "upstream_failed"
)

// RetryReasons returns every retry reason.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryConnectionFailed, RetryUpstreamShed, RetryRelayRefused, RetrySilentConnection,
		RetryAnswerMismatched, RetryAnswerTruncated, RetryUpstreamFailed,
	}
}

// Metrics is the set of counters, gauges and histograms of one process.
type Metrics struct {
	set      *metrics.Set
	refusals [256]*metrics.Counter
	retries  map[RetryReason]*metrics.Counter
}

// New returns a set in which every refusal and retry counter stands at 0.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet(), retries: map[RetryReason]*metrics.Counter{}}
	for _, kind := range errkind.All() {
		m.refusals[kind] = m.Counter("ferry_refusals_total", "kind", kind.String())
	}
	for _, reason := range RetryReasons() {
		m.retries[reason] = m.Counter("ferry_retries_total", "reason", string(reason))
	}
	return m
}

// Refused counts one refused or failed request of the kind, also by service and
// customer; these are empty when the request was refused before they were known.
func (m *Metrics) Refused(kind errkind.Kind, service, customer string) {
	m.refusals[kind].Inc()
	m.Counter("ferry_request_refusals_total", "kind", kind.String(), "service", service, "customer", customer).Inc()
}

// Refusals returns the number of refused or failed requests of the kind.
func (m *Metrics) Refusals(kind errkind.Kind) uint64 { return m.refusals[kind].Get() }

// Retried counts one retry for the reason, also by service and customer.
func (m *Metrics) Retried(reason RetryReason, service, customer string) {
	m.retries[reason].Inc()
	m.Counter("ferry_request_retries_total", "reason", string(reason), "service", service, "customer", customer).Inc()
}

// Counter returns the counter with the name and the label pairs, made on first use.
func (m *Metrics) Counter(name string, labelPairs ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(Series(name, labelPairs...))
}

// Gauge registers a gauge that reads its value from the function.
func (m *Metrics) Gauge(name string, value func() float64, labelPairs ...string) {
	m.set.GetOrCreateGauge(Series(name, labelPairs...), value)
}

// Histogram returns the histogram with the name and the label pairs, made on first use.
func (m *Metrics) Histogram(name string, labelPairs ...string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(Series(name, labelPairs...))
}

// WatchInvariants exports the number of violations that the checker has seen.
func (m *Metrics) WatchInvariants(checker *invariant.Checker) {
	m.Gauge("ferry_invariant_violations", func() float64 { return float64(checker.Total()) })
}

// WritePrometheus writes all series in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

// Series returns the name of a metric with its label pairs, as name and value in
// turn.
func Series(name string, labelPairs ...string) string {
	if len(labelPairs) == 0 {
		return name
	}
	text := name + "{"
	for i := 0; i+1 < len(labelPairs); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labelPairs[i], labelPairs[i+1])
	}
	return text + "}"
}
