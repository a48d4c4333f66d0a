package usage

import (
	"slices"
	"time"
)

const (
	// clockSampleInterval is the time between two samples of the own clock.
	clockSampleInterval = time.Second
	// clockSamples is the number of samples whose median counts: a jump has no effect unless it
	// lasts for half a minute.
	clockSamples = 61
	// maxVoteAge is the age at which the clock of a peer no longer counts. A leader of another
	// failure domain reports once a window at least.
	maxVoteAge = 15 * time.Second
	// minVotes is the number of clocks from which their median is better than the own clock.
	minVotes = 3
)

// Clock estimates true time. The wall clock of an instance may jump by seconds and back, so the
// estimate is the sum of a clock since boot, which never jumps, and a median of offsets: of the
// own wall clock over a minute and, if enough peers respond, of their clocks and the own one.
// An instance with too few peers uses the median that its leader states.
type Clock struct {
	samples   []time.Duration
	next      int
	sampledAt time.Duration
	peers     map[string]vote
	group     vote
}

// vote is the offset of a clock from the clock since boot, and when it was received.
type vote struct {
	offset time.Duration
	at     time.Duration
}

// NewClock returns a clock without samples.
func NewClock() *Clock { return &Clock{peers: map[string]vote{}} }

// offsetOf returns the offset at which the clock since boot shows the true time.
func offsetOf(boot time.Duration, t time.Time) time.Duration {
	return time.Duration(t.UnixNano()) - boot
}

// Observe records the own wall clock. Calls within clockSampleInterval are ignored.
func (c *Clock) Observe(boot time.Duration, wall time.Time) {
	if len(c.samples) > 0 && boot-c.sampledAt < clockSampleInterval {
		return
	}
	c.sampledAt = boot
	if len(c.samples) < clockSamples {
		c.samples = append(c.samples, offsetOf(boot, wall))
		return
	}
	c.samples[c.next] = offsetOf(boot, wall)
	c.next = (c.next + 1) % clockSamples
}

// ObservePeer records the time that a peer's own clock showed when it sent a message that has
// just been received.
func (c *Clock) ObservePeer(boot time.Duration, peer string, t time.Time) {
	c.peers[peer] = vote{offset: offsetOf(boot, t), at: boot}
}

// ObserveGroup records the median time that the leader of the failure domain has just stated.
func (c *Clock) ObserveGroup(boot time.Duration, t time.Time) {
	c.group = vote{offset: offsetOf(boot, t), at: boot}
}

// Own returns the time by the own clock, without the jumps.
func (c *Clock) Own(boot time.Duration) time.Time { return timeAt(boot, median(c.samples)) }

// Group returns the median time of the clocks that are known. It returns false if there are
// too few.
func (c *Clock) Group(boot time.Duration) (time.Time, bool) {
	offsets := []time.Duration{median(c.samples)}
	for peer, v := range c.peers {
		if boot-v.at > maxVoteAge {
			delete(c.peers, peer)
			continue
		}
		offsets = append(offsets, v.offset)
	}
	return timeAt(boot, median(offsets)), len(offsets) >= minVotes
}

// Offset returns what has to be added to the clock since boot to get true time since 1970.
func (c *Clock) Offset(boot time.Duration) time.Duration {
	if t, ok := c.Group(boot); ok {
		return offsetOf(boot, t)
	}
	if c.group.at != 0 && boot-c.group.at <= maxVoteAge {
		return c.group.offset
	}
	return median(c.samples)
}

// Now returns the estimate of true time.
func (c *Clock) Now(boot time.Duration) time.Time { return timeAt(boot, c.Offset(boot)) }

func timeAt(boot, offset time.Duration) time.Time { return time.Unix(0, int64(boot+offset)) }

// median returns the median of the values, the lower one of two; 0 if there are none.
func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
