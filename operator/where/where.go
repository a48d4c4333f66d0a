package where

// Path is the path of the question at the metrics address of an instance.
const Path = "/where"

// The parameters of the question.
const (
	ParamHost     = "host"
	ParamPath     = "path"
	ParamMethod   = "method"
	ParamObject   = "object"
	ParamCustomer = "customer"
	ParamAttempt  = "attempt"
)

// Answer is what an instance would do with a request now, as it knows the system.
type Answer struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// ConfigVersion is 0 when the instance has no configuration.
	ConfigVersion uint64 `json:"config_version"`
	// Leaving is set when the instance is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Refusal is the kind of the first refusal that the request would get; empty when it would
	// be sent.
	Refusal string `json:"refusal,omitempty"`
	// Upstream is the one to which the request would be sent first.
	Upstream string  `json:"upstream,omitempty"`
	Route    *Route  `json:"route,omitempty"`
	Customer string  `json:"customer,omitempty"`
	Rate     *Rate   `json:"rate,omitempty"`
	Service  string  `json:"service,omitempty"`
	Split    []Share `json:"split,omitempty"`
	// PriorityFraction is the fraction of the requests of this priority that the service takes now;
	// absent where all requests of the service have one priority.
	PriorityFraction *float64 `json:"priority_fraction,omitempty"`
	// Order is what the order of the candidates follows: the object, or the id of the attempt.
	Order string `json:"order,omitempty"`
	// Choices holds the choice of an upstream, and before it the choice in the new version of a
	// roll-out that has no room.
	Choices []Choice `json:"choices,omitempty"`
}

// Route is the route of a request.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	Prefix     string `json:"prefix"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	// Priority is that of the request; 0 is the most urgent.
	Priority      int   `json:"priority"`
	TimeoutMillis int64 `json:"timeout_ms"`
}

// Rate is what the customer has left at this instance.
type Rate struct {
	// PerSecond and Burst are the customer's in the whole fleet, HerePerSecond and HereBurst
	// the part of this instance.
	PerSecond     float64 `json:"per_second"`
	Burst         int     `json:"burst"`
	HerePerSecond float64 `json:"here_per_second"`
	HereBurst     int     `json:"here_burst"`
	Tokens        float64 `json:"tokens"`
	// Waiting is the number of requests that wait for a token of another instance.
	Waiting int `json:"waiting"`
	// MayWait is set when there is no token and the request would wait for one before it is
	// refused.
	MayWait bool `json:"may_wait,omitempty"`
}

// Share is one service of a split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Choice is one choice among the upstreams of a service.
type Choice struct {
	// Version is that of a roll-out, Phase its phase; empty when there is none. New is set when
	// the choice is among the upstreams of that version, and NewShare is the share of the
	// route's requests that are, while the phase is canary.
	Version  string  `json:"version,omitempty"`
	Phase    string  `json:"phase,omitempty"`
	New      bool    `json:"new,omitempty"`
	NewShare float64 `json:"new_share,omitempty"`
	// EjectionsIgnored is set when so many upstreams are ejected that they are used.
	EjectionsIgnored bool `json:"ejections_ignored,omitempty"`
	// Candidates are all upstreams of the service, the preferred ones first.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is one upstream.
type Candidate struct {
	Upstream      string `json:"upstream"`
	Reason        string `json:"reason"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Version       string `json:"version,omitempty"`
	Slots         int    `json:"slots"`
	// InFlight counts the requests of this instance, Load estimates those of all instances.
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	// LoadAgeMillis is the age of the upstream's last report; -1 when there is none.
	LoadAgeMillis int64 `json:"load_age_ms"`
	// ForMillis is how long an ejection or a pause lasts.
	ForMillis int64 `json:"for_ms,omitempty"`
}
