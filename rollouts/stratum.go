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
	// maxSampleGap is the time between two samples of an instance above which
	// the requests between them are not used: too much may have changed.
	maxSampleGap = 5 * time.Second
)

// stratum gathers the requests of some instances on one route into slices.
// These instances get requests of both versions in the same proportions, though
// one of them may own the upstreams of one version only.
//
// The length of a slice is fixed when it begins. If it ended with a request of
// the new version, that one would always be the last of its slice, and would
// seem worse than the others whenever an outage of both versions begins.
type stratum struct {
	members    map[string]*member
	started    bool
	sliceStart time.Time
	length     time.Duration
	old        Counts
	new        Counts
}

// member is the newest sample of one instance.
type member struct {
	sample Sample
	at     time.Time
}

// take adds what an instance has counted since its last sample to the slice. A
// slice never spans a step, since the mix of versions changes there.
func (s *stratum) take(now time.Time, sample Sample) {
	if !s.started {
		s.started = true
		s.length = firstSlice
		s.restart(now)
	}
	last := s.members[sample.Instance]
	s.members[sample.Instance] = &member{sample: sample, at: now}
	if last == nil || now.Sub(last.at) > maxSampleGap {
		return
	}
	if sample.Step != last.sample.Step {
		s.restart(now)
		return
	}
	s.old = s.old.Plus(sample.Old.Minus(last.sample.Old))
	s.new = s.new.Plus(sample.New.Minus(last.sample.New))
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
