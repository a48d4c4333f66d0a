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
	DefaultTimeout        = 10 * time.Second
	DefaultHeadTimeout    = 5 * time.Second
	DefaultAvoidFor       = 2 * time.Second
	DefaultMaxAnswerBytes = 64 << 20

	connectTimeout = 2 * time.Second
	// idleConnections bounds the idle connections to one instance.
	idleConnections = 256
)

// Options are the settings of a client.
type Options struct {
	// Entries are base URLs of entry instances, as "http://10.0.0.1:8080". Any
	// of them may answer the first question for the list. At least one.
	Entries []string
	// Key is sent as "Authorization: Bearer". Empty sends none.
	Key string
	// HTTPClient sends the requests. Its redirect policy is not used, so that
	// the key never goes elsewhere. Default: one without proxies.
	HTTPClient *http.Client
	// Timeout is the deadline of requests whose context has none. Default 10 s.
	Timeout time.Duration
	// HeadTimeout is the wait for the head of an answer before the next
	// instance is tried. It should exceed the timeouts of the routes.
	// Default 5 s; negative waits until the deadline.
	HeadTimeout time.Duration
	// AvoidFor is the time for which an instance that failed is tried last.
	// Default 2 s; negative keeps the order of the list.
	AvoidFor time.Duration
	// MaxAttempts bounds the attempts of one request. Default 0, no bound but
	// the deadline.
	MaxAttempts int
	// MaxAnswerBytes bounds the body of an answer. Default 64 MiB.
	MaxAnswerBytes int64
	// ReturnLater returns refusals that advise a later repeat instead of
	// waiting. Default false.
	ReturnLater bool
	// Accept says whether an address of the list may be used. Default all.
	Accept func(address string) bool
	// OnAttempt is called before each attempt, also concurrently.
	OnAttempt func(Attempt)
	// Random returns numbers in [0, 1) for the jitter; it must be safe for
	// concurrent use. Default that of math/rand/v2.
	Random func() float64
}

// Attempt describes an attempt that is about to be made.
type Attempt struct {
	// Entry is the base URL of the instance.
	Entry string
	// Previous is the kind with which the attempt before it ended; empty for
	// the first one.
	Previous string
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.HeadTimeout, DefaultHeadTimeout)
	setDefault(&o.AvoidFor, DefaultAvoidFor)
	setDefault(&o.MaxAnswerBytes, int64(DefaultMaxAnswerBytes))
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

func setDefault[T ~int64](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

func (o Options) check() error {
	if len(o.Entries) == 0 {
		return errors.New("no entry instance is given")
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
