package admission

import (
	"context"
	"sync"
	"time"
)

// DefaultPlanInterval is the time between two plans of loans.
const DefaultPlanInterval = 20 * time.Millisecond

// minPlanInterval is the least time between a plan and the next one that Wanted
// triggers.
const minPlanInterval = 2 * time.Millisecond

// Sender carries loan requests to other entry instances.
type Sender interface {
	// Lend sends the request to its peer and returns the grants of the response. It
	// must not repeat the request.
	Lend(ctx context.Context, request LoanRequest) ([]Grant, error)
}

// Exchange sends the loan requests that a Limiter plans.
type Exchange struct {
	limiter  *Limiter
	sender   Sender
	interval time.Duration
	pending  sync.WaitGroup
}

// NewExchange returns an exchange that plans at the interval, and without waiting
// for it when a request waits. An interval of 0 means DefaultPlanInterval.
func NewExchange(limiter *Limiter, sender Sender, interval time.Duration) *Exchange {
	return &Exchange{limiter: limiter, sender: sender, interval: orDefault(interval, DefaultPlanInterval)}
}

// Run plans and sends loan requests until ctx is done, and returns when all of them
// have returned.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	defer e.pending.Wait()
	var planned time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.limiter.Wanted():
			time.Sleep(minPlanInterval - time.Since(planned))
		}
		planned = time.Now()
		for _, request := range e.limiter.PlanLoans(time.Now()) {
			e.pending.Go(func() { e.send(ctx, request) })
		}
	}
}

// send sends one loan request and passes the grants to the limiter, or reports to
// it that the request failed.
func (e *Exchange) send(ctx context.Context, request LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, e.limiter.settings.LoanTimeout)
	defer cancel()
	grants, err := e.sender.Lend(ctx, request)
	if err != nil {
		e.limiter.LoanLost(time.Now(), request.ID)
		return
	}
	e.limiter.Granted(time.Now(), request.ID, grants)
}
