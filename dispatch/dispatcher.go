package dispatch

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/telemetry"
)

// maxAttempts bounds the attempts of one request over all targets.
const maxAttempts = 4

// Target is one place to which a request can be sent: the upstreams of this
// entry instance, or another entry instance.
type Target interface {
	// Send makes one attempt. Its error has an error kind, and the outcome of
	// that kind is true.
	Send(ctx context.Context, request *Request, version string) (*Answer, error)
}

// Choice is where one request goes.
type Choice struct {
	// Version is the version of the service. Targets are tried in order.
	Version string
	Targets []Target
	// Fallback is the version to use when no target has taken Version; empty
	// means none.
	Fallback        string
	FallbackTargets []Target
}

// Chooser decides where requests go. It is called once for each request.
type Chooser interface {
	Choose(request *Request) Choice
}

// Budget bounds retries to a part of the requests.
type Budget interface {
	// Succeed is called for each request that was answered.
	Succeed()
	// Spend says whether the request that failed with the error may be sent
	// again, and takes the retry out of the budget.
	Spend(atMostOnce bool, err error) bool
}

// Dispatcher sends requests to targets and retries them where that is safe.
type Dispatcher struct {
	chooser Chooser
	budget  Budget
	metrics *telemetry.Metrics
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(chooser Chooser, budget Budget, metrics *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{chooser: chooser, budget: budget, metrics: metrics}
}

// Dispatch sends the request and returns the answer, or the error of the last
// attempt. A request of an at-most-once route is sent again only after an error
// whose outcome is errkind.NotRun.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request) (*Answer, error) {
	body, err := newAttemptBody(request)
	if err != nil {
		return nil, err
	}
	choice := d.chooser.Choose(request)
	a := &attempts{dispatcher: d, request: request, body: body}
	answer, err := a.tryAll(ctx, choice.Version, choice.Targets)
	if err == nil || choice.Fallback == "" || !a.mayRetry(err) {
		return answer, err
	}
	return a.tryAll(ctx, choice.Fallback, choice.FallbackTargets)
}

// attempts is the state of one request over its attempts.
type attempts struct {
	dispatcher *Dispatcher
	request    *Request
	body       *attemptBody
	made       int
}

func (a *attempts) tryAll(ctx context.Context, version string, targets []Target) (*Answer, error) {
	err := error(errkind.New(errkind.NoUpstream, ""))
	for _, target := range targets {
		if a.made >= maxAttempts {
			return nil, err
		}
		var answer *Answer
		answer, err = a.try(ctx, version, target)
		if err == nil {
			a.dispatcher.budget.Succeed()
			return answer, nil
		}
		if !a.mayRetry(err) {
			return nil, err
		}
		a.count(err)
	}
	return nil, err
}

func (a *attempts) try(ctx context.Context, version string, target Target) (*Answer, error) {
	if ctx.Err() != nil {
		return nil, a.expired(ctx)
	}
	a.request.Attempt = a.made
	a.request.Body = a.body.next()
	a.made++
	answer, err := target.Send(ctx, a.request, version)
	if err != nil {
		return nil, err
	}
	if a.request.AtMostOnce() || a.request.Method == http.MethodHead {
		return answer, nil
	}
	return readAhead(answer)
}

// expired returns the error for a context that has ended between two attempts.
// No attempt runs at that moment, and each earlier one was safe to repeat.
func (a *attempts) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Wrap(ctx.Err(), errkind.CallerGone, "")
	}
	if a.made == 0 || a.request.AtMostOnce() {
		return errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "")
	}
	return errkind.Wrap(ctx.Err(), errkind.UpstreamTimeout, "")
}

// mayRetry says whether the request may be sent again after the error.
func (a *attempts) mayRetry(err error) bool {
	kind := errkind.Of(err)
	if !isRetryable(kind) || !a.body.canRepeat() {
		return false
	}
	if kind.Row().Outcome == errkind.NotRun {
		return true
	}
	return a.dispatcher.budget.Spend(a.request.AtMostOnce(), err)
}

// isRetryable says whether another target could answer where this one failed.
func isRetryable(kind errkind.Kind) bool {
	switch kind {
	case errkind.NoUpstream, errkind.Overloaded, errkind.QueueTimeout, errkind.Leaving, errkind.NoConfiguration,
		errkind.UpstreamFailed, errkind.UpstreamTimeout, errkind.AnswerMismatched, errkind.AnswerTruncated:
		return true
	default:
		return false
	}
}

func (a *attempts) count(err error) {
	a.dispatcher.metrics.Retried(retryReason(errkind.Of(err)))
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
