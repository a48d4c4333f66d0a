package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphireferry.example/ferry/client"
)

const (
	// Range of the latency histograms, in microseconds.
	minLatencyMicros = 1
	maxLatencyMicros = int64(MaxDuration / time.Microsecond)
	// latencyDigits is the number of significant decimal digits.
	latencyDigits = 3
)

// stats counts the requests of one customer. It is safe for concurrent use.
type stats struct {
	customer *Customer

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	outcomes  map[string]int64
	retries   map[string]int64
	instances map[string]int64
}

func newStats(customer *Customer) *stats {
	return &stats{
		customer:  customer,
		latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		outcomes:  map[string]int64{},
		retries:   map[string]int64{},
		instances: map[string]int64{},
	}
}

// recordAttempt counts one attempt and, when it is a retry, the outcome that it follows.
func (s *stats) recordAttempt(attempt client.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[attempt.Entry]++
	if attempt.Previous != "" {
		s.retries[attempt.Previous]++
	}
}

// recordOutcome counts one request. Only the latency of requests that were OK is recorded.
func (s *stats) recordOutcome(outcome string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	if outcome == OutcomeOK {
		_ = s.latency.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	}
}

// Report is the result of a run.
type Report struct {
	// Seconds is the time during which requests started.
	Seconds   float64          `json:"seconds"`
	Customers []CustomerReport `json:"customers"`
	// WorstServed is the name of the customer with the lowest fraction of requests that
	// were OK; of several, the one with the highest 99th percentile of the latency.
	WorstServed string `json:"worst_served"`
}

// CustomerReport holds the results of one customer.
type CustomerReport struct {
	Name string `json:"name"`
	// Rate is the intended rate in requests per second.
	Rate     float64 `json:"rate"`
	Requests int64   `json:"requests"`
	OK       int64   `json:"ok"`
	// Outcomes counts the requests by outcome, Retries the retries by the outcome that
	// they followed, and Instances the attempts by base URL.
	Outcomes  map[string]int64 `json:"outcomes"`
	Retries   map[string]int64 `json:"retries,omitempty"`
	Instances map[string]int64 `json:"instances"`
	// Latency is the latency of the requests that were OK, from the intended start.
	Latency Latency `json:"latency_ms"`
}

// Latency holds the mean, quantiles and maximum of latencies in milliseconds.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

func (s *stats) report() CustomerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := CustomerReport{
		Name:      s.customer.Name,
		Rate:      s.customer.Rate.PerSecond(),
		OK:        s.outcomes[OutcomeOK],
		Outcomes:  maps.Clone(s.outcomes),
		Retries:   maps.Clone(s.retries),
		Instances: maps.Clone(s.instances),
		Latency: Latency{
			Mean: s.latency.Mean() / 1000,
			P50:  milliseconds(s.latency.ValueAtQuantile(50)),
			P90:  milliseconds(s.latency.ValueAtQuantile(90)),
			P99:  milliseconds(s.latency.ValueAtQuantile(99)),
			P999: milliseconds(s.latency.ValueAtQuantile(99.9)),
			Max:  milliseconds(s.latency.Max()),
		},
	}
	for _, n := range s.outcomes {
		report.Requests += n
	}
	return report
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// okShare returns the fraction of the requests that were OK; 1 without requests.
func (c *CustomerReport) okShare() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.OK) / float64(c.Requests)
}

// worstServed returns the name of the customer for Report.WorstServed.
func worstServed(customers []CustomerReport) string {
	worst := -1
	for i := range customers {
		if worst < 0 || servedWorse(&customers[i], &customers[worst]) {
			worst = i
		}
	}
	if worst < 0 {
		return ""
	}
	return customers[worst].Name
}

func servedWorse(a, b *CustomerReport) bool {
	if a.okShare() != b.okShare() {
		return a.okShare() < b.okShare()
	}
	return a.Latency.P99 > b.Latency.P99
}
