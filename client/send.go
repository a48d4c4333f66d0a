package client

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphireferry.example/ferry/errkind"
)

// sending is the state of one request over its attempts.
type sending struct {
	client  *Client
	request *Request
	key     string
	mode    mode
	// ownKey is set when the client has made the key.
	ownKey bool
	// outcome is what is known over all attempts.
	outcome  errkind.Outcome
	attempts int
	// tried counts the attempts since the last delay.
	tried int
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
	s := &sending{client: c, request: request, key: key.text, ownKey: key.own, mode: m, outcome: errkind.NotRun}
	response, err := s.run(ctx)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// run makes attempts until one gives an answer or none may follow. After the
// last instance it goes on with the first one of the list that is current then.
func (s *sending) run(ctx context.Context) (*Response, *Error) {
	bases, _ := s.client.directory.current(ctx)
	index := 0
	for {
		if ctx.Err() != nil {
			return nil, s.ended(ctx.Err())
		}
		response, err := s.attempt(ctx, bases[index])
		if err == nil {
			return response, nil
		}
		switch s.next(ctx, len(bases)) {
		case stop:
			return nil, s.ended(ctx.Err())
		case nextNow, nextDelayed:
			index++
		}
		if index == len(bases) {
			bases, _ = s.client.directory.current(ctx)
			index = 0
		}
	}
}

func (s *sending) attempt(ctx context.Context, base string) (*Response, *Error) {
	previous := ""
	if s.last != nil {
		previous = s.last.Kind
	}
	s.client.options.OnAttempt(Attempt{Entry: base, Previous: previous})
	s.attempts++
	s.tried++
	response, err := s.client.attempt(ctx, base, s.request, s.key)
	if err != nil {
		err.Entry = base
		if s.mayRekey(err) {
			err.Outcome = errkind.NotRun
		}
		s.last = err
		s.outcome = worse(s.outcome, err.Outcome)
		return nil, err
	}
	response.Entry = base
	response.Key = s.key
	response.Attempts = s.attempts
	return response, nil
}

// next decides on a repeat and waits for the delay that is due before it.
func (s *sending) next(ctx context.Context, instances int) step {
	options := &s.client.options
	if options.MaxAttempts > 0 && s.attempts >= options.MaxAttempts {
		return stop
	}
	if options.ReturnLater && s.last.Retry == errkind.RetryLater {
		return stop
	}
	if s.mayRekey(s.last) && s.rekey(ctx) {
		return nextNow
	}
	next := nextStep(s.mode, s.last, s.outcome)
	if next == stop || next == nextNow && s.tried < instances {
		return next
	}
	if !s.wait(ctx) {
		return stop
	}
	return next
}

// mayRekey says whether the action can take a new key: its home has gone, the
// refused attempt was not sent, and neither was any before it.
func (s *sending) mayRekey(last *Error) bool {
	return s.ownKey && s.outcome == errkind.NotRun && !last.repeated &&
		last.Kind == errkind.IdempotencyHomeGone.String()
}

// rekey takes a new key of another home. It returns false when there is none.
func (s *sending) rekey(ctx context.Context) bool {
	s.client.directory.homeGone(homeOf(s.key))
	key, err := s.client.NewKey(ctx)
	if err != nil || homeOf(key) == homeOf(s.key) {
		return false
	}
	s.key = key
	return true
}

// homeOf returns the home in an idempotency key. The home may have dots.
func homeOf(key string) string { return key[:max(strings.LastIndexByte(key, '.'), 0)] }

// wait waits for the next repeat. It returns false at once if the deadline
// comes before.
func (s *sending) wait(ctx context.Context) bool {
	delay := s.last.RetryAfter + backoff(s.delays, s.client.options.Random())
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	s.delays++
	s.tried = 0
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ended returns the error of the request: that of the last attempt with what is
// known over all attempts.
func (s *sending) ended(cause error) *Error {
	err := s.last
	if err == nil {
		err = &Error{Kind: KindNotSent, Retry: errkind.RetryLater, cause: cause}
	}
	if cause != nil {
		err.cause = cause
	}
	err.Outcome = s.outcome
	err.Key = s.key
	err.Attempts = s.attempts
	return err
}
