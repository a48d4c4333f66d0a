package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/telemetry"
)

const (
	// maxAttempts bounds the attempts of one request that may have run.
	maxAttempts = 3
	// initialBackoff is the delay before all targets are tried again after every
	// one has refused the request. It doubles each time.
	initialBackoff = 10 * time.Millisecond
)

// Target is a destination for requests: the upstreams of this entry instance, or
// another entry instance.
type Target interface {
	// Send makes one attempt. Every error has an errkind.Kind whose outcome holds
	// for the attempt: errkind.NotRun only when no upstream ran the request.
	Send(ctx context.Context, request *Request, version string) (*Response, error)
}

// Choice is the routing decision for one request. It is made once per request,
// since it counts towards the share of a version or of a move.
type Choice struct {
	// Version is the version of the service.
	Version string
	// Fallback is the version to try when the last error for Version has the
	// outcome errkind.NotRun; empty means none.
	Fallback string
	// Targets returns the targets to try now, in order of preference.
	Targets func(version string) []Target
}

// Chooser decides where requests are sent.
type Chooser interface {
	// Choose returns the decision for the request. It is called once per request.
	Choose(request *Request) Choice
}

// Budget limits retries to a fraction of the requests.
type Budget interface {
	// Succeed is called for each request that received a response.
	Succeed()
	// Spend reports whether a request that failed with the error may be retried,
	// and if so deducts the retry from the budget.
	Spend(atMostOnce bool, err error) bool
}

// Dispatcher sends requests to targets and retries them where that is safe.
type Dispatcher struct {
	chooser Chooser
	budget  Budget
	metrics *telemetry.Metrics
}

// NewDispatcher returns a dispatcher that counts its retries in the metrics.
func NewDispatcher(chooser Chooser, budget Budget, metrics *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{chooser: chooser, budget: budget, metrics: metrics}
}

// Dispatch sends the request and returns the response, or the error of the last
// attempt. A request of an at-most-once route is retried only after an error
// whose outcome is errkind.NotRun.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request) (*Response, error) {
	body, err := newAttemptBody(request)
	if err != nil {
		return nil, err
	}
	a := &attempts{dispatcher: d, request: request, body: body, choice: d.chooser.Choose(request)}
	response, err := a.run(ctx)
	if err != nil {
		return nil, a.requestError(err)
	}
	return response, nil
}

// attempts is the state of one request across its attempts.
type attempts struct {
	dispatcher *Dispatcher
	request    *Request
	body       *attemptBody
	choice     Choice
	// made counts all attempts, possibleRuns those that failed with a retryable
	// error and may have run.
	made         int
	possibleRuns int
}

// run tries all targets until one responds, an error is final, or the queue
// timeout of the service would be exceeded.
func (a *attempts) run(ctx context.Context) (*Response, error) {
	waitUntil := time.Now().Add(a.request.Route.Service.QueueTimeout)
	for backoff := initialBackoff; ; backoff *= 2 {
		response, err := a.tryVersions(ctx)
		if err == nil || !mayAcceptLater(err) || !a.body.canResend() {
			return response, err
		}
		if time.Now().Add(backoff).After(waitUntil) || !wait(ctx, backoff) {
			return nil, err
		}
	}
}

// requestError returns the error of the whole request. An error with the outcome
// errkind.NotRun is replaced when an earlier attempt may have run.
func (a *attempts) requestError(err error) error {
	if a.possibleRuns == 0 || errkind.Of(err).Row().Outcome != errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "an earlier attempt may have run")
}

// mayAcceptLater reports whether a target may accept the request after a short
// delay.
func mayAcceptLater(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.Overloaded || kind == errkind.NoUpstream
}

// wait waits for the duration. It returns false when the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryVersions tries the chosen version. After an error with the outcome
// errkind.NotRun, it tries the fallback version, if there is one and the body can
// be sent again.
func (a *attempts) tryVersions(ctx context.Context) (*Response, error) {
	response, err := a.tryTargets(ctx, a.choice.Version)
	if err == nil || a.choice.Fallback == "" || errkind.Of(err).Row().Outcome != errkind.NotRun || !a.body.canResend() {
		return response, err
	}
	return a.tryTargets(ctx, a.choice.Fallback)
}

// tryTargets tries the targets of the version in turn until one responds or an
// error rules out a retry.
func (a *attempts) tryTargets(ctx context.Context, version string) (*Response, error) {
	err := error(errkind.New(errkind.NoUpstream, ""))
	for _, target := range a.choice.Targets(version) {
		var response *Response
		response, err = a.try(ctx, version, target)
		if err == nil {
			a.dispatcher.budget.Succeed()
			return response, nil
		}
		if !a.mayRetry(err) {
			return nil, err
		}
		a.countRetry(err)
	}
	return nil, err
}

// try makes one attempt. It reads the beginning of the response ahead, unless the
// request cannot be repeated or has the method HEAD.
func (a *attempts) try(ctx context.Context, version string, target Target) (*Response, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	a.request.Attempt = a.made
	a.request.Body = a.body.next()
	a.made++
	response, err := target.Send(ctx, a.request, version)
	if err != nil {
		return nil, err
	}
	if a.request.AtMostOnce() || a.request.Method == http.MethodHead {
		return response, nil
	}
	return readAhead(response)
}

// contextError returns the error for a context that has ended before an attempt.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Wrap(ctx.Err(), errkind.CallerGone, "")
	}
	return errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "")
}

// mayRetry reports whether the request may be sent again after the error. After
// an attempt that may have run it deducts the retry from the budget.
func (a *attempts) mayRetry(err error) bool {
	kind := errkind.Of(err)
	if !isRetryable(kind) || !a.body.canResend() {
		return false
	}
	if kind.Row().Outcome == errkind.NotRun {
		return true
	}
	a.possibleRuns++
	return a.possibleRuns < maxAttempts && a.dispatcher.budget.Spend(a.request.AtMostOnce(), err)
}

// isRetryable reports whether another target could succeed after an error of the
// kind.
func isRetryable(kind errkind.Kind) bool {
	switch kind {
	case errkind.NoUpstream, errkind.Overloaded, errkind.QueueTimeout, errkind.Leaving, errkind.NoConfiguration,
		errkind.UpstreamFailed, errkind.UpstreamTimeout, errkind.AnswerMismatched, errkind.AnswerTruncated:
		return true
	default:
		return false
	}
}

// countRetry counts a retry after the error in the metrics.
func (a *attempts) countRetry(err error) {
	customer := ""
	if a.request.Customer != nil {
		customer = a.request.Customer.Name
	}
	a.dispatcher.metrics.CountRetry(retryReason(errkind.Of(err)), a.request.Route.Service.Name, customer)
}

func retryReason(kind errkind.Kind) telemetry.RetryReason {
	switch kind {
	case errkind.NoUpstream:
		return telemetry.RetryConnectionFailed
	case errkind.Overloaded, errkind.QueueTimeout:
		return telemetry.RetryUpstreamShed
	case errkind.AnswerMismatched:
		return telemetry.RetryAnswerMismatched
	case errkind.AnswerTruncated:
		return telemetry.RetryAnswerTruncated
	case errkind.UpstreamTimeout:
		return telemetry.RetrySilentConnection
	case errkind.Leaving, errkind.NoConfiguration:
		return telemetry.RetryRelayRefused
	default:
		return telemetry.RetryUpstreamFailed
	}
}
