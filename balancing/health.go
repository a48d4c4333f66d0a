package balancing

import (
	"time"
)

// The ejection of an upstream on evidence from requests.
const (
	// maxFailures is the number of failures in a row that eject an upstream.
	maxFailures = 5
	// maxErrors is the number of answers with an error status in a row that do.
	maxErrors = 20
	// firstEjection doubles with each ejection in a row up to lastEjection.
	firstEjection = 1 * time.Second
	lastEjection  = 30 * time.Second
	// trialSuccesses is the number of successes that end the trial phase.
	trialSuccesses = 3
	// evidenceAge is the time for which a success outweighs a failed probe.
	evidenceAge = 3 * time.Second
)

// phase is the state of the ejection.
type phase uint8

const (
	phaseIn phase = iota
	// phaseOut gets no requests until a time has passed.
	phaseOut
	// phaseTrial gets one request at a time.
	phaseTrial
)

// health is what is known of one upstream.
type health struct {
	phase     phase
	until     time.Time
	failures  int
	errors    int
	ejections int
	successes int
	succeeded time.Time

	probeFailed bool
	draining    bool
	cold        bool
	leaving     bool
}

// stopped says whether there is any sign of a drain.
func (h *health) stopped() bool { return h.draining || h.leaving }

// concurrency returns the largest number of requests that the health allows,
// given the limit of the upstream.
func (h *health) concurrency(limit int, now time.Time) int {
	if h.stopped() {
		return 0
	}
	if h.phase == phaseOut && now.Before(h.until) {
		return 0
	}
	if h.phase != phaseIn {
		return min(limit, 1)
	}
	if h.probeFailed && now.Sub(h.succeeded) > evidenceAge {
		return 0
	}
	return limit
}

// lastResort says whether the upstream may get a single request when no other
// upstream is usable: only its probe speaks against it.
func (h *health) lastResort() bool {
	return !h.stopped() && h.phase == phaseIn && h.probeFailed
}

// succeed takes a success and returns true when it ends an ejection.
func (h *health) succeed(now time.Time) (returned bool) {
	h.succeeded = now
	h.failures = 0
	h.errors = 0
	if h.phase == phaseIn {
		return false
	}
	h.phase = phaseTrial
	h.successes++
	if h.successes < trialSuccesses {
		return false
	}
	h.phase = phaseIn
	h.ejections = 0
	return true
}

// fail takes a failure and returns true when it ejects the upstream.
func (h *health) fail(now time.Time) (ejected bool) {
	h.failures++
	if h.phase == phaseIn && h.failures < maxFailures {
		return false
	}
	if h.phase == phaseOut && now.Before(h.until) {
		return false
	}
	h.eject(now)
	return true
}

// answerError takes an error status. It returns true when the upstream should
// be ejected, if the pool can do without it.
func (h *health) answerError() bool {
	h.failures = 0
	h.errors++
	return h.phase == phaseIn && h.errors >= maxErrors
}

func (h *health) eject(now time.Time) {
	h.phase = phaseOut
	h.until = now.Add(min(firstEjection<<min(h.ejections, 10), lastEjection))
	h.ejections++
	h.failures = 0
	h.errors = 0
	h.successes = 0
}
