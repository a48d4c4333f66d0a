package demo

import (
	"encoding/hex"
	"fmt"
	"time"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/units"
)

// Services and versions of the demonstration.
const (
	serviceLookup  = "lookup"
	serviceLedger  = "ledger"
	serviceArchive = "archive"
	firstVersion   = "v1"
	secondVersion  = "v2"
)

// Keys of the demonstration. They are not secret.
const (
	// KeyHighRate belongs to a customer with a high rate.
	KeyHighRate = "demo-key-laurier"
	// KeyLowRate belongs to a customer with a rate of 2 requests per second.
	KeyLowRate = "demo-key-petite"
)

// serviceSize is the number of upstreams of a service, and the slots and the
// service time of each.
type serviceSize struct {
	service     string
	upstreams   int
	slots       int
	serviceTime time.Duration
}

var serviceSizes = []serviceSize{
	{serviceLookup, 12, 9, 5 * time.Millisecond},
	{serviceLedger, 12, 6, 10 * time.Millisecond},
	{serviceArchive, 16, 3, 20 * time.Millisecond},
}

// baseSet returns the configuration objects of a demonstration without its
// upstreams.
func baseSet(domains []dynamic.FailureDomain) dynamic.Set {
	set := dynamic.Set{FailureDomains: domains}
	seen := map[string]bool{}
	for _, d := range domains {
		if !seen[d.Region] {
			seen[d.Region] = true
			set.Regions = append(set.Regions, dynamic.Region{Name: d.Region})
		}
	}
	set.Customers = []dynamic.Customer{
		{Name: "laurier", Rate: 500, Burst: 500, Weight: 4},
		{Name: "petite", Rate: 2, Burst: 4},
		{Name: "public", Rate: 50, Burst: 50},
	}
	set.Keys = []dynamic.Key{
		{Name: "laurier-1", Customer: "laurier", SHA256: hashOf(KeyHighRate)},
		{Name: "petite-1", Customer: "petite", SHA256: hashOf(KeyLowRate)},
	}
	set.Services = []dynamic.Service{
		{Name: serviceLookup, EchoRequestID: true},
		{Name: serviceLedger, EchoRequestID: true},
		{Name: serviceArchive, EchoRequestID: true, Deferrable: true},
	}
	for _, s := range set.Services {
		set.Versions = append(set.Versions, dynamic.Version{Name: firstVersion, Service: s.Name})
	}
	set.Routes = []dynamic.Route{
		{Name: "dossiers", Service: serviceLookup, PathPrefix: "/dossiers", Kind: dynamic.Idempotent},
		{Name: "notices", Service: serviceLookup, PathPrefix: "/notices", Kind: dynamic.Idempotent, Open: true, OpenCustomer: "public"},
		{Name: "filings", Service: serviceLedger, PathPrefix: "/filings", Kind: dynamic.AtMostOnce, Timeout: units.Duration(5 * time.Second)},
		{Name: "archive", Service: serviceArchive, PathPrefix: "/archive", Kind: dynamic.Idempotent},
	}
	return set
}

// hashOf returns the SHA-256 hash of a key in hexadecimal.
func hashOf(key string) string {
	hash := routing.HashKey(key)
	return hex.EncodeToString(hash[:])
}

// failureDomains returns the given number of regions with the given number of
// failure domains in each.
func failureDomains(regions, domains int) []dynamic.FailureDomain {
	names := []string{"east", "north", "west", "south"}
	var all []dynamic.FailureDomain
	for r := range regions {
		region := names[r%len(names)]
		if r >= len(names) {
			region = fmt.Sprintf("%s%d", region, r/len(names))
		}
		for d := range domains {
			all = append(all, dynamic.FailureDomain{Name: fmt.Sprintf("%s-%d", region, d+1), Region: region})
		}
	}
	return all
}
