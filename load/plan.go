package load

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"samphireferry.example/ferry/units"
)

const (
	// MaxDuration is the maximum duration of a run.
	MaxDuration = 10 * time.Minute
	// DefaultDuration is the duration of a plan that sets none.
	DefaultDuration = 10 * time.Second
	// MaxInFlight bounds the requests of one customer that are in flight.
	MaxInFlight = 4096
	// defaultTimeout is the timeout of one request with all its attempts.
	defaultTimeout = 10 * time.Second
)

// Plan describes which customers send which requests.
type Plan struct {
	// Entries are the base URLs of entry instances, such as "http://127.0.0.1:8080".
	// Any of them may serve the first request for the list of instances.
	Entries []string `json:"entries"`
	// Duration is the time during which requests start. Default "10s", at most "10m".
	Duration units.Duration `json:"duration,omitempty"`
	// Seed determines the random choice of requests and the gaps between them. Default 0.
	Seed uint64 `json:"seed,omitempty"`
	// AllowRemote allows addresses other than loopback.
	AllowRemote bool       `json:"allow_remote,omitempty"`
	Customers   []Customer `json:"customers"`
}

// Customer is a customer that sends requests.
type Customer struct {
	Name string `json:"name"`
	// Key is the API key, sent as "Authorization: Bearer". Empty sends none.
	Key string `json:"key,omitempty"`
	// Rate is the number of requests that start per second.
	Rate units.Rate `json:"rate"`
	// Poisson makes the gaps exponentially distributed, with the same mean. Default equal
	// gaps.
	Poisson bool `json:"poisson,omitempty"`
	// Entries override those of the plan.
	Entries  []string  `json:"entries,omitempty"`
	Requests []Request `json:"requests"`
}

// Request is one kind of request of a customer.
type Request struct {
	// Method is the HTTP method. Default "GET".
	Method string `json:"method,omitempty"`
	Path   string `json:"path"`
	// Host overrides the Host header.
	Host string `json:"host,omitempty"`
	Body string `json:"body,omitempty"`
	// AtMostOnce sends an idempotency key.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Weight is the relative frequency. Default 1.
	Weight int `json:"weight,omitempty"`
	// Timeout bounds the request with its retries, from its intended start. Default "10s".
	Timeout units.Duration `json:"timeout,omitempty"`
}

// ParsePlan parses a plan in JSON with comments and rejects unknown fields. It does not
// check the values; see Plan.Check.
func ParsePlan(data []byte) (*Plan, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	var p Plan
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	return &p, nil
}

// Check applies defaults and returns the first validation error of the plan.
func (p *Plan) Check() error {
	if p.Duration == 0 {
		p.Duration = units.Duration(DefaultDuration)
	}
	if p.Duration < 0 || p.Duration.Std() > MaxDuration {
		return errors.Newf("duration %s is not between 0 and %s", p.Duration.Std(), MaxDuration)
	}
	if len(p.Customers) == 0 {
		return errors.New("the plan has no customers")
	}
	for i := range p.Customers {
		if err := p.checkCustomer(&p.Customers[i]); err != nil {
			return errors.Wrapf(err, "customer %q", p.Customers[i].Name)
		}
	}
	return nil
}

func (p *Plan) checkCustomer(c *Customer) error {
	if len(c.Entries) == 0 {
		c.Entries = p.Entries
	}
	if len(c.Entries) == 0 {
		return errors.New("no entry instance is given")
	}
	for _, entry := range c.Entries {
		if err := p.checkEntry(entry); err != nil {
			return err
		}
	}
	if c.Rate <= 0 {
		return errors.New("the rate is not above 0")
	}
	if len(c.Requests) == 0 {
		return errors.New("the customer has no requests")
	}
	for i := range c.Requests {
		if err := checkRequest(&c.Requests[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkEntry(entry string) error {
	parsed, err := url.Parse(entry)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return errors.Newf("%q is not a URL such as \"http://127.0.0.1:8080\"", entry)
	}
	if !p.AllowRemote && !isLoopback(parsed.Host) {
		return errors.Newf("%q is not a loopback address; remote addresses must be allowed explicitly", entry)
	}
	return nil
}

func checkRequest(r *Request) error {
	if r.Path == "" || r.Path[0] != '/' {
		return errors.Newf("path %q does not start with /", r.Path)
	}
	if r.Method == "" {
		r.Method = "GET"
	}
	if r.Weight == 0 {
		r.Weight = 1
	}
	if r.Weight < 0 {
		return errors.New("a weight is negative")
	}
	if r.Timeout == 0 {
		r.Timeout = units.Duration(defaultTimeout)
	}
	return nil
}

// isLoopback reports whether the host, an IP address and port, has a loopback address.
func isLoopback(host string) bool {
	address, err := netip.ParseAddrPort(host)
	return err == nil && address.Addr().IsLoopback()
}
