package client

import (
	"time"

	"samphireferry.example/ferry/errkind"
)

const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
	// backoffDoublings bounds the exponent.
	backoffDoublings = 6
)

// step is the action after an attempt without a usable response.
type step int

const (
	// stop ends the request.
	stop step = iota
	// nextNow tries the next instance immediately, or after a delay when all
	// instances have been tried.
	nextNow
	// nextDelayed tries the next instance after a delay.
	nextDelayed
	// sameDelayed tries the same instance after a delay.
	sameDelayed
)

// mode is the way in which a request may be repeated.
type mode int

const (
	// repeatable requests may run several times.
	repeatable mode = iota
	// once requests are repeated only if no attempt can have run.
	once
	// atMostOnce requests are repeated under their idempotency key.
	atMostOnce
)

// nextStep decides whether and where to repeat the request. last is the error of
// the last attempt, and outcome the combined outcome of all attempts, the last one
// included.
func nextStep(m mode, last *Error, outcome errkind.Outcome) step {
	switch m {
	case once:
		if outcome != errkind.NotRun {
			return stop
		}
	case atMostOnce:
		if canLearnOutcome(last, outcome) {
			return outcomeStep(last)
		}
	}
	return advisedStep(last.Retry)
}

func advisedStep(retry errkind.Retry) step {
	switch retry {
	case errkind.RetryElsewhere:
		return nextNow
	case errkind.RetrySameKey:
		return nextDelayed
	case errkind.RetryLater:
		return sameDelayed
	default:
		return stop
	}
}

// canLearnOutcome reports whether an attempt may have run and a repeat may still
// return its outcome. A refusal of an attempt that did not run does not cover the
// attempts before it.
func canLearnOutcome(last *Error, outcome errkind.Outcome) bool {
	if outcome == errkind.NotRun {
		return false
	}
	return last.Retry != errkind.RetryNever || last.Outcome == errkind.NotRun
}

func outcomeStep(last *Error) step {
	if last.Retry == errkind.RetryElsewhere {
		return nextNow
	}
	return nextDelayed
}

// combineOutcomes returns the outcome of all attempts after one more attempt: Ran
// takes precedence over Unknown, and Unknown over NotRun.
func combineOutcomes(known, attempt errkind.Outcome) errkind.Outcome {
	if known == errkind.Ran || attempt == errkind.NotRun {
		return known
	}
	return attempt
}

// backoff returns the delay before repeat n, which counts from 0. The delay lies
// between half of an exponential bound and the full bound, scaled by random, which
// is in [0, 1).
func backoff(n int, random float64) time.Duration {
	bound := min(backoffBase<<min(n, backoffDoublings), backoffMax)
	return time.Duration(float64(bound) * (0.5 + random/2))
}
