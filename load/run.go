package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Run sends the requests of a plan, which Check must have accepted, until its duration
// is over or ctx ends, waits for the responses, and returns the report.
func Run(ctx context.Context, plan *Plan) *Report {
	return run(ctx, plan, func() http.RoundTripper { return nil })
}

func run(ctx context.Context, plan *Plan, transport func() http.RoundTripper) *Report {
	start := time.Now()
	senders := make([]*sender, len(plan.Customers))
	var wg sync.WaitGroup
	for i := range plan.Customers {
		s := newSender(plan, &plan.Customers[i], transport())
		senders[i] = s
		random := rand.New(rand.NewPCG(plan.Seed, uint64(i)))
		wg.Go(func() { s.run(ctx, random, start, start.Add(plan.Duration.Std())) })
	}
	wg.Wait()
	report := &Report{Seconds: min(time.Since(start), plan.Duration.Std()).Seconds()}
	for _, s := range senders {
		s.client.Close()
		report.Customers = append(report.Customers, s.stats.report())
	}
	report.WorstServed = worstServed(report.Customers)
	return report
}

// run starts each request at its intended time. A request whose time has passed
// starts immediately, and its latency is measured from the intended time.
func (s *sender) run(ctx context.Context, random *rand.Rand, start, end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, MaxInFlight)
	for at := start; ; at = at.Add(s.gap(random)) {
		if !at.Before(end) || !sleepUntil(ctx, at) {
			return
		}
		request := s.pick(random)
		select {
		case inFlight <- struct{}{}:
		default:
			s.stats.recordOutcome(OutcomeNotSent, 0)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			s.send(ctx, request, at)
		})
	}
}

// gap returns the time between the intended starts of two requests.
func (s *sender) gap(random *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.customer.Rate.PerSecond()
	if s.customer.Poisson {
		mean *= random.ExpFloat64()
	}
	return time.Duration(mean)
}

// pick chooses a request by weight.
func (s *sender) pick(random *rand.Rand) *Request {
	total := 0
	for i := range s.customer.Requests {
		total += s.customer.Requests[i].Weight
	}
	n := random.IntN(total)
	for i := range s.customer.Requests {
		request := &s.customer.Requests[i]
		if n < request.Weight {
			return request
		}
		n -= request.Weight
	}
	return &s.customer.Requests[0]
}

// sleepUntil waits until the time and reports whether ctx was still active.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
