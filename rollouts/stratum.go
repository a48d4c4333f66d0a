package rollouts

import "time"

const (
	// minSliceLength and maxSliceLength bound the length of a slice.
	minSliceLength = 250 * time.Millisecond
	maxSliceLength = 20 * time.Second
	// minSharedSliceLength is the minimum length of a slice of several instances.
	// It is not below the time between two heartbeats.
	minSharedSliceLength = 500 * time.Millisecond
	// initialSliceLength is the length used before the request rate is known.
	initialSliceLength = time.Second
	// targetSliceRequests is the target number of requests of each version in a
	// slice.
	targetSliceRequests = 2
	// maxSampleGap is the time between two samples of an instance above which
	// the requests between them are not used, because conditions may have
	// changed.
	maxSampleGap = 5 * time.Second
)

// stratum groups the requests of some instances on one route into slices. These
// instances get requests of both versions in the same proportions, though one of
// them may own the upstreams of one version only.
//
// The length of a slice is fixed when it begins. If a slice ended with a request
// of the new version, that request would always be the last of its slice, and
// the new version would look worse whenever an outage of both versions begins.
//
// Samples of different instances are taken at different times. If the instances
// own upstreams of different versions, the start of an outage of both versions
// falls into an earlier slice for one of them. The new version's requests of a
// slice are therefore also compared with the old version's of the slices before
// and after it, and the weakest evidence is used.
type stratum struct {
	shared bool
	// earlier and latest are the last two ended slices of a shared stratum.
	earlier *slice
	latest  *slice

	members    map[string]*member
	started    bool
	sliceStart time.Time
	length     time.Duration
	current    slice
}

// slice holds the counts of both versions in one time interval.
type slice struct {
	old Counts
	new Counts
}

// sliceComparison compares the new version's requests of one slice with the old
// version's of that slice and, in a shared stratum, of its neighbours.
type sliceComparison struct {
	new Counts
	old []Counts
}

// usable reports whether the slice has requests of the new version and every
// compared slice has requests of the old version.
func (t *sliceComparison) usable() bool {
	for i := range t.old {
		if t.old[i].Requests == 0 {
			return false
		}
	}
	return len(t.old) > 0 && t.new.Requests > 0
}

// member is the newest sample of one instance.
type member struct {
	sample     Sample
	receivedAt time.Time
}

// addSample adds the counts of an instance since its last sample to the current
// slice. A slice never spans a step, since the shares of the versions change
// there.
func (s *stratum) addSample(now time.Time, sample Sample) {
	if !s.started {
		s.started = true
		s.length = initialSliceLength
		s.startSlice(now)
	}
	last := s.members[sample.Instance]
	s.members[sample.Instance] = &member{sample: sample, receivedAt: now}
	if last == nil || now.Sub(last.receivedAt) > maxSampleGap {
		return
	}
	if sample.Step != last.sample.Step {
		s.startSlice(now)
		s.earlier, s.latest = nil, nil
		return
	}
	s.current.old = s.current.old.Plus(sample.Old.Minus(last.sample.Old))
	s.current.new = s.current.new.Plus(sample.New.Minus(last.sample.New))
}

// endSlice returns the current slice and starts the next one once its length has
// passed, else it returns false.
func (s *stratum) endSlice(now time.Time) (ended slice, ok bool) {
	elapsed := now.Sub(s.sliceStart)
	if elapsed < s.length {
		return slice{}, false
	}
	ended = s.current
	s.length = nextLength(elapsed, min(ended.old.Requests, ended.new.Requests))
	if s.shared {
		s.length = max(s.length, minSharedSliceLength)
	}
	s.startSlice(now)
	return ended, true
}

// compareSlice returns the comparison that an ended slice makes possible: that
// of the slice itself or, in a shared stratum, that of the slice before it. The
// comparison is not usable while a shared stratum has fewer than three slices.
func (s *stratum) compareSlice(ended slice) sliceComparison {
	if !s.shared {
		return sliceComparison{new: ended.new, old: []Counts{ended.old}}
	}
	earlier, middle := s.earlier, s.latest
	s.earlier, s.latest = s.latest, &ended
	if earlier == nil {
		return sliceComparison{}
	}
	return sliceComparison{new: middle.new, old: []Counts{earlier.old, middle.old, ended.old}}
}

func (s *stratum) startSlice(now time.Time) {
	s.current = slice{}
	s.sliceStart = now
}

// nextLength returns the length of the slice after one that took elapsed and in
// which the version with fewer requests had the given number of them.
func nextLength(elapsed time.Duration, requests uint64) time.Duration {
	if requests == 0 {
		return min(2*elapsed, maxSliceLength)
	}
	return min(max(elapsed*targetSliceRequests/time.Duration(requests), minSliceLength), maxSliceLength)
}
