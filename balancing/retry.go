package balancing

import (
	"sync"

	"samphireferry.example/ferry/errkind"
)

// Defaults of a RetryBudget.
const (
	// defaultRetryRatio is the number of retries that each success pays for.
	defaultRetryRatio = 0.1
	// maxRetryTokens bounds the retries that can come at once.
	maxRetryTokens = 10
)

// RetryBudget bounds retries to a part of the successful requests, so that
// retries cannot multiply the load of a failing service. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio float64
	most  float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget with the default ratio and size.
func NewRetryBudget() *RetryBudget { return NewRetryBudgetOf(defaultRetryRatio, maxRetryTokens) }

// NewRetryBudgetOf returns a full budget in which each success pays for ratio
// retries, and that holds at most most retries.
func NewRetryBudgetOf(ratio, most float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, most: most, tokens: most}
}

// Succeed records a successful request, which pays for a part of a retry.
func (b *RetryBudget) Succeed() {
	b.mu.Lock()
	b.tokens = min(b.most, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Spend says whether the request that failed with err may be sent again, and if
// so takes the retry out of the budget. At-most-once requests may be sent again
// only when the outcome of err is errkind.NotRun.
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
