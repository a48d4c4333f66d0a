package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	standinplatform "samphireferry.example/ferry/standin/platform"
)

// benchSystem returns a system of the default size whose instances serve and whose
// upstreams are no longer cold.
func benchSystem(b *testing.B) *System {
	s, err := Start(Options{Change: func(set *dynamic.Set) {
		set.Customers[0].Rate, set.Customers[0].Burst = 1e6, 1_000_000
	}})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, s.Stop()) })
	assert.NilError(b, s.WaitReady(b.Context()))
	time.Sleep(12 * time.Second) // The upstreams are cold and are ramped up.
	return s
}

// reportDurations reports the median and the longest of the times.
func reportDurations(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1e3, "median-ms")
	b.ReportMetric(times[len(times)-1].Seconds()*1e3, "longest-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTimeInForce measures the time from the publication of a configuration
// until every entry instance has it.
func BenchmarkTimeInForce(b *testing.B) {
	s := benchSystem(b)
	var times []time.Duration
	version := s.Entries[0].ConfigVersion()
	for b.Loop() {
		start := time.Now()
		assert.NilError(b, s.Publish(b.Context()))
		version++
		for _, entry := range s.Entries {
			for entry.ConfigVersion() < version {
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(start))
		time.Sleep(time.Second)
	}
	reportDurations(b, times)
}

// BenchmarkDrain measures the time from the publication of a drain until the upstream
// gets its last new request, at 1,000 reads per second. The metric served is the
// average number of its requests in the second before the publication.
func BenchmarkDrain(b *testing.B) {
	s := benchSystem(b)
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { sendReadsSteadily(ctx, s) })
	defer running.Wait()
	defer cancel()
	drains := s.Set.Drains
	var times []time.Duration
	served := uint64(0)
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprintf("lookup-v1-%02d", 1+i%4)
		executed := func() uint64 { return uint64(s.Upstreams[name].Ledger().Snapshot().Executed) }
		before := executed()
		time.Sleep(time.Second)
		served += executed() - before
		times = append(times, timeToLastRequest(b, s, executed, func() {
			s.Set.Drains = append(slices.Clone(drains), dynamic.Drain{Name: "maintenance", Upstream: name})
		}))
		s.Set.Drains = drains
		assert.NilError(b, s.Publish(b.Context()))
		time.Sleep(12 * time.Second)
	}
	b.ReportMetric(float64(served)/float64(b.N), "served")
	reportDurations(b, times)
}

// timeToLastRequest publishes a change and returns the time until the last increase
// of the count within 4 seconds.
func timeToLastRequest(b *testing.B, s *System, count func() uint64, change func()) time.Duration {
	start := time.Now()
	last := make(chan time.Duration)
	go func() {
		risen, seen := time.Duration(0), count()
		for time.Since(start) < 4*time.Second {
			if now := count(); now != seen {
				risen, seen = time.Since(start), now
			}
			time.Sleep(time.Millisecond)
		}
		last <- risen
	}()
	change()
	assert.NilError(b, s.Publish(b.Context()))
	return <-last
}

// sendReadsSteadily sends 1,000 reads per second to the entry instances in turn.
func sendReadsSteadily(ctx context.Context, s *System) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-ticker.C
		go sendRead(http.DefaultClient, "http://"+s.Entries[i%len(s.Entries)].CallerAddress())
	}
}

// BenchmarkPlatformCalls measures the rate of calls to the platform from a system of
// the default size: in steady state, during an outage, and after it.
func BenchmarkPlatformCalls(b *testing.B) {
	s := benchSystem(b)
	phases := []struct {
		name    string
		faults  standinplatform.Faults
		seconds float64
	}{
		{"steady", standinplatform.Faults{}, 30},
		{"outage", standinplatform.Faults{Outage: standinplatform.OutageRefuse}, 30},
		{"return", standinplatform.Faults{}, 10},
	}
	for b.Loop() {
		for _, phase := range phases {
			s.Platform.SetFaults(phase.faults)
			before := s.Platform.Calls()
			time.Sleep(time.Duration(phase.seconds * float64(time.Second)))
			sum := 0.0
			for kind, n := range s.Platform.Calls() {
				rate := float64(n-before[kind]) / phase.seconds
				b.ReportMetric(rate, fmt.Sprintf("%s-%v/s", phase.name, kind))
				sum += rate
			}
			b.ReportMetric(sum, phase.name+"-calls/s")
		}
	}
}
