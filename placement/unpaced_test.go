package placement

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// choicesOf returns a hash of the choices for 20,000 requests to 60 upstreams in three regions, with
// refusals, failures, changing loads and shares, and reports of another instance.
func choicesOf(load func(requests int) Load) uint64 {
	const upstreams, requests = 60, 20_000
	random := rand.New(rand.NewPCG(7, 1))
	regions := map[string]string{}
	var all []*registry.Upstream
	for n := range upstreams {
		domain := fmt.Sprintf("d%d", n%9)
		regions[domain] = fmt.Sprintf("r%d", n%3)
		all = append(all, upstreamIn(fmt.Sprintf("u%04d", n), domain))
	}
	p := NewPool(Location{FailureDomain: "d0", Region: "r0"})
	p.Configure(Settings{Regions: regions, Senders: 5})
	p.Update(all, nil)
	var held []*Lease
	h := fnv.New64a()
	now := start
	for n := range requests {
		now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
		q := query(random.Uint64N(300))
		if random.IntN(3) == 0 {
			q.TimeLeft = time.Duration(random.IntN(2000)) * time.Millisecond
		}
		lease, refusal := p.Acquire(now, q)
		if refusal == Chosen {
			fmt.Fprintln(h, lease.Upstream.Name)
			held = append(held, lease)
		} else {
			fmt.Fprintln(h, refusal)
		}
		for len(held) > 0 && random.IntN(100) < len(held) {
			last := random.IntN(len(held))
			result := []Result{Answered, Answered, Answered, Answered, Answered, Shed, Failed, Late}[random.IntN(8)]
			held[last].Release(now, result, load(random.IntN(10)))
			held = append(held[:last], held[last+1:]...)
		}
		if n%50 == 0 {
			var reports []Report
			for _, u := range all[:10] {
				reports = append(reports, Report{Upstream: p.targets[u.ID].hash, Requests: random.IntN(12), At: now.Add(-100 * time.Millisecond)})
			}
			p.MergeReports(now, reports)
			p.StepShares(now, map[string]Demand{"lookup": {"r0": 100 * random.Float64(), "r1": 50, "r2": 50}}, nil)
		}
	}
	return h.Sum64()
}

// TestUpstreamsWithoutAPaceAreChosenAsBefore guards the earlier deployments, whose upstreams state
// three figures: the hash is that of the choices before the fourth figure was read.
func TestUpstreamsWithoutAPaceAreChosenAsBefore(t *testing.T) {
	got := choicesOf(func(requests int) Load { return Load{Known: true, Requests: requests} })
	assert.Equal(t, got, uint64(7109272488072371203))
}
