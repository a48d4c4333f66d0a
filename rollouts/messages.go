package rollouts

import (
	"samphireferry.example/ferry/rpc/entrypb"
)

// messageBuckets is the number of latency buckets in a message. Bucket k holds
// responses that took up to 2^k ms.
const messageBuckets = bucketCount/2 + 1

// messages returns the counts of this instance for a heartbeat.
func (c *comparison) messages() []*entrypb.VersionEvidence {
	var messages []*entrypb.VersionEvidence
	for route, counters := range c.recorder.byRoute {
		messages = append(messages,
			c.message(route, c.recorder.from, counters.oldVersion.load()),
			c.message(route, c.recorder.to, counters.newVersion.load()))
	}
	return messages
}

func (c *comparison) message(route, version string, counts Counts) *entrypb.VersionEvidence {
	return &entrypb.VersionEvidence{
		Rollout:        c.recorder.rollout,
		ConfigVersion:  c.generation,
		Route:          route,
		Version:        version,
		Requests:       counts.Requests,
		Failures:       counts.Failures,
		LatencyBuckets: encodeLatency(counts),
	}
}

// encodeLatency merges pairs of buckets and omits trailing empty ones.
func encodeLatency(counts Counts) []uint64 {
	joined := make([]uint64, messageBuckets)
	used := 0
	for i, n := range counts.Latency {
		joined[(i+1)/2] += n
		if n > 0 {
			used = (i+1)/2 + 1
		}
	}
	return joined[:used]
}

func decodeCounts(m *entrypb.VersionEvidence) Counts {
	counts := Counts{Requests: m.Requests, Failures: min(m.Failures, m.Requests)}
	for k, n := range m.LatencyBuckets {
		counts.Latency[min(2*k, bucketCount-1)] += n
	}
	return counts
}

// samplesOf combines the messages of one peer about the two versions into one
// sample for each route.
func (c *comparison) samplesOf(peer string, step uint64, messages []*entrypb.VersionEvidence) []Sample {
	byRoute := map[string]*Sample{}
	var order []string
	for _, m := range messages {
		if m.Rollout != c.recorder.rollout || m.ConfigVersion != c.generation {
			continue
		}
		sample := byRoute[m.Route]
		if sample == nil {
			sample = &Sample{Instance: peer, Route: m.Route, Step: step}
			byRoute[m.Route] = sample
			order = append(order, m.Route)
		}
		switch m.Version {
		case c.recorder.from:
			sample.Old = decodeCounts(m)
		case c.recorder.to:
			sample.New = decodeCounts(m)
		}
	}
	samples := make([]Sample, 0, len(order))
	for _, route := range order {
		samples = append(samples, *byRoute[route])
	}
	return samples
}
