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

// New returns a client. It asks for the list of entry instances at the first
// request. It fails if an entry is not a URL.
func New(options Options) (*Client, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	client := *options.HTTPClient
	client.CheckRedirect = keepRedirect
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

// Do sends a request that may run more than once and returns the whole answer
// of an upstream. Every error is an *Error.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	return c.send(ctx, &request, idempotencyKey{}, request.mode())
}

// NewKey returns a new idempotency key of the home of the newest list. A caller
// that must find the outcome of its action after a restart stores the key
// before it calls Submit. It fails with KindNotSent while no entry instance
// gives a list.
func (c *Client) NewKey(ctx context.Context) (string, error) {
	_, home := c.directory.current(ctx)
	if home == "" {
		cause := errors.New("no entry instance has given the home for idempotency keys")
		return "", &Error{Kind: KindNotSent, Outcome: errkind.NotRun, Retry: errkind.RetryLater, cause: cause}
	}
	return home + "." + rand.Text(), nil
}

// Submit sends a request that must run at most once, under the key, and returns
// the whole answer. An empty key makes a new one, and another one if its home has
// gone before any attempt was sent; the answer or the error names the last.
// Every error is an *Error.
func (c *Client) Submit(ctx context.Context, key string, request Request) (*Response, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	used := idempotencyKey{text: key}
	if key == "" {
		made, err := c.NewKey(ctx)
		if err != nil {
			return nil, err
		}
		used = idempotencyKey{text: made, own: true}
	}
	return c.send(ctx, &request, used, atMostOnce)
}

// idempotencyKey is the key of a request, if it has one.
type idempotencyKey struct {
	text string
	// own is set when no attempt before this request can have used the key.
	own bool
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}
