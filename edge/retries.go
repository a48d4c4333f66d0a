package edge

import (
	"sync"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/config/static"
)

const (
	// retryUsedFraction is the fraction of the fleet's retry bounds that the instances
	// use. The rest covers requests that callers move between instances.
	retryUsedFraction = 0.6
	// minRetrySlack is the least slack of an instance in retries: it allows one retry
	// however many instances there are.
	minRetrySlack = 1
)

// retryBudgets holds this instance's retry budget for each service.
type retryBudgets struct {
	ratio float64
	slack float64

	mu        sync.Mutex
	instances int
	budgets   map[string]*balancing.RetryBudget
}

func newRetryBudgets(bounds static.EdgeBounds) *retryBudgets {
	r := &retryBudgets{}
	r.setBounds(bounds)
	return r
}

// setBounds replaces the bounds and resets the budgets.
func (r *retryBudgets) setBounds(bounds static.EdgeBounds) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio = bounds.RetryRatio * retryUsedFraction
	r.slack = bounds.RetrySlack * retryUsedFraction
	r.budgets = map[string]*balancing.RetryBudget{}
}

// setInstances sets the number of entry instances that share the slack. Only an
// increase takes effect; it resets the budgets.
func (r *retryBudgets) setInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > r.instances {
		r.instances = n
		r.budgets = map[string]*balancing.RetryBudget{}
	}
}

// forService returns the budget of the service, which it creates if needed.
func (r *retryBudgets) forService(service string) *balancing.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budgets[service]
	if b == nil {
		b = balancing.NewRetryBudgetOf(r.ratio, max(r.slack/float64(max(r.instances, 1)), minRetrySlack))
		r.budgets[service] = b
	}
	return b
}
