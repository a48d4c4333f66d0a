package load

import (
	"context"
	"net/http"
	"time"

	"samphireferry.example/ferry/client"
)

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 8

// sender sends the requests of one customer.
type sender struct {
	customer *Customer
	client   *client.Client
	stats    *stats
}

// newSender returns a sender for a customer of a checked plan. A nil transport means
// the default transport of package client.
func newSender(plan *Plan, customer *Customer, transport http.RoundTripper) *sender {
	s := &sender{customer: customer, stats: newStats(customer)}
	options := client.Options{
		Entries:     customer.Entries,
		Key:         customer.Key,
		HeadTimeout: -1,
		AvoidFor:    -1,
		MaxAttempts: maxAttempts,
		ReturnLater: true,
		OnAttempt:   s.stats.recordAttempt,
	}
	if transport != nil {
		options.HTTPClient = &http.Client{Transport: transport}
	}
	if !plan.AllowRemote {
		options.Accept = isLoopback
	}
	s.client, _ = client.New(options)
	return s
}

// send sends one request with its retries and counts its outcome.
func (s *sender) send(ctx context.Context, request *Request, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(request.Timeout.Std()))
	defer cancel()
	response, err := s.do(ctx, request)
	s.stats.recordOutcome(outcomeOf(response, err), time.Since(intended))
}

func (s *sender) do(ctx context.Context, request *Request) (*client.Response, error) {
	r := client.Request{
		Method: request.Method,
		Path:   request.Path,
		Host:   request.Host,
		Body:   []byte(request.Body),
		Once:   true,
	}
	if request.AtMostOnce {
		return s.client.Submit(ctx, "", r)
	}
	return s.client.Do(ctx, r)
}
