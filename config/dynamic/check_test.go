package dynamic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/units"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	hashC = "cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc"
	// hashEmpty is the SHA-256 of no bytes.
	hashEmpty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
)

// validSet returns a set without validation errors that has objects of every kind.
func validSet() *Set {
	return &Set{
		Regions:        []Region{{Name: "east"}, {Name: "west"}},
		FailureDomains: []FailureDomain{{Name: "east-1", Region: "east"}, {Name: "west-1", Region: "west"}},
		Links:          []Link{{Name: "east-west", Between: [2]string{"east", "west"}, Bandwidth: 4e9}},
		Customers:      []Customer{{Name: "acme", Rate: 100, Burst: 50}, {Name: "gone", Rate: 10, Burst: 5, Left: true}},
		Keys:           []Key{{Name: "acme-1", Customer: "acme", SHA256: hashA}},
		Services:       []Service{{Name: "lookup"}, {Name: "ledger"}},
		Versions:       []Version{{Name: "v1", Service: "lookup"}, {Name: "v2", Service: "lookup"}, {Name: "l1", Service: "ledger"}},
		Upstreams: []Upstream{
			{Name: "u1", Service: "lookup", Version: "v1", FailureDomain: "east-1", Address: "10.0.0.1:80", Slots: 3},
			{Name: "u2", Service: "lookup", Version: "v2", FailureDomain: "west-1", Address: "10.0.0.2:80", Slots: 3},
		},
		Routes: []Route{
			{Name: "read", Service: "lookup", PathPrefix: "/lookup", Kind: Idempotent, Open: true, OpenCustomer: "acme"},
			{Name: "file", Service: "ledger", PathPrefix: "/ledger", Kind: AtMostOnce, Methods: []string{"POST"}},
		},
		ClientBlocks: []ClientBlock{{Name: "all", Prefix: "0.0.0.0/0", FailureDomains: []string{"east-1"}}},
		Drains:       []Drain{{Name: "d1", Upstream: "u1"}},
		Moves:        []Move{{Name: "m1", Service: "lookup", From: "east-1", To: "west-1", Cap: 0.5, Deadline: minutes(10)}},
		Rollouts:     []Rollout{{Name: "r1", Service: "lookup", From: "v1", To: "v2", Deadline: minutes(10)}},
	}
}

func minutes(n int) units.Duration { return units.Duration(time.Duration(n) * time.Minute) }

func TestCheckAcceptsValidSet(t *testing.T) {
	assert.NilError(t, Check(validSet()).Err())
	assert.NilError(t, CheckChange(validSet(), validSet()).Err())
	assert.NilError(t, Check(&Set{}).Err())
}

