package rollouts

import "time"

const (
	// minSlice and maxSlice bound the length of a slice.
	minSlice = 250 * time.Millisecond
	maxSlice = 20 * time.Second
	// firstSlice is the length before the rate of requests is known.
	firstSlice = time.Second
	// sliceRequests is the number of requests of each version that the length
	// of a slice aims at.
	sliceRequests = 2
	// maxSampleGap is the time between two samples above which the requests
	// between them are not used: too much may have changed in between.
	maxSampleGap = 5 * time.Second
)

// stratum gathers the requests of one instance on one route into slices.
//
// The length of a slice is fixed when it begins. If it ended with a request of
// the new version, that one would always be the last of its slice, and would
// seem worse than the others whenever an outage of both versions begins.
type stratum struct {
	last       Sample
	lastAt     time.Time
	sliceStart time.Time
	length     time.Duration
	old        Counts
	new        Counts
}

// take adds what was counted since the last sample to the slice. A slice never
// spans a step, since the mix of versions changes there.
func (s *stratum) take(now time.Time, sample Sample) {
	first := s.lastAt.IsZero()
	late := now.Sub(s.lastAt) > maxSampleGap
	before := sample.Old.Minus(s.last.Old)
	after := sample.New.Minus(s.last.New)
	stepped := sample.Step != s.last.Step
	s.last = sample
	s.lastAt = now
	if first || late || stepped {
		s.length = firstSlice
		s.restart(now)
		return
	}
	s.old = s.old.Plus(before)
	s.new = s.new.Plus(after)
}

// end returns the requests of the slice and begins the next one, once the
// slice is over. It returns false when the slice cannot be used, since a
// version has answered nothing in it.
func (s *stratum) end(now time.Time) (before, after Counts, ok bool) {
	elapsed := now.Sub(s.sliceStart)
	if elapsed < s.length {
		return Counts{}, Counts{}, false
	}
	before = s.old
	after = s.new
	s.length = nextLength(elapsed, min(before.Requests, after.Requests))
	s.restart(now)
	return before, after, before.Requests > 0 && after.Requests > 0
}

func (s *stratum) restart(now time.Time) {
	s.old = Counts{}
	s.new = Counts{}
	s.sliceStart = now
}

// nextLength returns the length of a slice after one with the given requests
// of the version that has less of them.
func nextLength(elapsed time.Duration, requests uint64) time.Duration {
	if requests == 0 {
		return min(2*elapsed, maxSlice)
	}
	return min(max(elapsed*sliceRequests/time.Duration(requests), minSlice), maxSlice)
}
