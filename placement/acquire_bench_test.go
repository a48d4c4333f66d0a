package placement

import (
	"fmt"
	"testing"
	"time"

	"samphireferry.example/ferry/registry"
)

// BenchmarkAcquire measures the choice of an upstream in a service of three regions, and the
// release with a load report.
func BenchmarkAcquire(b *testing.B) {
	benchmarkAcquire(b, Settings{}, Load{Known: true, Requests: 1})
}

// BenchmarkAcquireByCompletion is the same among upstreams that state their pace.
func BenchmarkAcquireByCompletion(b *testing.B) {
	benchmarkAcquire(b, Settings{}, Load{Known: true, Requests: 1, Pace: 120})
}

// BenchmarkAcquireStable is the same with the stable assignment.
func BenchmarkAcquireStable(b *testing.B) {
	benchmarkAcquire(b, Settings{Stable: true}, Load{Known: true, Requests: 1})
}

func benchmarkAcquire(b *testing.B, settings Settings, load Load) {
	for _, size := range []int{40, 465, 816, 1600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			regions := map[string]string{}
			var all []*registry.Upstream
			for n := range size {
				domain := fmt.Sprintf("d%d", n%9)
				regions[domain] = fmt.Sprintf("r%d", n%3)
				u := upstreamIn(fmt.Sprintf("u%04d", n), domain)
				all = append(all, u)
			}
			p := NewPool(Location{FailureDomain: "d0", Region: "r0"})
			settings.Regions, settings.Senders = regions, 60
			p.Configure(settings)
			p.Update(all, nil)
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(100 * time.Millisecond)
				lease, refusal := p.Acquire(now, query(uint64(n)))
				if refusal == Chosen {
					lease.Release(now, Answered, load)
				}
			}
		})
	}
}
