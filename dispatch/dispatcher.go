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
	// firstPause is the time after which all targets are tried again when each
	// has refused the request. It doubles each time.
	firstPause = 10 * time.Millisecond
)

// Target is one place to which a request can be sent: the upstreams of this
// entry instance, or another entry instance.
type Target interface {
	// Send makes one attempt. Its error has an error kind, and the outcome of
	// that kind is true.
	Send(ctx context.Context, request *Request, version string) (*Answer, error)
}

// Choice is where one request goes. It is made once for each request, since
// it counts for the share of a version or of a move.
type Choice struct {
	// Version is the version of the service.
	Version string
	// Fallback is the version to use when no target has taken Version; empty
	// means none.
	Fallback string
	// Targets returns the places to try now, in order.
	Targets func(version string) []Target
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
	a := &attempts{dispatcher: d, request: request, body: body, choice: d.chooser.Choose(request)}
	answer, err := a.run(ctx)
	if err != nil {
		return nil, a.overall(err)
	}
	return answer, nil
}

// attempts is the state of one request over its attempts.
type attempts struct {
	dispatcher *Dispatcher
	request    *Request
	body       *attemptBody
	choice     Choice
	// made counts all attempts, risky those that may have run.
	made  int
	risky int
}

// run tries all targets until one answers, an error is final, or the request
// has waited for as long as it may wait in a queue.
func (a *attempts) run(ctx context.Context) (*Answer, error) {
	waitUntil := time.Now().Add(a.request.Route.Service.QueueTimeout)
	for pause := firstPause; ; pause *= 2 {
		answer, err := a.tryVersions(ctx)
		if err == nil || !hasNoRoom(err) || !a.body.canRepeat() {
			return answer, err
		}
		if time.Now().Add(pause).After(waitUntil) || !wait(ctx, pause) {
			return nil, err
		}
	}
}

// overall returns the error of the whole request: one that promises not-run is
// not true after an attempt that may have run.
func (a *attempts) overall(err error) error {
	if a.risky == 0 || errkind.Of(err).Row().Outcome != errkind.NotRun {
		return err
	}
	return errkind.Wrap(err, errkind.UpstreamFailed, "an earlier attempt may have run")
}

// hasNoRoom says whether a target may take the request a little later.
func hasNoRoom(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.Overloaded || kind == errkind.NoUpstream
}

// wait returns false when the context ends first.
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

func (a *attempts) tryVersions(ctx context.Context) (*Answer, error) {
	answer, err := a.tryAll(ctx, a.choice.Version)
	if err == nil || a.choice.Fallback == "" || errkind.Of(err).Row().Outcome != errkind.NotRun || !a.body.canRepeat() {
		return answer, err
	}
	return a.tryAll(ctx, a.choice.Fallback)
}

func (a *attempts) tryAll(ctx context.Context, version string) (*Answer, error) {
	err := error(errkind.New(errkind.NoUpstream, ""))
	for _, target := range a.choice.Targets(version) {
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
		return nil, expired(ctx)
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
func expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Wrap(ctx.Err(), errkind.CallerGone, "")
	}
	return errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "")
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
	a.risky++
	return a.risky < maxAttempts && a.dispatcher.budget.Spend(a.request.AtMostOnce(), err)
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
	customer := ""
	if a.request.Customer != nil {
		customer = a.request.Customer.Name
	}
	a.dispatcher.metrics.Retried(retryReason(errkind.Of(err)), a.request.Route.Service.Name, customer)
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
