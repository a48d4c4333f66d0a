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

// step is what follows an attempt without a usable answer.
type step int

const (
	// stop ends the request.
	stop step = iota
	// nextNow tries the next instance at once, or after a delay when all
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

// nextStep decides on a repeat. last is the error of the last attempt, and
// outcome what is known over all attempts, the last one included.
func nextStep(m mode, last *Error, outcome errkind.Outcome) step {
	switch m {
	case once:
		if outcome != errkind.NotRun {
			return stop
		}
	case atMostOnce:
		if unsettled(last, outcome) {
			return unsettledStep(last)
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

// unsettled says that an attempt may have run and that a repeat may still tell.
// A refusal that was not run does not speak of the attempts before it.
func unsettled(last *Error, outcome errkind.Outcome) bool {
	if outcome == errkind.NotRun {
		return false
	}
	return last.Retry != errkind.RetryNever || last.Outcome == errkind.NotRun
}

func unsettledStep(last *Error) step {
	if last.Retry == errkind.RetryElsewhere {
		return nextNow
	}
	return nextDelayed
}

// worse returns what is known after an attempt more: an attempt that ran
// outweighs all others, and one that may have run those that have not.
func worse(known, attempt errkind.Outcome) errkind.Outcome {
	if known == errkind.Ran || attempt == errkind.NotRun {
		return known
	}
	return attempt
}

// backoff returns the delay before the repeat with the number n, from 0: an
// exponential bound of which between a half and the whole is taken, by random
// in [0, 1).
func backoff(n int, random float64) time.Duration {
	bound := min(backoffBase<<min(n, backoffDoublings), backoffMax)
	return time.Duration(float64(bound) * (0.5 + random/2))
}
