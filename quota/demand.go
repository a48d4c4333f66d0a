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
	// noise is the factor by which a steady demand varies between two samples.
	noise = 1.15
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

// settledLow returns the newest value, or, when it has grown by more than noise
// within settleTime, what it was before and the noise.
func (s *series) settledLow() float64 {
	newest := s.newest()
	low := newest
	for _, x := range s.samples {
		low = min(low, x.value)
	}
	return min(newest, low*noise)
}

// settledHigh returns the newest value, or, when it has shrunk by more than noise
// within settleTime, what it was before less the noise.
func (s *series) settledHigh() float64 {
	newest := s.newest()
	high := newest
	for _, x := range s.samples {
		high = max(high, x.value)
	}
	return max(newest, high/noise)
}

// newest returns the latest value.
func (s *series) newest() float64 {
	if len(s.samples) == 0 {
		return 0
	}
	return s.samples[len(s.samples)-1].value
}
