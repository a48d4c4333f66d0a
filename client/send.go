package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphireferry.example/ferry/errkind"
)

// call is the state of one request across its attempts.
type call struct {
	client  *Client
	request *Request
	key     string
	mode    mode
	// keyGenerated is set when the client has generated the key.
	keyGenerated bool
	// outcome is the combined outcome of all attempts.
	outcome  errkind.Outcome
	attempts int
	// triedSinceDelay counts the attempts since the last delay.
	triedSinceDelay int
	// delays counts the delays so far.
	delays int
	last   *Error
}

func (c *Client) send(ctx context.Context, request *Request, key idempotencyKey, m mode) (*Response, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	current := &call{client: c, request: request, key: key.text, keyGenerated: key.generated, mode: m, outcome: errkind.NotRun}
	response, err := current.run(ctx)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// run makes attempts until one returns a usable response or no further attempt is
// allowed. After the last instance it continues with the first one of the list that
// is current then.
func (c *call) run(ctx context.Context) (*Response, *Error) {
	bases, _ := c.client.directory.current(ctx)
	index := 0
	for {
		if ctx.Err() != nil {
			return nil, c.finalError(ctx.Err())
		}
		response, err := c.attempt(ctx, bases[index])
		if err == nil {
			return response, nil
		}
		switch c.next(ctx, len(bases)) {
		case stop:
			return nil, c.finalError(ctx.Err())
		case nextNow, nextDelayed:
			index++
		}
		if index == len(bases) {
			bases, _ = c.client.directory.current(ctx)
			index = 0
		}
	}
}

func (c *call) attempt(ctx context.Context, base string) (*Response, *Error) {
	previous := ""
	if c.last != nil {
		previous = c.last.Kind
	}
	c.client.options.OnAttempt(Attempt{Entry: base, Previous: previous})
	c.attempts++
	c.triedSinceDelay++
	response, err := c.client.attempt(ctx, base, c.request, c.key)
	if err != nil {
		err.Entry = base
		if c.canReplaceKey(err) {
			err.Outcome = errkind.NotRun
		}
		c.last = err
		c.outcome = combineOutcomes(c.outcome, err.Outcome)
		return nil, err
	}
	response.Entry = base
	response.Key = c.key
	response.Attempts = c.attempts
	return response, nil
}

// next returns the step after a failed attempt, once the delay before it is over.
func (c *call) next(ctx context.Context, instances int) step {
	options := &c.client.options
	if options.MaxAttempts > 0 && c.attempts >= options.MaxAttempts {
		return stop
	}
	if options.ReturnLater && c.last.Retry == errkind.RetryLater {
		return stop
	}
	if c.canReplaceKey(c.last) && c.replaceKey(ctx) {
		return nextNow
	}
	next := nextStep(c.mode, c.last, c.outcome)
	if next == stop || next == nextNow && c.triedSinceDelay < instances {
		return next
	}
	if !c.wait(ctx) {
		return stop
	}
	return next
}

// canReplaceKey reports whether the request can use a new key: the client has
// generated the key, the home is gone, the transport did not repeat the refused
// attempt, and no attempt before it can have run.
func (c *call) canReplaceKey(last *Error) bool {
	return c.keyGenerated && c.outcome == errkind.NotRun && !last.repeated &&
		last.Kind == errkind.IdempotencyHomeGone.String()
}

// replaceKey generates a new key of another home. It returns false if there is none.
func (c *call) replaceKey(ctx context.Context) bool {
	c.client.directory.expireHome(homeOf(c.key))
	key, err := c.client.NewKey(ctx)
	if err != nil || homeOf(key) == homeOf(c.key) {
		return false
	}
	c.key = key
	return true
}

// homeOf returns the home in an idempotency key. The home may contain dots.
func homeOf(key string) string { return key[:max(strings.LastIndexByte(key, '.'), 0)] }

// wait waits for the delay before the next repeat. It returns false, without
// waiting, if the deadline is earlier, and false if the context ends during the
// delay.
func (c *call) wait(ctx context.Context) bool {
	delay := c.last.RetryAfter + backoff(c.delays, c.client.options.Random())
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	c.delays++
	c.triedSinceDelay = 0
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finalError returns the error of the request: the error of the last attempt with
// the combined outcome of all attempts.
func (c *call) finalError(cause error) *Error {
	err := c.last
	if err == nil {
		err = &Error{Kind: KindNotSent, Retry: errkind.RetryLater, cause: cause}
	}
	if cause != nil {
		err.cause = cause
	}
	err.Outcome = c.outcome
	err.Key = c.key
	err.Attempts = c.attempts
	return err
}
