package balancing

import (
	"sync"

	"samphireferry.example/ferry/errkind"
)

// Defaults of a RetryBudget.
const (
	// defaultRetryRatio is the number of retries that each success adds to the budget.
	defaultRetryRatio = 0.1
	// maxRetryTokens bounds the number of retries that can occur at once.
	maxRetryTokens = 10
)

// RetryBudget bounds retries to a fraction of the successful requests, so that retries
// cannot multiply the load of a failing service. It is safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	maxTokens float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget with the default ratio and size.
func NewRetryBudget() *RetryBudget { return NewRetryBudgetOf(defaultRetryRatio, maxRetryTokens) }

// NewRetryBudgetOf returns a full budget to which each success adds ratio retries, and
// which holds at most maxTokens retries.
func NewRetryBudgetOf(ratio, maxTokens float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Succeed records a successful request, which adds a fraction of a retry to the budget.
func (b *RetryBudget) Succeed() {
	b.mu.Lock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Spend reports whether the request that failed with err may be sent again, and if so
// deducts the retry from the budget. At-most-once requests may be sent again only if the
// outcome of err is errkind.NotRun.
func (b *RetryBudget) Spend(atMostOnce bool, err error) bool {
	if atMostOnce && errkind.Of(err).Row().Outcome != errkind.NotRun {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
