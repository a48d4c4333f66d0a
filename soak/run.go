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
	// maxFaultDuration bounds the duration of one fault, maxFaultGap the pause between
	// two injections, so that several faults overlap.
	maxFaultDuration = 3 * time.Second
	maxFaultGap      = 800 * time.Millisecond
	// recoveryTimeout is the time after the start, and after the last fault, within
	// which requests must be served.
	recoveryTimeout = 15 * time.Second
	// minServedShare is the fraction of the requests in one window that must be served.
	minServedShare = 0.95
	// servedWindow is the length of the window over which served requests are counted.
	servedWindow = time.Second
)

// Options holds the settings of a soak.
type Options struct {
	// Program is the path of ferry-edge.
	Program string
	Seed    uint64
	// FaultDuration is the time during which faults are injected.
	FaultDuration time.Duration
	Instances     int
	Callers       int
	// Log receives the logs of the instances, from LogLevel on.
	Log      io.Writer
	LogLevel string
	// Report receives a line for each fault.
	Report io.Writer
}

// Result holds the counts and the violations of a soak.
type Result struct {
	// Sent and Served count requests, Faults the injected faults.
	Sent   int
	Served int
	Faults int
	// Violations describes each violated guarantee.
	Violations []string
}

// Run runs one soak and ends early when the context does. An error means that the soak
// itself failed; violations are not errors.
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
	injected, err := s.injectFaults(ctx)
	s.awaitService(ctx, "after the last fault")
	s.checkRate(ctx, rand.New(rand.NewPCG(o.Seed, 1)))
	s.checkDepartures(rand.New(rand.NewPCG(o.Seed, 3)))
	err = errors.CombineErrors(err, s.checkStatements(ctx, rand.New(rand.NewPCG(o.Seed, 2))))
	cancel()
	callers.Wait()
	sent, served := s.ledger.Counts()
	return Result{Sent: sent, Served: served, Faults: injected, Violations: s.ledger.Violations()}, err
}

// injectFaults draws and injects faults for Options.FaultDuration, ends them all, starts
// every instance again, and returns the number of faults.
func (s *system) injectFaults(ctx context.Context) (int, error) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	var pending sync.WaitGroup
	var mu sync.Mutex
	var failure error
	recordError := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		failure = errors.CombineErrors(failure, err)
	}
	injected := 0
	for end := time.Now().Add(s.options.FaultDuration); ctx.Err() == nil && time.Now().Before(end); injected++ {
		f := faults[random.IntN(len(faults))]
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		fmt.Fprintf(s.options.Report, "fault %d: %s for %v\n", injected, f.name, duration.Round(time.Millisecond))
		undo, err := f.inject(s, random)
		recordError(err)
		if undo != nil {
			pending.Go(func() {
				time.Sleep(duration)
				recordError(undo())
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultGap))))
	}
	pending.Wait()
	for _, p := range s.instances {
		p.signal(syscall.SIGCONT)
		recordError(p.start())
	}
	return injected, failure
}

// awaitService waits until nearly all requests of one window are served, and records a
// violation when this takes longer than recoveryTimeout.
func (s *system) awaitService(ctx context.Context, when string) {
	share := 0.0
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); {
		if ctx.Err() != nil {
			return
		}
		sent, served := s.ledger.Counts()
		time.Sleep(servedWindow)
		nowSent, nowServed := s.ledger.Counts()
		share = float64(nowServed-served) / float64(max(nowSent-sent, 1))
		if share >= minServedShare {
			return
		}
	}
	s.ledger.RecordViolation("%s, only %.0f%% of the requests were served after %v", when, 100*share, recoveryTimeout)
}
