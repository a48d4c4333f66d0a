package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// longestFault bounds the time of one fault, gap the time between two, so that
	// several overlap.
	longestFault = 3 * time.Second
	longestGap   = 800 * time.Millisecond
	// settle is the time after the last fault within which all is served again.
	settle = 15 * time.Second
	// servedAtLeast is the part of the requests that must be served then.
	servedAtLeast = 0.95
	// calmPhase is the time over which that is counted.
	calmPhase = time.Second
)

// Options are the settings of a soak.
type Options struct {
	// Program is the path of ferry-edge.
	Program string
	Seed    uint64
	// Harm is how long faults go on.
	Harm      time.Duration
	Instances int
	Callers   int
	// Log gets what the instances write, from LogLevel on.
	Log      io.Writer
	LogLevel string
	// Report gets a line for each fault.
	Report io.Writer
}

// Result is what a soak has seen.
type Result struct {
	Sent   int
	Served int
	Faults int
	// Broken are the promises that were broken.
	Broken []string
}

// Run runs one soak, until the context ends at the latest. An error says that the
// soak itself failed.
func Run(ctx context.Context, o Options) (Result, error) {
	s, err := newSystem(o)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	addresses := make([]string, 0, len(s.instances))
	for _, p := range s.instances {
		addresses = append(addresses, p.Address)
	}
	for i := range o.Callers {
		c := newCaller(fmt.Sprintf("c%d", i), s.ledger, addresses)
		callers.Go(func() { c.run(ctx) })
	}
	s.awaitService(ctx, "at the start")
	struck, err := s.strike(ctx)
	s.awaitService(ctx, "after the last fault")
	cancel()
	callers.Wait()
	sent, served := s.ledger.Counts()
	return Result{Sent: sent, Served: served, Faults: struck, Broken: s.ledger.Broken()}, err
}

// strike draws faults until the time is over and ends them all.
func (s *system) strike(ctx context.Context) (int, error) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	var pending sync.WaitGroup
	var mu sync.Mutex
	var failed error
	note := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failed = errors.CombineErrors(failed, err)
	}
	struck := 0
	for end := time.Now().Add(s.options.Harm); ctx.Err() == nil && time.Now().Before(end); struck++ {
		f := faults[random.IntN(len(faults))]
		lasts := time.Duration(random.Int64N(int64(longestFault)))
		fmt.Fprintf(s.options.Report, "fault %d: %s for %v\n", struck, f.name, lasts.Round(time.Millisecond))
		finish, err := f.strike(s, random)
		note(err)
		if finish != nil {
			pending.Go(func() {
				time.Sleep(lasts)
				note(finish())
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(longestGap))))
	}
	pending.Wait()
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
		note(p.start())
	}
	return struck, failed
}

// awaitService waits until nearly all requests of a phase are served.
func (s *system) awaitService(ctx context.Context, when string) {
	share := 0.0
	for end := time.Now().Add(settle); time.Now().Before(end); {
		if ctx.Err() != nil {
			return
		}
		sent, served := s.ledger.Counts()
		time.Sleep(calmPhase)
		nowSent, nowServed := s.ledger.Counts()
		share = float64(nowServed-served) / float64(max(nowSent-sent, 1))
		if share >= servedAtLeast {
			return
		}
	}
	s.ledger.Break("%s, %.0f of 100 requests are served after %v", when, 100*share, settle)
}
