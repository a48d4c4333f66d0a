package quota

import "time"

const (
	// settleTime is the time after which every instance knows an announcement:
	// two heartbeats and their way.
	settleTime = 2500 * time.Millisecond
	// sampleInterval is the time over which arrivals are counted.
	sampleInterval = 500 * time.Millisecond
	// smoothing is the weight of a new sample in the demand.
	smoothing = 0.2
)

// sample is a demand in requests per second at a time.
type sample struct {
	at    time.Time
	value float64
}

// series holds the newest samples, oldest first.
type series struct{ samples []sample }

// add appends a sample and forgets those that were replaced before settleTime.
func (s *series) add(now time.Time, value float64) {
	s.samples = append(s.samples, sample{now, value})
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) > settleTime {
		s.samples = s.samples[1:]
	}
}

// lowest returns the smallest value that was in force within settleTime.
func (s *series) lowest() float64 {
	if len(s.samples) == 0 {
		return 0
	}
	low := s.samples[0].value
	for _, x := range s.samples[1:] {
		low = min(low, x.value)
	}
	return low
}

// highest returns the largest value that was in force within settleTime.
func (s *series) highest() float64 {
	high := 0.0
	for _, x := range s.samples {
		high = max(high, x.value)
	}
	return high
}

// newest returns the latest value.
func (s *series) newest() float64 {
	if len(s.samples) == 0 {
		return 0
	}
	return s.samples[len(s.samples)-1].value
}
