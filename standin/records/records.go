// Package records encodes the records that the operator and the upstreams write to the
// platform's store, for stand-ins and tests.
package records

import (
	"encoding/json"
	"fmt"
	"time"

	"samphireferry.example/ferry/platform/records"
)

// maxConnections is the number of connections that an upstream accepts. It is far
// more than any stand-in needs.
const maxConnections = 360

// object is a JSON object.
type object = map[string]any

// Upstream is the store entry of one upstream.
type Upstream struct {
	ID            string
	Address       string
	Service       string
	Version       string
	FailureDomain string
	Slots         int
	// Draining reports whether the upstream accepts no new requests.
	Draining bool
	// Started is the start time of the process; zero when unknown.
	Started time.Time
}

// Key returns the store key of the entry.
func (u Upstream) Key() string { return records.PrefixUpstreams + u.ID }

// Value returns the stored form of the entry.
func (u Upstream) Value() ([]byte, error) {
	state := "ready"
	if u.Draining {
		state = "draining"
	}
	born := int64(0)
	if !u.Started.IsZero() {
		born = u.Started.UnixMilli()
	}
	return json.Marshal(object{
		"addr": u.Address, "born": born,
		"info":   object{"service": u.Service, "version": u.Version, "zone": u.FailureDomain, "slots": u.Slots},
		"status": object{"state": state, "seq": 1, "cold_left_ms": 0},
	})
}

// Route is one route of a configuration.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Service    string
	AtMostOnce bool
	Timeout    time.Duration
	Attempts   int
	// HomeRegions are the only regions that may serve the route; empty allows all.
	HomeRegions []string
}

// Customer is one customer of a configuration.
type Customer struct {
	Name string
	Keys []string
	// Rate is in requests per second.
	Rate  float64
	Burst int
	// HomeRegions are the only regions that may serve the customer; empty allows all.
	HomeRegions []string
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  []string
	Customers []Customer
}

// Key returns the store key of the configuration.
func (c Configuration) Key() string { return records.KeyConfig }

// Value returns the stored form of the configuration.
func (c Configuration) Value() ([]byte, error) {
	var resources []object
	add := func(kind, name string, spec object) {
		resources = append(resources, object{"of_kind": kind, "meta": object{"name": name}, "spec": spec})
	}
	for _, r := range c.Routes {
		kind := "idempotent"
		if r.AtMostOnce {
			kind = "non_idempotent"
		}
		add("routes", r.Name, object{
			"host": r.Host, "prefix": r.Prefix, "kind": kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "attempts": r.Attempts, "home_regions": r.HomeRegions,
		})
	}
	for _, name := range c.Services {
		add("services", name, object{"health_path": "/health", "max_conns": maxConnections})
	}
	for _, customer := range c.Customers {
		add("tenants", customer.Name, object{
			"api_keys": customer.Keys, "rate_per_s": customer.Rate, "burst": customer.Burst, "home_regions": customer.HomeRegions,
		})
	}
	return json.Marshal(object{"version": fmt.Sprintf("%08x", c.Version), "resources": resources})
}
