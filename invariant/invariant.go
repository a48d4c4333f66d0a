// Package invariant checks conditions that must always hold while the program
// runs.
//
// A violation is logged, counted and passed to an optional callback; it never
// stops the program. Tests install a callback that fails the test.
package invariant

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
)

// Name identifies one invariant. It is used as a metric label.
type Name string

// Checker records violations. The zero value is ready to use and only counts.
type Checker struct {
	// Log receives one error line for each violation; it may be nil.
	Log *zap.Logger
	// OnViolation is called for each violation; it may be nil.
	OnViolation func(name Name, detail string)

	total  atomic.Int64
	mu     sync.Mutex
	byName map[Name]int64
}

// Check records a violation of name unless ok is true. It returns ok.
// A nil Checker records nothing.
func (c *Checker) Check(ok bool, name Name, detail string) bool {
	if ok || c == nil {
		return ok
	}
	c.total.Add(1)
	c.mu.Lock()
	if c.byName == nil {
		c.byName = map[Name]int64{}
	}
	c.byName[name]++
	c.mu.Unlock()
	if c.Log != nil {
		c.Log.Error("invariant violated", zap.String("invariant", string(name)), zap.String("detail", detail))
	}
	if c.OnViolation != nil {
		c.OnViolation(name, detail)
	}
	return false
}

// Total returns the number of violations of all invariants so far.
func (c *Checker) Total() int64 {
	if c == nil {
		return 0
	}
	return c.total.Load()
}

// Violations returns the number of violations so far of each invariant that was
// violated.
func (c *Checker) Violations() map[Name]int64 {
	counts := map[Name]int64{}
	if c == nil {
		return counts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.byName {
		counts[name] = n
	}
	return counts
}
