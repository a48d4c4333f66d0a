package balancing

import (
	"time"
)

// Parameters of the ejection of an upstream on evidence from requests.
const (
	// failuresToEject is the number of failures in a row that eject an upstream.
	failuresToEject = 5
	// errorsToEject is the number of responses with an error status in a row that do.
	errorsToEject = 20
	// minEjection is the duration of the first ejection. It doubles with each further one
	// in a row, up to maxEjection.
	minEjection = 1 * time.Second
	maxEjection = 30 * time.Second
	// halfOpenSuccesses is the number of successes that end the half-open phase.
	halfOpenSuccesses = 3
	// maxEvidenceAge is the time for which a success outweighs a failed probe.
	maxEvidenceAge = 3 * time.Second
)

// phase is the state of the circuit breaker of an upstream.
type phase uint8

const (
	// phaseActive allows requests up to the limit.
	phaseActive phase = iota
	// phaseEjected allows no requests until ejectedUntil.
	phaseEjected
	// phaseHalfOpen allows one request at a time.
	phaseHalfOpen
)

// health is the health of one upstream, from requests, probes and drain signals.
type health struct {
	phase        phase
	ejectedUntil time.Time
	// failures, errors and ejections count consecutive ones; successes counts those since
	// the ejection.
	failures    int
	errors      int
	ejections   int
	successes   int
	lastSuccess time.Time

	probeFailed bool
	draining    bool
	cold        bool
	leaving     bool
}

// stopped reports whether there is any sign of a drain.
func (h *health) stopped() bool { return h.draining || h.leaving }

// concurrency returns the number of concurrent requests that the health allows, given
// the limit of the upstream.
func (h *health) concurrency(limit int, now time.Time) int {
	if h.stopped() {
		return 0
	}
	if h.phase == phaseEjected && now.Before(h.ejectedUntil) {
		return 0
	}
	if h.phase != phaseActive {
		return min(limit, 1)
	}
	if h.probeFailed && now.Sub(h.lastSuccess) > maxEvidenceAge {
		return 0
	}
	return limit
}

// usableAsLastResort reports whether the upstream may get a single request when no
// other upstream is usable, because nothing but its probe indicates a fault.
func (h *health) usableAsLastResort() bool {
	return !h.stopped() && h.phase == phaseActive && h.probeFailed
}

// recordSuccess records a success and returns true when it ends an ejection.
func (h *health) recordSuccess(now time.Time) (returned bool) {
	h.lastSuccess = now
	h.failures = 0
	h.errors = 0
	if h.phase == phaseActive {
		return false
	}
	h.phase = phaseHalfOpen
	h.successes++
	if h.successes < halfOpenSuccesses {
		return false
	}
	h.phase = phaseActive
	h.ejections = 0
	return true
}

// recordFailure records a failure and returns true when it ejects the upstream.
func (h *health) recordFailure(now time.Time) (ejected bool) {
	h.failures++
	if h.phase == phaseActive && h.failures < failuresToEject {
		return false
	}
	if h.phase == phaseEjected && now.Before(h.ejectedUntil) {
		return false
	}
	h.eject(now)
	return true
}

// recordErrorStatus records an error status. It returns true when the upstream should be
// ejected, provided the pool can do without it.
func (h *health) recordErrorStatus() bool {
	h.failures = 0
	h.errors++
	return h.phase == phaseActive && h.errors >= errorsToEject
}

func (h *health) eject(now time.Time) {
	h.phase = phaseEjected
	h.ejectedUntil = now.Add(min(minEjection<<min(h.ejections, 10), maxEjection))
	h.ejections++
	h.failures = 0
	h.errors = 0
	h.successes = 0
}
