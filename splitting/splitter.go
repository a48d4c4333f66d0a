package splitting

import (
	"math"
	"math/bits"
	"sync/atomic"

	"samphireferry.example/ferry/invariant"
)

// InvariantCap is the invariant that no more requests were chosen than the largest
// share ever set allows.
const InvariantCap invariant.Name = "splitting_cap"

// fixedPointOne is the fixed-point form of the share 1.
const fixedPointOne = 1 << 32

// Splitter splits a sequence of requests by a share. It is safe for concurrent use,
// except that only one goroutine at a time may call SetShare.
type Splitter struct {
	checker     *invariant.Checker
	share       atomic.Uint64
	largest     atomic.Uint64
	accumulator atomic.Uint64
	total       atomic.Uint64
	chosen      atomic.Uint64
}

// NewSplitter returns a splitter with the share 0. The checker may be nil.
func NewSplitter(checker *invariant.Checker) *Splitter {
	return &Splitter{checker: checker}
}

// SetShare sets the share for the next requests. Values outside 0 to 1 are clamped; NaN
// counts as 0.
func (s *Splitter) SetShare(share float64) {
	fixed := toFixedPoint(share)
	if fixed > s.largest.Load() {
		s.largest.Store(fixed)
	}
	s.share.Store(fixed)
}

// Share returns the share in force.
func (s *Splitter) Share() float64 { return float64(s.share.Load()) / fixedPointOne }

// Next counts one request and reports whether it goes to the second destination.
// It does not allocate and takes no lock.
func (s *Splitter) Next() bool {
	s.total.Add(1)
	share := s.share.Load()
	after := s.accumulator.Add(share)
	if share == 0 || after/fixedPointOne == (after-share)/fixedPointOne {
		return false
	}
	chosen := s.chosen.Add(1)
	s.check(chosen)
	return true
}

// Counts returns the number of requests so far, and how many of them were chosen.
func (s *Splitter) Counts() (total, chosen uint64) {
	chosen = s.chosen.Load()
	return s.total.Load(), chosen
}

// check verifies InvariantCap. It relies on the order in Next: each request is added to
// total before it is added to accumulator, and to accumulator before chosen.
func (s *Splitter) check(chosen uint64) {
	allowedHigh, allowedLow := bits.Mul64(s.largest.Load(), s.total.Load())
	usedHigh, usedLow := bits.Mul64(chosen, fixedPointOne)
	ok := usedHigh < allowedHigh || usedHigh == allowedHigh && usedLow <= allowedLow
	s.checker.Check(ok, InvariantCap, "more requests were chosen than the share allows")
}

func toFixedPoint(share float64) uint64 {
	if math.IsNaN(share) || share <= 0 {
		return 0
	}
	if share >= 1 {
		return fixedPointOne
	}
	return uint64(math.Floor(share * fixedPointOne))
}
