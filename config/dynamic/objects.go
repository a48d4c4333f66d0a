package dynamic

import (
	"samphireferry.example/ferry/units"
)

// Set holds all objects of the operators.
type Set struct {
	Regions        []Region        `json:"regions,omitempty"`
	FailureDomains []FailureDomain `json:"failure_domains,omitempty"`
	Links          []Link          `json:"links,omitempty"`
	Customers      []Customer      `json:"customers,omitempty"`
	Keys           []Key           `json:"keys,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Versions       []Version       `json:"versions,omitempty"`
	Upstreams      []Upstream      `json:"upstreams,omitempty"`
	Routes         []Route         `json:"routes,omitempty"`
	ClientBlocks   []ClientBlock   `json:"client_blocks,omitempty"`
	Drains         []Drain         `json:"drains,omitempty"`
	Moves          []Move          `json:"moves,omitempty"`
	Rollouts       []Rollout       `json:"rollouts,omitempty"`
	// Limits bounds what callers may send. Nil leaves the bounds to the settings.
	Limits *CallerLimits `json:"limits,omitempty"`
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	// MaxHeader and MaxBody are the largest header and body of a request.
	MaxHeader units.Size `json:"max_header"`
	MaxBody   units.Size `json:"max_body"`
	// HeaderTimeout bounds the time to send a request header.
	HeaderTimeout units.Duration `json:"header_timeout"`
	// IdleTimeout bounds how long an unused connection stays open.
	IdleTimeout units.Duration `json:"idle_timeout"`
}

// Region is a group of failure domains that are near each other.
type Region struct {
	Name string `json:"name"`
}

// FailureDomain is a part of a region that can fail or be cut off by itself.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Link is the connection between two regions, in both directions.
type Link struct {
	Name string `json:"name"`
	// Between names the two regions.
	Between [2]string `json:"between"`
	// Bandwidth is the capacity of each direction.
	Bandwidth units.Bandwidth `json:"bandwidth"`
	// Share is the share of the bandwidth that requests may use. Default "50%".
	Share units.Share `json:"share,omitempty"`
	// Latency is the one-way delay. Default "0s".
	Latency units.Duration `json:"latency,omitempty"`
}

// Customer is one organisation with a rate of its own.
type Customer struct {
	Name string `json:"name"`
	// Rate is the sustained number of requests per second across all entry
	// instances.
	Rate units.Rate `json:"rate"`
	// Burst is the number of requests that may arrive at once.
	Burst int `json:"burst"`
	// Weight is the customer's relative share of an overloaded service. Default 1.
	Weight int `json:"weight,omitempty"`
	// Left marks a customer that has left the group. Its keys remain valid on open
	// routes and on the routes that name it in Customers; no new key may be added
	// for it.
	Left bool `json:"left,omitempty"`
	// Priority overrides that of the route for the requests of this customer; 0 is
	// the most urgent.
	Priority *int `json:"priority,omitempty"`
	// HomeRegions are the only regions that may serve the customer. Empty
	// allows all.
	HomeRegions []string `json:"home_regions,omitempty"`
}

// Key is the credential of a customer. Only its SHA-256 is kept.
type Key struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// SHA256 is the hash of the key as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Withdrawn invalidates the key at once.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Service is a program that runs on upstreams.
type Service struct {
	Name string `json:"name"`
	// StableVersion is the version that serves requests outside a roll-out.
	// Required when the service has several versions and no roll-out. Default:
	// the From version of its roll-out, or the only version.
	StableVersion string `json:"stable_version,omitempty"`
	// Deferrable marks work that yields to other services under overload.
	Deferrable bool `json:"deferrable,omitempty"`
	// EchoRequestID means that upstreams return the Ferry-Request-Id header.
	// A response without it, or with another value, is then discarded.
	EchoRequestID bool `json:"echo_request_id,omitempty"`
	// QueueTimeout bounds the wait for a free slot. Default "200ms".
	QueueTimeout units.Duration `json:"queue_timeout,omitempty"`
	// HealthPath is the path of the health endpoint. Default "/healthz".
	HealthPath string `json:"health_path,omitempty"`
	// LoadPath is the path of the load endpoint. Default "/load".
	LoadPath string `json:"load_path,omitempty"`
	// HealthInterval is the time between two health probes of an upstream.
	// Default "500ms".
	HealthInterval units.Duration `json:"health_interval,omitempty"`
	// Connections bounds the connections of all entry instances together to one
	// upstream. 0 means no limit.
	Connections int `json:"connections,omitempty"`
	// ColdRate is the number of requests per second, across all entry instances,
	// that an upstream with cold caches can serve. 0 means no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdFor is how long an upstream stays cold after its start or after a period
	// without requests.
	ColdFor units.Duration `json:"cold_for,omitempty"`
}

// Version is one version of the program of a service.
type Version struct {
	Name    string `json:"name"`
	Service string `json:"service"`
}

// Upstream is one back end that runs one version of one service.
type Upstream struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Version       string `json:"version"`
	FailureDomain string `json:"failure_domain"`
	// Address is the IP address and port, as "10.0.0.1:8080".
	Address string `json:"address"`
	// Slots is the number of requests that the upstream serves at once.
	Slots int `json:"slots"`
	// Connections is the largest number of connections to the upstream. Default 360.
	Connections int `json:"connections,omitempty"`
}

// RouteKind defines whether requests of a route may run more than once.
type RouteKind string

// The kinds of a route.
const (
	// Idempotent requests may be retried.
	Idempotent RouteKind = "idempotent"
	// AtMostOnce requests are sent to one upstream at most once.
	AtMostOnce RouteKind = "at_most_once"
)

// CutOffRule defines how a route treats keys while the failure domain of the entry
// instance is cut off from the store, so that withdrawals do not reach it.
type CutOffRule string

// The cut-off rules.
const (
	// CutOffServe accepts the keys that were valid before the failure domain was
	// cut off.
	CutOffServe CutOffRule = "serve"
	// CutOffRefuse refuses all keys once the failure domain has been cut off for
	// the route's CutOffAfter.
	CutOffRefuse CutOffRule = "refuse"
)

// WeightedService is one service of the split of a route, with its relative
// weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route sends requests to a service, or to several in fixed proportions.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	// Split replaces Service by several services.
	Split []WeightedService `json:"split,omitempty"`
	// Host matches the host of the request, without port. Empty matches all.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments: "/a" matches "/a" and "/a/b".
	PathPrefix string `json:"path_prefix"`
	// Methods limits the route to these methods. Empty matches all.
	Methods []string  `json:"methods,omitempty"`
	Kind    RouteKind `json:"kind"`
	// Open admits requests without a key, as the customer OpenCustomer.
	Open bool `json:"open,omitempty"`
	// OpenCustomer is the customer whose rate requests without a key count against.
	// Required on open routes.
	OpenCustomer string `json:"open_customer,omitempty"`
	// Customers limits the route to these customers. Empty admits all customers
	// except those that have left; an open route admits those as well.
	Customers []string `json:"customers,omitempty"`
	// KeyHeader names a header that carries the key in place of
	// "Authorization: Bearer".
	KeyHeader string `json:"key_header,omitempty"`
	// KeyQuery names a query parameter that carries the key.
	KeyQuery string `json:"key_query,omitempty"`
	// Timeout bounds the whole request. Default "10s".
	Timeout units.Duration `json:"timeout,omitempty"`
	// MaxBody bounds the request body. Default "16MiB".
	MaxBody units.Size `json:"max_body,omitempty"`
	// WhenCutOff is the rule for keys in a failure domain that is cut off.
	// Default "serve".
	WhenCutOff CutOffRule `json:"when_cut_off,omitempty"`
	// CutOffAfter is how long a failure domain must have been cut off before the rule
	// "refuse" applies. Default "30s".
	CutOffAfter units.Duration `json:"cut_off_after,omitempty"`
	// RequireTrailingSlash makes the slash at the end of PathPrefix significant:
	// "/a/" then does not match "/a".
	RequireTrailingSlash bool `json:"whole_prefix,omitempty"`
	// Attempts bounds the upstreams to which one request is sent. 0 means no
	// limit except the retry budget.
	Attempts int `json:"attempts,omitempty"`
	// TargetLatency is the time within which a response has its full value to the
	// caller.
	TargetLatency units.Duration `json:"target_latency,omitempty"`
	// Priority is the priority of the requests under overload; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Sticky means that an upstream responds faster when it has handled the same
	// object before.
	Sticky bool `json:"sticky,omitempty"`
	// HomeRegions are the only regions that may serve the route. Empty allows all.
	HomeRegions []string `json:"home_regions,omitempty"`
}

// ClientBlock maps a block of caller addresses to failure domains.
type ClientBlock struct {
	Name string `json:"name"`
	// Prefix is an IP prefix, as "192.0.2.0/24". The longest match applies.
	Prefix string `json:"prefix"`
	// FailureDomains are the preferred failure domains, best first.
	FailureDomains []string `json:"failure_domains"`
}

// Drain stops new work on one upstream or on a whole failure domain.
type Drain struct {
	Name string `json:"name"`
	// Upstream or FailureDomain is the name of what is drained; exactly one is set.
	Upstream      string `json:"upstream,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Move shifts the traffic of one service from one failure domain to another.
// It is taken back when it is not done by its deadline.
type Move struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Cap is the largest share of the source's traffic that is moved.
	Cap units.Share `json:"cap"`
	// Step is the increase of the share at each step. Default "10%".
	Step units.Share `json:"step,omitempty"`
	// StepInterval is the least time between two steps. Default "10s".
	StepInterval units.Duration `json:"step_interval,omitempty"`
	// Deadline bounds the whole move, counted from its first step.
	Deadline units.Duration `json:"deadline"`
}

// Rollout shifts the traffic of one service from one version to another.
// It is taken back when the new version is found worse or when it is not done by its
// deadline.
type Rollout struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// CanaryShare is the largest share of requests for the new version until it has
	// been compared on every route. Default "5%".
	CanaryShare units.Share `json:"canary_share,omitempty"`
	// Step is the increase of the share at each step. Default "20%".
	Step units.Share `json:"step,omitempty"`
	// StepInterval is the least time between two steps. Default "10s".
	StepInterval units.Duration `json:"step_interval,omitempty"`
	// Deadline bounds the whole roll-out, counted from its first step.
	Deadline units.Duration `json:"deadline"`
}