func TestCheckReportsOneErrorForEachMistake(t *testing.T) {
	for _, c := range []struct {
		change func(s *Set)
		want   string
	}{
		{func(s *Set) { s.Links[0].Name = "" }, `links #1: name: missing`},
		{func(s *Set) { s.Links[0].Name = "a b" }, `links a b: name: "a b" has other characters than letters, digits, '.', '_' and '-'`},
		{func(s *Set) { s.Drains[0].Name = strings.Repeat("d", 65) }, `drains ` + strings.Repeat("d", 65) + `: name: longer than 64 bytes`},
		{func(s *Set) { s.Regions = append(s.Regions, Region{Name: "east"}) }, `regions east: name: the name stands twice`},
		{func(s *Set) { s.Versions = append(s.Versions, Version{Name: "v1", Service: "lookup"}) }, `versions lookup/v1: name: the name stands twice`},
		{func(s *Set) { s.FailureDomains[1].Region = "north" }, `failure_domains west-1: region: no region "north"`},
		{func(s *Set) { s.FailureDomains[1].Region = "" }, `failure_domains west-1: region: missing`},
		{func(s *Set) { s.Links[0].Between[1] = "north" }, `links east-west: between: no region "north"`},
		{func(s *Set) { s.Links[0].Between[1] = "east" }, `links east-west: between: both ends are region "east"`},
		{func(s *Set) { s.Links[0].Bandwidth = 0 }, `links east-west: bandwidth: must be over 0`},
		{func(s *Set) {
			s.Links = append(s.Links, Link{Name: "again", Between: [2]string{"west", "east"}, Bandwidth: 1})
		}, `links again: between: link "east-west" already joins these regions`},
		{func(s *Set) { s.ClientBlocks[0].Prefix = "10.0.0.0" }, `client_blocks all: prefix: "10.0.0.0" is not an IP prefix such as "192.0.2.0/24"`},
		{func(s *Set) { s.ClientBlocks[0].Prefix = "10.0.0.1/8" }, `client_blocks all: prefix: "10.0.0.1/8" has bits after its length; write "10.0.0.0/8"`},
		{func(s *Set) { s.ClientBlocks[0].Prefix = "::ffff:10.0.0.0/104" }, `client_blocks all: prefix: "::ffff:10.0.0.0/104" is an IPv4 prefix written as IPv6`},
		{func(s *Set) { s.ClientBlocks[0].FailureDomains = nil }, `client_blocks all: failure_domains: missing`},
		{func(s *Set) { s.ClientBlocks[0].FailureDomains = []string{"east-1", "east-1"} }, `client_blocks all: failure_domains: "east-1" appears twice`},
		{func(s *Set) {
			s.ClientBlocks = append(s.ClientBlocks, ClientBlock{Name: "b", Prefix: "0.0.0.0/0", FailureDomains: []string{"east-1"}})
		}, `client_blocks b: prefix: 0.0.0.0/0 is already the prefix of "all"`},
		{func(s *Set) { s.Customers[0].Rate = 0 }, `customers acme: rate: must be over 0`},
		{func(s *Set) { s.Customers[0].Burst = 0 }, `customers acme: burst: must be at least 1`},
		{func(s *Set) { s.Customers[0].Burst = 2e9 }, `customers acme: burst: must be at most 1000000000`},
		{func(s *Set) { s.Customers[0].Weight = -1 }, `customers acme: weight: must not be negative`},
		{func(s *Set) { s.Keys[0].Customer = "nobody" }, `keys acme-1: customer: no customer "nobody"`},
		{func(s *Set) { s.Keys[0].SHA256 = "secret" }, `keys acme-1: sha256: not 64 hexadecimal digits`},
		{func(s *Set) { s.Keys[0].SHA256 = hashEmpty }, `keys acme-1: sha256: is the hash of an empty key`},
		{func(s *Set) {
			s.Keys = append(s.Keys, Key{Name: "acme-2", Customer: "acme", SHA256: strings.ToUpper(hashA)})
		}, `keys acme-2: sha256: key "acme-1" has the same hash`},
		{func(s *Set) { s.Services[0].StableVersion = "v9" }, `services lookup: stable_version: service "lookup" has no version "v9"`},
		{func(s *Set) { s.Services[0].StableVersion = "l1" }, `services lookup: stable_version: service "lookup" has no version "l1"`},
		{func(s *Set) { s.Rollouts = nil }, `services lookup: stable_version: missing; the service has 2 versions and no roll-out`},
		{func(s *Set) { s.Services[1].HealthPath = "healthz" }, `services ledger: health_path: "healthz" does not start with "/"`},
		{func(s *Set) { s.Versions = append(s.Versions, Version{Name: "v9", Service: "none"}) }, `versions none/v9: service: no service "none"`},
		{func(s *Set) { s.Upstreams[0].Version = "l1" }, `upstreams u1: version: service "lookup" has no version "l1"`},
		{func(s *Set) { s.Upstreams[0].FailureDomain = "" }, `upstreams u1: failure_domain: missing`},
		{func(s *Set) { s.Upstreams[0].Slots = 0 }, `upstreams u1: slots: must be at least 1`},
		{func(s *Set) { s.Upstreams[0].Connections = 2 }, `upstreams u1: connections: fewer than the 3 slots`},
		{func(s *Set) { s.Upstreams[0].Address = "host:80" }, `upstreams u1: address: "host:80" is not an IP address and port such as "10.0.0.1:8080"`},
		{func(s *Set) { s.Upstreams[0].Address = "0.0.0.0:80" }, `upstreams u1: address: "0.0.0.0:80" is not the address of one host`},
		{func(s *Set) { s.Upstreams[0].Address = "10.0.0.2:80" }, `upstreams u2: address: upstream "u1" has the same address`},
		{func(s *Set) { s.Routes[0].Service = "none" }, `routes read: service: no service "none"`},
		{func(s *Set) { s.Routes[0].Host = "a.example:80" }, `routes read: host: "a.example:80" is not a host name or IP address without port`},
		{func(s *Set) { s.Routes[0].PathPrefix = "lookup" }, `routes read: path_prefix: "lookup" does not start with "/"`},
		{func(s *Set) { s.Routes[0].PathPrefix = "/a/../b" }, `routes read: path_prefix: "/a/../b" is not a plain path`},
		{func(s *Set) { s.Routes[0].Methods = []string{"get"} }, `routes read: methods: "get" cannot be the method of a request`},
		{func(s *Set) { s.Routes[0].Methods = []string{"GET", "GET"} }, `routes read: methods: "GET" appears twice`},
		{func(s *Set) { s.Routes[0].Kind = "" }, `routes read: kind: missing; write "idempotent" or "at_most_once"`},
		{func(s *Set) { s.Routes[0].Kind = "twice" }, `routes read: kind: "twice" is neither "idempotent" nor "at_most_once"`},
		{func(s *Set) { s.Routes[0].Kind = AtMostOnce }, `routes read: open: a route of kind at_most_once needs the caller's key to tell repeats apart, so it cannot be open`},
		{func(s *Set) { s.Routes[0].OpenCustomer = "" }, `routes read: open_customer: missing`},
		{func(s *Set) { s.Routes[0].OpenCustomer = "gone" }, `routes read: open_customer: customer "gone" has left`},
		{func(s *Set) { s.Routes[0].Customers = []string{"acme"} }, `routes read: customers: an open route cannot be limited to customers`},
		{func(s *Set) { s.Routes[1].OpenCustomer = "acme" }, `routes file: open_customer: the route is not open`},
		{func(s *Set) { s.Routes[1].Customers = []string{"acme", "nobody"} }, `routes file: customers: no customer "nobody"`},
		{func(s *Set) { s.Routes[1].KeyHeader = "connection" }, `routes file: key_header: "connection" is reserved and cannot carry a key`},
		{func(s *Set) { s.Routes[1].KeyHeader = "ferry-key" }, `routes file: key_header: "ferry-key" is reserved and cannot carry a key`},
		{func(s *Set) { s.Routes[1].KeyHeader = "X Key" }, `routes file: key_header: "X Key" is not a header name`},
		{func(s *Set) { s.Routes[1].KeyQuery = "a&b" }, `routes file: key_query: "a&b" is not the plain name of a query parameter`},
		{func(s *Set) { s.Routes[1].WhenCutOff = "maybe" }, `routes file: when_cut_off: "maybe" is neither "serve" nor "refuse"`},
		{func(s *Set) { s.Routes[1].CutOffAfter = minutes(1) }, `routes file: cut_off_after: has no effect without when_cut_off "refuse"`},
		{func(s *Set) { s.Routes[1].PathPrefix, s.Routes[1].Methods = "/lookup/", nil }, `routes file: path_prefix: route "read" matches the same host, path and method`},
		{func(s *Set) { s.Drains[0].FailureDomain = "east-1" }, `drains d1: upstream: a drain names an upstream or a failure domain, not both`},
		{func(s *Set) { s.Drains[0].Upstream = "" }, `drains d1: upstream: a drain must name an upstream or a failure domain`},
		{func(s *Set) { s.Drains[0].Upstream = "u9" }, `drains d1: upstream: no upstream "u9"`},
		{func(s *Set) { s.Drains = append(s.Drains, Drain{Name: "d2", Upstream: "u1"}) }, `drains d2: name: drain "d1" already names the same target`},
		{func(s *Set) { s.Moves[0].To = "east-1" }, `moves m1: to: the move goes to the failure domain that it comes from`},
		{func(s *Set) { s.Moves[0].Service = "ledger" }, `moves m1: to: failure domain "west-1" has no upstream of service "ledger"`},
		{func(s *Set) { s.Drains[0] = Drain{Name: "d1", FailureDomain: "west-1"} }, `moves m1: to: failure domain "west-1" is drained by "d1"`},
		{func(s *Set) { s.Moves[0].Cap = 0 }, `moves m1: cap: must be over 0%`},
		{func(s *Set) { s.Moves[0].Deadline = 0 }, `moves m1: deadline: missing`},
		{func(s *Set) { s.Moves[0].Deadline = units.Duration(time.Second) }, `moves m1: deadline: 5 steps with 10s between them cannot be done in 1s`},
		{func(s *Set) {
			s.Moves = append(s.Moves, Move{Name: "m2", Service: "lookup", From: "east-1", To: "west-1", Cap: 0.1, Deadline: minutes(1)})
		}, `moves m2: service: move "m1" already shifts service "lookup"; remove it first`},
		{func(s *Set) { s.Rollouts[0].To = "v1" }, `rollouts r1: to: the roll-out goes to the version that it comes from`},
		{func(s *Set) { s.Rollouts[0].To = "v3" }, `rollouts r1: to: service "lookup" has no version "v3"`},
		{func(s *Set) { s.Upstreams[1].Version = "v1" }, `rollouts r1: to: no upstream of service "lookup" runs version "v2"`},
		{func(s *Set) { s.Rollouts[0].Deadline = units.Duration(30 * time.Second) }, `rollouts r1: deadline: 6 steps with 10s between them cannot be done in 30s`},
		{func(s *Set) { s.Rollouts[0].Step = 1e-300 }, `rollouts r1: deadline: 9.5e+299 steps with 10s between them cannot be done in 10m0s`},
		{func(s *Set) {
			s.Rollouts = append(s.Rollouts, Rollout{Name: "r2", Service: "lookup", From: "v1", To: "v2", Deadline: minutes(10)})
		}, `rollouts r2: service: roll-out "r1" already shifts service "lookup"; remove it first`},
		{func(s *Set) {
			for i := range 20_000 {
				s.Regions = append(s.Regions, Region{Name: fmt.Sprintf("%050d", i)})
			}
		}, `the set takes `},
	} {
		t.Run(c.want, func(t *testing.T) {
			set := validSet()
			c.change(set)
			errs := Check(set)
			assert.Equal(t, len(errs), 1, "%v", errs)
			assert.Assert(t, strings.HasPrefix(errs.Error(), c.want), "%v", errs)
		})
	}
}

