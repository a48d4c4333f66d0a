package upstream_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/balancing"
	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
	"samphireferry.example/ferry/upstream"
)

// TestProberReportsEndpointState puts the endpoints into one state after
// another and waits for a result that shows it.
func TestProberReportsEndpointState(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1", Slots: 2, ColdFor: 200 * time.Millisecond})
	server := httptest.NewServer(s)
	defer server.Close()
	results := make(chan balancing.ProbeResult, 1000)
	prober := upstream.NewProber(upstream.ProberOptions{
		Timeout:  100 * time.Millisecond,
		OnResult: func(r balancing.ProbeResult) { results <- r },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		prober.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	prober.Update([]upstream.ProbeTarget{{
		Upstream: "u1", Address: server.Listener.Addr().String(),
		HealthPath: "/healthz", LoadPath: "/load", Interval: 10 * time.Millisecond,
	}})
	misleadingLoad := 1.5
	steps := []struct {
		name   string
		faults standin.Faults
		want   func(r balancing.ProbeResult) bool
	}{
		{"cold", standin.Faults{}, func(r balancing.ProbeResult) bool { return r.Healthy && r.Cold && r.Load == 0 }},
		{"warm", standin.Faults{}, func(r balancing.ProbeResult) bool { return r.Healthy && !r.Cold }},
		{"draining", standin.Faults{Draining: true}, func(r balancing.ProbeResult) bool { return r.Healthy && r.Draining }},
		{"misleading load", standin.Faults{Probes: standin.ProbeFault{Load: &misleadingLoad}}, func(r balancing.ProbeResult) bool { return r.Load == misleadingLoad }},
		{"failed", standin.Faults{Probes: standin.ProbeFault{Health: "failed"}}, func(r balancing.ProbeResult) bool { return !r.Healthy && r.Load < 0 }},
		{"silent", standin.Faults{Probes: standin.ProbeFault{Silent: true}}, func(r balancing.ProbeResult) bool { return !r.Healthy }},
		{"lagging", standin.Faults{Probes: standin.ProbeFault{Lag: units.Duration(time.Millisecond)}}, func(r balancing.ProbeResult) bool { return r.Healthy }},
	}
	for _, step := range steps {
		s.SetFaults(step.faults)
		timeout := time.After(20 * time.Second)
		for found := false; !found; {
			select {
			case r := <-results:
				found = step.want(r)
			case <-timeout:
				t.Fatal("no report of the state " + step.name)
			}
		}
	}
	prober.Update(nil)
	assert.Equal(t, s.Ledger().Snapshot().Executed, 0)
}
