package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
)

// arrivals records when requests arrive at an upstream that states a rate.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// limit makes the upstream state the rate in requests per second from now on.
func (a *arrivals) limit(b *fakeUpstream, rate float64) {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		a.at = append(a.at, time.Now())
		a.mu.Unlock()
		w.Header().Set(headers.RateLimit, fmt.Sprint(rate))
		fmt.Fprint(w, "from "+b.id)
	})
	b.handler.Store(&h)
}

func (a *arrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at)
}

// worstWindow returns the largest number of arrivals after the first skipped ones in any
// window of the length.
func (a *arrivals) worstWindow(skipped int, length time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counted := a.at[min(skipped, len(a.at)):]
	worst, first := 0, 0
	for i, arrived := range counted {
		for arrived.Sub(counted[first]) > length {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against instances that together send more than an upstream states to take: 9.6
// requests a second reached one that had stated 3.4.
func TestInstancesTogetherKeepTheRateOfAnUpstream(t *testing.T) {
	const rate, instances, requests = 1.0, 3, 40
	s := newSystem(t)
	s.configure(1, "k1")
	limited, other := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	stated := &arrivals{}
	stated.limit(limited, rate)
	s.register(limited, "v1", "ready")
	s.register(other, "v1", "ready")
	var all []*instance
	object := 0
	for n := range instances {
		i := s.start(fmt.Sprintf("e%d", n))
		defer i.stop()
		all = append(all, i)
	}
	for _, i := range all {
		i.waitReady(2)
		eventually(t, "the instance knows its peers", func() bool { return len(i.deps.views.load().peers.All) == instances-1 })
		eventually(t, "the upstream has told the instance its rate", func() bool {
			object++
			i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint(object))
			return i.deps.throttle.Limited("i-1")
		})
	}
	told := stated.count()
	for n := range requests {
		for _, i := range all {
			got := untilAdmitted(func() (clientResponse, int) {
				got := i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint(n))
				return got, got.status
			})
			assert.Equal(t, got.status, http.StatusOK, "the other upstream takes what this one does not")
		}
	}
	const window = 4 * time.Second
	allowed := int(1.5*rate*window.Seconds()) + 5
	assert.Assert(t, stated.worstWindow(told, window) <= allowed, "%d requests in %v, %d allowed", stated.worstWindow(told, window), window, allowed)
}
