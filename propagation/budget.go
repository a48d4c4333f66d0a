package propagation

import "time"

// The divisors of the bound and of the budget.
const (
	boundDivisor       = 3
	hedgeDivisor       = 8
	storeDivisor       = 3
	readTimeoutDivisor = 2
)

// Budget is the time that all steps from the acknowledgement of a change until it is in
// force may take together.
type Budget struct{ total time.Duration }

// NewBudget returns the budget for a bound on the time until a change is in force.
func NewBudget(bound time.Duration) Budget { return Budget{total: bound / boundDivisor} }

// Total returns the whole budget.
func (b Budget) Total() time.Duration { return b.total }

// Hedge returns how long a read may take until another source is read as well.
func (b Budget) Hedge() time.Duration { return b.total / hedgeDivisor }

// StoreAfter returns how long peers have to pass on a change before the store is read.
func (b Budget) StoreAfter() time.Duration { return b.total / storeDivisor }

// ReadTimeout returns the longest time for one read.
func (b Budget) ReadTimeout() time.Duration { return b.total / readTimeoutDivisor }