func TestCheckChange(t *testing.T) {
	for _, c := range []struct {
		change func(s *Set)
		want   string
	}{
		{func(s *Set) { s.Keys = append(s.Keys, Key{Name: "new", Customer: "acme", SHA256: hashB}) }, ``},
		{func(s *Set) { s.Customers[0].Left = true }, ``},
		{func(s *Set) { s.Keys[0].Withdrawn = true }, ``},
		{func(s *Set) { s.Moves[0].Deadline = minutes(20) }, ``},
		{func(s *Set) { s.Keys = append(s.Keys, Key{Name: "new", Customer: "gone", SHA256: hashB}) }, `keys new: customer: customer "gone" has left; no new key may be added for it`},
		{func(s *Set) { s.Keys = append(s.Keys, Key{Name: "new", Customer: "acme", SHA256: hashC}) }, `keys new: withdrawn: the published key is withdrawn and cannot become valid again; add a new key instead`},
		{func(s *Set) { s.Moves[0].To = "east-1" }, `moves m1: name: the published move of this name has another service, source or target; use a new name`},
		{func(s *Set) { s.Rollouts[0].From = "v0" }, `rollouts r1: name: the published roll-out of this name has another service, source or target; use a new name`},
	} {
		t.Run(c.want, func(t *testing.T) {
			published := validSet()
			published.Keys = append(published.Keys, Key{Name: "old", Customer: "acme", SHA256: hashC, Withdrawn: true})
			set := validSet()
			c.change(set)
			assert.Equal(t, CheckChange(published, set).Error(), c.want)
			assert.Equal(t, CheckChange(nil, set).Error(), "")
		})
	}
}

func TestDiffListsChangedObjects(t *testing.T) {
	set := validSet()
	set.Customers[0].Rate = 200
	set.Customers[0].Weight = 2
	set.Keys = nil
	set.Versions = append(set.Versions, Version{Name: "l2", Service: "ledger"})
	var lines []string
	for _, change := range Diff(validSet(), set) {
		lines = append(lines, change.String())
	}
	assert.DeepEqual(t, lines, []string{
		"changed customers acme: rate, weight",
		"removed keys acme-1",
		"added versions ledger/l2",
	})
	assert.Equal(t, len(Diff(set, set)), 0)
}

func TestLargestEncodedSetFitsStore(t *testing.T) {
	assert.Assert(t, MaxEncodedBytes < platform.MaxValueBytes)
}
