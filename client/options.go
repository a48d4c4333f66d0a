package client

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// The defaults of Options.
const (
	DefaultTimeout          = 10 * time.Second
	DefaultHeadTimeout      = 5 * time.Second
	DefaultAvoidFor         = 2 * time.Second
	DefaultMaxResponseBytes = 64 << 20

	connectTimeout = 2 * time.Second
	// idleConnections is the maximum number of idle connections to one instance.
	idleConnections = 256
)

// Options are the settings of a client.
type Options struct {
	// Entries holds the base URLs of entry instances, such as
	// "http://10.0.0.1:8080", from which the first list is fetched. At least one is
	// required.
	Entries []string
	// Key is sent as "Authorization: Bearer KEY". If empty, the header is not set.
	Key string
	// HTTPClient sends the requests. Its redirect policy is not used, so that the
	// key is never sent to a redirect target. Default: a client without proxies.
	HTTPClient *http.Client
	// Timeout is the deadline of requests whose context has none. Default 10 s.
	Timeout time.Duration
	// HeadTimeout is the maximum wait for the head of a response before the next
	// instance is tried. It should exceed the timeouts of the routes.
	// Default 5 s; a negative value waits until the deadline.
	HeadTimeout time.Duration
	// AvoidFor is the time for which an instance that failed is tried last.
	// Default 2 s; a negative value keeps the order of the list.
	AvoidFor time.Duration
	// MaxAttempts limits the attempts of one request. Default 0: only the deadline
	// limits them.
	MaxAttempts int
	// MaxResponseBytes limits the body of a response. Default 64 MiB.
	MaxResponseBytes int64
	// ReturnLater makes the client return refusals that advise a later repeat,
	// instead of waiting and repeating. Default false.
	ReturnLater bool
	// Accept reports whether an address of the list may be used. Default: all may.
	Accept func(address string) bool
	// OnAttempt is called before each attempt, possibly concurrently.
	OnAttempt func(Attempt)
	// Random returns numbers in [0, 1) for the jitter; it must be safe for
	// concurrent use. Default that of math/rand/v2.
	Random func() float64
}

// Attempt describes an attempt that is about to be made.
type Attempt struct {
	// Entry is the base URL of the instance.
	Entry string
	// Previous is the error kind of the previous attempt; empty for the first one.
	Previous string
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.HeadTimeout, DefaultHeadTimeout)
	setDefault(&o.AvoidFor, DefaultAvoidFor)
	setDefault(&o.MaxResponseBytes, int64(DefaultMaxResponseBytes))
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Transport: newTransport()}
	}
	if o.Accept == nil {
		o.Accept = func(string) bool { return true }
	}
	if o.OnAttempt == nil {
		o.OnAttempt = func(Attempt) {}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

func setDefault[T ~int64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

func (o Options) check() error {
	if len(o.Entries) == 0 {
		return errors.New("no entry instance is configured")
	}
	for _, entry := range o.Entries {
		parsed, err := url.Parse(entry)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return errors.Newf("%q is not a URL such as \"http://10.0.0.1:8080\"", entry)
		}
	}
	return nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: connectTimeout,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}
