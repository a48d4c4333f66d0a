package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinRetryAfter is the shortest time after which a refused caller is to return.
	MinRetryAfter = 300 * time.Millisecond
	// maxTimePart is the part of its time for which a caller waits before it returns, as its inverse.
	maxTimePart = 3
	// maxObjectivePart is the part of the latency objective for which a caller should wait, as its
	// inverse: with longer waits hardly a response to a return comes within the objective, and not more
	// callers are served.
	maxObjectivePart = 3
	// spreadSeconds is the time in seconds whose refused requests a spread is computed for.
	spreadSeconds = 1.0
	// randomPart is the random part of a wait.
	randomPart = 0.2
	// returnedPart is the part of a wait after which a return counts as one that waited. The wait
	// that another instance computes at the return differs from what was told.
	returnedPart = 0.5
	// freshTolerance is the time that a request without a refusal may have lost on its way.
	freshTolerance = 50 * time.Millisecond
)

// returnKind says whether a request has been refused before.
type returnKind uint8

const (
	fresh returnKind = iota
	early
	returned
)

// elapsed returns the time since the caller's first request, or 0 if the caller states no time.
func (r Request) elapsed() time.Duration {
	if r.Left <= 0 {
		return 0
	}
	return max(r.Timeout-r.Left, 0)
}

// returnOf returns whether the request has been refused before, and has waited since.
func (l *level) returnOf(r Request) returnKind {
	elapsed := r.elapsed()
	switch {
	case elapsed < freshTolerance:
		return fresh
	case elapsed < max(MinRetryAfter, time.Duration(returnedPart*float64(l.wait(r)))):
		return early
	}
	return returned
}

// wait returns the time after which a refused request is to return. While the fraction f of the
// priority passes, the requests that are refused in a second need (1-f)/f seconds of its room. The wait
// lies in that time at a place that follows from customer and object, so that every instance
// finds about the same. Callers wait at most for a part of their time.
func (l *level) wait(r Request) time.Duration { return l.waitAt(r, place(r)) }

// waitAt is wait for a place from 0 to 1.
func (l *level) waitAt(r Request, at float64) time.Duration {
	span := spreadSeconds * (1 - l.fraction) / l.fraction
	wait := MinRetryAfter + time.Duration(span*at*float64(time.Second))
	return r.bounded(wait)
}

// bounded returns the wait, not so long that the caller gives up or misses the objective, and not too
// short.
func (r Request) bounded(wait time.Duration) time.Duration {
	left := r.Timeout
	if r.Left > 0 {
		left = min(left, r.Left)
	}
	if r.Objective > 0 {
		wait = min(wait, r.Objective/maxObjectivePart)
	}
	return max(min(wait, left/maxTimePart), MinRetryAfter)
}

// place returns a number from 0 to 1 that follows from customer and object, 0 without an object.
func place(r Request) float64 {
	if !r.HasObject {
		return 0
	}
	const bits = 53
	mixed := (xxhash.Sum64String(r.Customer) ^ r.Object) * 0x9e3779b97f4a7c15
	return float64((mixed^mixed>>29)>>(64-bits)) / (1 << bits)
}
