package rollouts

import "time"

// maxSampleGap is the time between two samples above which the requests
// between them are not used: too much may have changed in between.
const maxSampleGap = 5 * time.Second

// stratum gathers the requests of one instance on one route into slices.
type stratum struct {
	last       Sample
	lastAt     time.Time
	sliceStart time.Time
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
		s.restart(now)
		return
	}
	s.old = s.old.Plus(before)
	s.new = s.new.Plus(after)
}

// complete says whether the slice is long enough and both versions answered in
// it. It looks at numbers of requests only, never at how they ended, so that
// it favours neither version.
func (s *stratum) complete(now time.Time) bool {
	return now.Sub(s.sliceStart) >= sliceTime && s.old.Requests > 0 && s.new.Requests > 0
}

func (s *stratum) restart(now time.Time) {
	s.old = Counts{}
	s.new = Counts{}
	s.sliceStart = now
}
