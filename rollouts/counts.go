package rollouts

import (
	"math"
	"sync/atomic"
	"time"
)

// bucketCount is the number of latency buckets. Bucket i holds responses that
// took up to 2^(i/2) ms and longer than the bound of bucket i-1; the last bucket
// holds all longer ones.
const bucketCount = 34

// Counts holds the requests counted for one version on one route.
type Counts struct {
	Requests uint64
	Failures uint64
	// Latency counts the responses that did not fail by latency bucket.
	Latency [bucketCount]uint64
}

// Minus returns the difference from an earlier count. A count that is lower
// than the earlier one was restarted from zero and is returned as it is.
func (c Counts) Minus(earlier Counts) Counts {
	if c.Requests < earlier.Requests || c.Failures < earlier.Failures {
		return c
	}
	c.Requests -= earlier.Requests
	c.Failures -= earlier.Failures
	for i := range c.Latency {
		if c.Latency[i] < earlier.Latency[i] {
			c.Latency[i] = 0
			continue
		}
		c.Latency[i] -= earlier.Latency[i]
	}
	return c
}

// Plus returns the sum of two counts.
func (c Counts) Plus(other Counts) Counts {
	c.Requests += other.Requests
	c.Failures += other.Failures
	for i := range c.Latency {
		c.Latency[i] += other.Latency[i]
	}
	return c
}

// succeeded returns the number of responses that did not fail.
func (c *Counts) succeeded() uint64 {
	var n uint64
	for _, v := range c.Latency {
		n += v
	}
	return n
}

// slowerThan returns the number of responses in buckets above the given one.
func (c *Counts) slowerThan(bucket int) uint64 {
	var n uint64
	for _, v := range c.Latency[min(bucket+1, bucketCount):] {
		n += v
	}
	return n
}

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	ms := float64(latency) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(ms)-1e-9)), bucketCount-1)
}

// bucketBound returns the upper bound of a bucket in milliseconds.
func bucketBound(bucket int) float64 { return math.Exp2(float64(bucket) / 2) }

// counters is the atomic form of Counts, with the attempts that are not counted
// yet.
type counters struct {
	pending  pendingList
	requests atomic.Uint64
	failures atomic.Uint64
	latency  [bucketCount]atomic.Uint64
}

func (c *counters) record(failed bool, latency time.Duration) {
	if failed {
		c.failures.Add(1)
	} else {
		c.latency[bucketOf(latency)].Add(1)
	}
	c.requests.Add(1)
}

// load returns the current counts. It may miss requests that are being counted
// concurrently; the next load includes them.
func (c *counters) load() Counts {
	counts := Counts{Requests: c.requests.Load()}
	counts.Failures = min(c.failures.Load(), counts.Requests)
	for i := range c.latency {
		counts.Latency[i] = c.latency[i].Load()
	}
	return counts
}
