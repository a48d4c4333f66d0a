package client

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// Client sends the requests of one customer. It is safe for concurrent use.
type Client struct {
	options   Options
	http      *http.Client
	directory *directory
}

// New returns a client. It returns an error if there is no entry or an entry is not
// an HTTP URL. The client fetches the list of entry instances at the first request.
func New(options Options) (*Client, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	client := *options.HTTPClient
	client.CheckRedirect = returnRedirect
	return &Client{
		options: options,
		http:    &client,
		directory: &directory{
			client:   &client,
			seeds:    options.Entries,
			accept:   options.Accept,
			avoidFor: options.AvoidFor,
			avoid:    map[string]time.Time{},
		},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request that may run more than once and returns the complete response
// of an upstream. Every error is an *Error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	return c.send(ctx, &request, idempotencyKey{}, request.mode())
}

// NewKey returns a new idempotency key with the home in the newest list. A caller
// that must find the outcome of its action after a restart stores the key before it
// calls Submit. NewKey returns an *Error of KindNotSent until an entry instance has
// returned a list.
func (c *Client) NewKey(ctx context.Context) (string, error) {
	_, home := c.directory.current(ctx)
	if home == "" {
		cause := errors.New("no entry instance has returned the home for idempotency keys")
		return "", &Error{Kind: KindNotSent, Outcome: errkind.NotRun, Retry: errkind.RetryLater, cause: cause}
	}
	return home + "." + rand.Text(), nil
}

// Submit sends a request that must run at most once, under the key, and returns the
// complete response. If key is empty, Submit generates one, and replaces it if its
// home is gone while no attempt can have run; the response or the error contains
// the last key. Every error is an *Error.
func (c *Client) Submit(ctx context.Context, key string, request Request) (*Response, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	requestKey := idempotencyKey{text: key}
	if key == "" {
		generated, err := c.NewKey(ctx)
		if err != nil {
			return nil, err
		}
		requestKey = idempotencyKey{text: generated, generated: true}
	}
	return c.send(ctx, &request, requestKey, atMostOnce)
}

// idempotencyKey is the key of a request, if it has one.
type idempotencyKey struct {
	text string
	// generated is set when Submit generated the key, so that no attempt before this
	// request can have used it.
	generated bool
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}
