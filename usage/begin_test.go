package usage_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/usage"
)

// queuedRequest is a request at a simulated upstream, with its times in seconds.
type queuedRequest struct {
	instance    int
	customer    int
	sent, work  float64
	utilization float64
	began, done float64
}

// server is a simulated upstream with slots and a queue.
type server struct {
	slots            int
	running, waiting []*queuedRequest
	// stated is the number of requests that instances know of: as of the last second and the
	// responses since. told is that of the last second alone.
	stated, told int
}

// completions orders the requests that run by their end.
type completions []completion
type completion struct {
	server *server
	r      *queuedRequest
}

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].r.done < c[j].r.done }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// beginErrors simulates servers of 9 slots and a queue of 27, whose work takes 372 to 2,320 ms, a
// quarter of it for warm objects, and demand that swings around a share of their capacity. It
// returns the error of the counts of each customer and window with the estimate of the begin.
func beginErrors(seed uint64, load, swing float64, stale bool, estimate func(s *usage.Starts, r *queuedRequest) float64) []float64 {
	const servers, customers, seconds, window, period = 80, 14, 300.0, 5.0, 36.0
	random := rand.New(rand.NewPCG(seed, 3))
	// Each instance learns from its own attempts.
	starts := make([]*usage.Starts, 70)
	for i := range starts {
		starts[i] = usage.NewStarts()
	}
	all := make([]*server, servers)
	for i := range all {
		all[i] = &server{slots: 9}
	}
	truth, counted := map[[2]int]float64{}, map[[2]int]float64{}
	const meanWork = (0.372 + 2.32) / 2 * (1 + 0.25) / 2
	rate := load * servers * 9 / meanWork
	var running completions
	begin := func(s *server, r *queuedRequest, now float64) {
		r.began, r.done = now, now+r.work
		s.running = append(s.running, r)
		heap.Push(&running, completion{s, r})
		truth[[2]int{r.customer, int(now / window)}]++
	}
	nextStated := 0.0
	for now := 0.0; now < seconds; {
		current := rate * (1 + swing*math.Sin(2*math.Pi*now/period))
		now += random.ExpFloat64() / current
		for len(running) > 0 && running[0].r.done <= now {
			c := heap.Pop(&running).(completion)
			s := c.server
			for i, r := range s.running {
				if r == c.r {
					s.running = append(s.running[:i], s.running[i+1:]...)
					break
				}
			}
			if len(s.waiting) > 0 {
				first := s.waiting[0]
				s.waiting = s.waiting[1:]
				begin(s, first, c.r.done)
			}
			s.stated = len(s.running) + len(s.waiting)
			at := estimate(starts[c.r.instance], c.r)
			counted[[2]int{c.r.customer, int(at / window)}]++
		}
		if now > nextStated {
			nextStated = now + 1
			for _, s := range all {
				s.stated = len(s.running) + len(s.waiting)
				s.told = s.stated
			}
		}
		a, b := all[random.IntN(servers)], all[random.IntN(servers)]
		if b.stated < a.stated {
			a = b
		}
		work := 0.372 + random.Float64()*(2.32-0.372)
		if random.IntN(2) == 0 {
			work /= 4
		}
		known := a.stated
		if stale {
			known = a.told
		}
		r := &queuedRequest{instance: random.IntN(len(starts)), customer: random.IntN(customers), sent: now, work: work, utilization: float64(known+1) / float64(a.slots)}
		a.stated++
		switch {
		case len(a.running) < a.slots:
			begin(a, r, now)
		case len(a.waiting) < 27:
			a.waiting = append(a.waiting, r)
		}
	}
	var errors []float64
	for key, n := range truth {
		if key[1] >= 4 && key[1] < int(seconds/window)-4 {
			errors = append(errors, math.Abs(counted[key]-n)/n)
		}
	}
	return errors
}

// Counts by the time of sending are off while upstreams queue and demand swings. The bounds are
// just above what the estimate reached when it was chosen.
func TestCountsFollowTheBeginOfQueuedRequests(t *testing.T) {
	bySending := func(_ *usage.Starts, r *queuedRequest) float64 { return r.sent }
	estimated := func(s *usage.Starts, r *queuedRequest) float64 {
		took := time.Duration((r.done - r.sent) * float64(time.Second))
		return r.sent + s.Observe("s", took, r.utilization).Seconds()
	}
	for _, load := range []struct {
		load, swing float64
		stale       bool
		most        float64
	}{
		{0.6, 0.2, false, 0.001}, {0.8, 0.55, false, 0.02}, {1.1, 0.3, false, 0.03}, {0.8, 0.55, true, 0.06}, {1.1, 0.3, true, 0.05},
	} {
		for name, estimate := range map[string]func(*usage.Starts, *queuedRequest) float64{"sending": bySending, "estimate": estimated} {
			errors := beginErrors(1, load.load, load.swing, load.stale, estimate)
			off := float64(lo.CountBy(errors, func(e float64) bool { return e > 0.05 })) / float64(len(errors))
			t.Logf("load %.1f, swing %.2f, stale reports %v, by %s: mean error %.4f, off %.4f", load.load, load.swing, load.stale, name, lo.Sum(errors)/float64(len(errors)), off)
			assert.Check(t, name == "sending" || off <= load.most)
		}
	}
}
