package splitting

import (
	"math"
	"math/bits"
	"sync/atomic"

	"samphireferry.example/ferry/invariant"
)

// InvariantCap says that no more requests were chosen than the largest share
// that was ever set allows.
const InvariantCap invariant.Name = "splitting_cap"

// wholeUnits is the fixed-point form of the share 1.
const wholeUnits = 1 << 32

// Splitter splits a sequence of requests by a share. All methods may be called
// from several goroutines at once; SetShare from one at a time.
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

// SetShare sets the share, between 0 and 1, for the next requests.
func (s *Splitter) SetShare(share float64) {
	units := toUnits(share)
	if units > s.largest.Load() {
		s.largest.Store(units)
	}
	s.share.Store(units)
}

// Share returns the share in force.
func (s *Splitter) Share() float64 { return float64(s.share.Load()) / wholeUnits }

// Next counts one request and says whether it goes to the second destination.
// It does not allocate and takes no lock.
func (s *Splitter) Next() bool {
	s.total.Add(1)
	share := s.share.Load()
	after := s.accumulator.Add(share)
	if share == 0 || after/wholeUnits == (after-share)/wholeUnits {
		return false
	}
	chosen := s.chosen.Add(1)
	s.check(chosen)
	return true
}

// Counts returns the number of requests and of those chosen so far.
func (s *Splitter) Counts() (total, chosen uint64) {
	chosen = s.chosen.Load()
	return s.total.Load(), chosen
}

// check relies on the order in Next: each request is in the total before it is
// in the accumulator, and in the accumulator before it is in chosen.
func (s *Splitter) check(chosen uint64) {
	allowedHigh, allowedLow := bits.Mul64(s.largest.Load(), s.total.Load())
	usedHigh, usedLow := bits.Mul64(chosen, wholeUnits)
	ok := usedHigh < allowedHigh || usedHigh == allowedHigh && usedLow <= allowedLow
	s.checker.Check(ok, InvariantCap, "more requests were chosen than the share allows")
}

func toUnits(share float64) uint64 {
	if math.IsNaN(share) || share <= 0 {
		return 0
	}
	if share >= 1 {
		return wholeUnits
	}
	return uint64(math.Floor(share * wholeUnits))
}
