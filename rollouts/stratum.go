package rollouts

import "time"

const (
	// minSlice and maxSlice bound the length of a slice.
	minSlice = 250 * time.Millisecond
	maxSlice = 20 * time.Second
	// sharedSlice is the least length of a slice of several instances. It is not
	// below the time between two heartbeats.
	sharedSlice = 500 * time.Millisecond
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
//
// Samples of different instances are taken at different moments. If they are
// the owners of different versions, the begin of an outage of both versions
// falls into an earlier slice for one of them. The new version's requests of a
// slice are therefore compared with the old version's of the slices before and
// after it as well, and the weakest evidence counts.
type stratum struct {
	shared bool
	// earlier and latest are the last two slices of a shared stratum.
	earlier *slice
	latest  *slice

	members    map[string]*member
	started    bool
	sliceStart time.Time
	length     time.Duration
	current    slice
}

// slice is what was counted in some time.
type slice struct {
	old Counts
	new Counts
}

// trial is one comparison: the new version's requests with those of the old
// version, of one or several slices.
type trial struct {
	new Counts
	old []Counts
}

// usable says whether both versions answered.
func (t *trial) usable() bool {
	for i := range t.old {
		if t.old[i].Requests == 0 {
			return false
		}
	}
	return len(t.old) > 0 && t.new.Requests > 0
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
		s.earlier, s.latest = nil, nil
		return
	}
	s.current.old = s.current.old.Plus(sample.Old.Minus(last.sample.Old))
	s.current.new = s.current.new.Plus(sample.New.Minus(last.sample.New))
}

// end ends the slice once its time is over, and begins the next one.
func (s *stratum) end(now time.Time) (ended slice, over bool) {
	elapsed := now.Sub(s.sliceStart)
	if elapsed < s.length {
		return slice{}, false
	}
	ended = s.current
	s.length = nextLength(elapsed, min(ended.old.Requests, ended.new.Requests))
	if s.shared {
		s.length = max(s.length, sharedSlice)
	}
	s.restart(now)
	return ended, true
}

// trial returns the comparison that an ended slice makes possible.
func (s *stratum) trial(ended slice) trial {
	if !s.shared {
		return trial{new: ended.new, old: []Counts{ended.old}}
	}
	earlier, middle := s.earlier, s.latest
	s.earlier, s.latest = s.latest, &ended
	if earlier == nil {
		return trial{}
	}
	return trial{new: middle.new, old: []Counts{earlier.old, middle.old, ended.old}}
}

func (s *stratum) restart(now time.Time) {
	s.current = slice{}
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
