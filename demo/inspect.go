package demo

import (
	"strings"

	standinupstream "samphireferry.example/ferry/standin/upstream"
)

// Executions returns, for each idempotency key, how often its request ran on all
// upstreams together.
func (s *System) Executions() map[string]int {
	total := map[string]int{}
	for _, u := range s.Upstreams {
		for key, n := range u.Ledger().Snapshot().Executions {
			total[key] += n
		}
	}
	return total
}

// SetFaults replaces the faults of the upstreams whose names have the prefix.
func (s *System) SetFaults(prefix string, faults ...standinupstream.Fault) {
	for name, u := range s.Upstreams {
		if strings.HasPrefix(name, prefix) {
			u.SetFaults(standinupstream.Faults{Requests: faults})
		}
	}
}
