package balancing

import (
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit of one upstream.
const (
	// shedFactor and failFactor multiply the limit after a refusal or failure.
	shedFactor = 0.75
	failFactor = 0.9
	// lowerInterval is the minimum time between two reductions.
	lowerInterval = 100 * time.Millisecond
	// minShedBackoff is the pause after the first refusal. It doubles with each further
	// one in a row, up to maxShedBackoff.
	minShedBackoff = 20 * time.Millisecond
	maxShedBackoff = 1 * time.Second
	// latencyRatio is the ratio of the short-term to the long-term average latency above
	// which the limit is lowered, to no less than latencyFloor of the slots and only after
	// latencyMinSamples responses.
	latencyRatio      = 3
	latencyFloor      = 0.5
	latencyMinSamples = 64
	// shortWeight and longWeight are the weights of a new sample in the short-term and
	// the long-term average of the latency.
	shortWeight = 1.0 / 8
	longWeight  = 1.0 / 256
	// loadMaxAge is the age after which a load report is ignored; loadFloor is the
	// fraction of the slots below which load reports never lower the limit.
	loadMaxAge = 2 * time.Second
	loadFloor  = 0.5
	// trustLoss and trustGain are the changes of the trust in load reports per request
	// that contradicts them and per request that does not.
	trustLoss = 0.02
	trustGain = 0.002
	// minTrust is the trust below which load reports are ignored.
	minTrust = 0.5
	// contradictionRatio is the latency, as a multiple of the long-term average, up to
	// which a response contradicts a report that the upstream is busy.
	contradictionRatio = 1.5
)

// limiter limits the number of concurrent requests of this instance to an upstream.
type limiter struct {
	slots int
	limit float64

	rampStart time.Time
	ramp      time.Duration

	loweredAt        time.Time
	shedUntil        time.Time
	consecutiveSheds int

	shortLatency float64
	longLatency  float64
	samples      int

	// usedByOthers is the number of slots that the load report shows in use by others.
	usedByOthers float64
	loadAt       time.Time
	distrust     float64
}

func newLimiter(slots int) limiter { return limiter{slots: slots, limit: float64(slots)} }

// resize applies a change of the configured slots.
func (l *limiter) resize(slots int) {
	if slots > l.slots && l.limit >= float64(l.slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
	l.limit = min(l.limit, float64(slots))
}

// startRamp lowers the limit to 1 and lets it rise linearly to the slots over the ramp.
func (l *limiter) startRamp(now time.Time, ramp time.Duration) {
	l.rampStart = now
	l.ramp = ramp
}

// current returns the number of requests that may run at once. It is between 1
// and the slots, or 0 while the upstream refuses requests.
func (l *limiter) current(now time.Time) int {
	if l.paused(now) {
		return 0
	}
	return l.steady(now)
}

// paused reports whether the upstream is in the pause after a refusal.
func (l *limiter) paused(now time.Time) bool { return !l.shedUntil.IsZero() && now.Before(l.shedUntil) }

// steady returns the limit, ignoring a pause after a refusal.
func (l *limiter) steady(now time.Time) int {
	if l.slots < 1 {
		return 0
	}
	limit := min(l.limit, l.rampLimit(now), l.loadLimit(now))
	return max(1, int(limit))
}

func (l *limiter) rampLimit(now time.Time) float64 {
	if l.ramp == 0 {
		return float64(l.slots)
	}
	elapsed := now.Sub(l.rampStart)
	if elapsed >= l.ramp {
		l.ramp = 0
		return float64(l.slots)
	}
	fraction := max(0, float64(elapsed)/float64(l.ramp))
	return 1 + float64(l.slots-1)*fraction
}

func (l *limiter) loadLimit(now time.Time) float64 {
	if l.loadAt.IsZero() || now.Sub(l.loadAt) > loadMaxAge || 1-l.distrust < minTrust {
		return float64(l.slots)
	}
	floor := math.Ceil(float64(l.slots) * loadFloor)
	return max(floor, float64(l.slots)-math.Floor(l.usedByOthers))
}

// recordLoad records a load report: the fraction of the slots in use, and the number of
// requests that this instance had running there.
func (l *limiter) recordLoad(load float64, localInFlight int, at time.Time) {
	l.usedByOthers = max(0, load*float64(l.slots)-float64(localInFlight))
	l.loadAt = at
}

// recordSuccess records a response and its latency; inUse includes the request itself.
func (l *limiter) recordSuccess(inUse int, latency time.Duration, now time.Time) {
	l.consecutiveSheds = 0
	l.observe(latency.Seconds())
	busy := float64(inUse) >= l.limit-1
	if busy && l.slow() {
		l.lower(failFactor, max(1, float64(l.slots)*latencyFloor), now)
		return
	}
	if busy {
		l.limit = min(float64(l.slots), l.limit+1/l.limit)
	}
	l.updateTrust(latency.Seconds(), now)
}

func (l *limiter) observe(seconds float64) {
	l.samples++
	if l.samples == 1 {
		l.shortLatency, l.longLatency = seconds, seconds
		return
	}
	long := max(longWeight, 1/float64(l.samples))
	l.shortLatency += (seconds - l.shortLatency) * shortWeight
	l.longLatency += (seconds - l.longLatency) * long
}

// slow reports whether the short-term latency has risen by more than latencyRatio.
func (l *limiter) slow() bool {
	return l.samples >= latencyMinSamples && l.shortLatency > latencyRatio*l.longLatency
}

// updateTrust compares a load report that lowers the limit with a response: an upstream
// without capacity for this instance's requests would not respond at its usual latency.
func (l *limiter) updateTrust(seconds float64, now time.Time) {
	fresh := !l.loadAt.IsZero() && now.Sub(l.loadAt) <= loadMaxAge
	if fresh && l.usedByOthers >= 1 && seconds <= contradictionRatio*l.longLatency {
		l.distrust = min(1, l.distrust+trustLoss)
		return
	}
	l.distrust = max(0, l.distrust-trustGain)
}

// recordShed records a refusal by the upstream.
func (l *limiter) recordShed(now time.Time) {
	l.consecutiveSheds++
	backoff := minShedBackoff << min(l.consecutiveSheds-1, 10)
	l.shedUntil = now.Add(min(backoff, maxShedBackoff))
	l.lower(shedFactor, 1, now)
}

// recordFailure records a failed request.
func (l *limiter) recordFailure(now time.Time) { l.lower(failFactor, 1, now) }

func (l *limiter) lower(factor, floor float64, now time.Time) {
	if now.Sub(l.loweredAt) < lowerInterval {
		return
	}
	l.loweredAt = now
	l.limit = min(l.limit, max(floor, l.limit*factor))
}
