package load

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 8
	// repeatDelay is the time before a repeat when the answer names none.
	repeatDelay = 200 * time.Millisecond
	// idleConnections bounds the idle connections to one instance.
	idleConnections = 256
	headerKey       = "Idempotency-Key"
)

// sender sends the requests of one customer.
type sender struct {
	customer  *Customer
	client    *http.Client
	directory *directory
	stats     *stats
}

func newTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: listTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
}

func newSender(plan *Plan, customer *Customer, transport http.RoundTripper) *sender {
	client := &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	return &sender{
		customer: customer,
		client:   client,
		directory: &directory{
			client:      client,
			seeds:       customer.Entries,
			allowRemote: plan.AllowRemote,
		},
		stats: newStats(customer),
	}
}

// keepRedirect hands redirects to the caller: the key must not go elsewhere.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send sends one request, with its repeats, and counts it.
func (s *sender) send(ctx context.Context, request *Request, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(request.Timeout.Std()))
	defer cancel()
	bases, home := s.directory.current(ctx)
	key := ""
	if request.AtMostOnce {
		key = home + "." + rand.Text()
	}
	var last attempt
	for try := range maxAttempts {
		if try > 0 {
			s.stats.retried(last.outcome)
		}
		base := bases[try%len(bases)]
		last = s.attempt(ctx, base, request, key)
		s.stats.attempted(base)
		if !s.again(ctx, last, request) {
			break
		}
	}
	s.stats.finished(last.outcome, time.Since(intended))
}

// again says whether to try another instance, after the delay that is due.
func (s *sender) again(ctx context.Context, last attempt, request *Request) bool {
	if !last.sent || last.advice == adviceElsewhere {
		return ctx.Err() == nil
	}
	if last.advice != adviceSameKey || !request.AtMostOnce && !isRead(request.Method) {
		return false
	}
	delay := max(last.retryAfter, repeatDelay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func isRead(method string) bool { return method == http.MethodGet || method == http.MethodHead }

func (s *sender) attempt(ctx context.Context, base string, request *Request, key string) attempt {
	r, err := http.NewRequestWithContext(ctx, request.Method, base+request.Path, nil)
	if err != nil {
		return attempt{outcome: OutcomeConnectionFailed}
	}
	if request.Body != "" {
		r.Body = io.NopCloser(strings.NewReader(request.Body))
		r.ContentLength = int64(len(request.Body))
	}
	if request.Host != "" {
		r.Host = request.Host
	}
	if s.customer.Key != "" {
		r.Header.Set("Authorization", "Bearer "+s.customer.Key)
	}
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	response, err := s.client.Do(r)
	if err != nil {
		return failedAttempt(err)
	}
	return readAnswer(response)
}

// failedAttempt tells a connection that never opened from one that broke.
func failedAttempt(err error) attempt {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt{outcome: OutcomeConnectionFailed}
	}
	return attempt{outcome: OutcomeNoAnswer, sent: true, advice: adviceSameKey}
}
