package dynamic

import (
	"slices"

	"github.com/samber/lo"
)

// Kind is the kind of an object: the JSON name of the list that holds it in a Set.
type Kind string

// The kinds of objects.
const (
	KindRegion        Kind = "regions"
	KindFailureDomain Kind = "failure_domains"
	KindLink          Kind = "links"
	KindCustomer      Kind = "customers"
	KindKey           Kind = "keys"
	KindService       Kind = "services"
	KindVersion       Kind = "versions"
	KindUpstream      Kind = "upstreams"
	KindRoute         Kind = "routes"
	KindClientBlock   Kind = "client_blocks"
	KindDrain         Kind = "drains"
	KindMove          Kind = "moves"
	KindRollout       Kind = "rollouts"
)

// Object is one object of a Set.
type Object struct {
	Kind Kind `json:"kind"`
	// Index is the index of the object in its list.
	Index int `json:"-"`
	// Name is unique among the objects of the kind. A version is named
	// "service/version", since two services may have versions of one name.
	Name string `json:"name"`
	// Value is the object itself, such as a Customer.
	Value any `json:"value"`
}

// kindInfo describes one kind: how to parse its list and how to read it from a set.
type kindInfo struct {
	kind    Kind
	parse   listParser
	objects func(s *Set) []Object
}

var kinds = []kindInfo{
	newKind(KindRegion, func(s *Set) *[]Region { return &s.Regions }, func(o Region) string { return o.Name }),
	newKind(KindFailureDomain, func(s *Set) *[]FailureDomain { return &s.FailureDomains }, func(o FailureDomain) string { return o.Name }),
	newKind(KindLink, func(s *Set) *[]Link { return &s.Links }, func(o Link) string { return o.Name }),
	newKind(KindCustomer, func(s *Set) *[]Customer { return &s.Customers }, func(o Customer) string { return o.Name }),
	newKind(KindKey, func(s *Set) *[]Key { return &s.Keys }, func(o Key) string { return o.Name }),
	newKind(KindService, func(s *Set) *[]Service { return &s.Services }, func(o Service) string { return o.Name }),
	newKind(KindVersion, func(s *Set) *[]Version { return &s.Versions }, versionName),
	newKind(KindUpstream, func(s *Set) *[]Upstream { return &s.Upstreams }, func(o Upstream) string { return o.Name }),
	newKind(KindRoute, func(s *Set) *[]Route { return &s.Routes }, func(o Route) string { return o.Name }),
	newKind(KindClientBlock, func(s *Set) *[]ClientBlock { return &s.ClientBlocks }, func(o ClientBlock) string { return o.Name }),
	newKind(KindDrain, func(s *Set) *[]Drain { return &s.Drains }, func(o Drain) string { return o.Name }),
	newKind(KindMove, func(s *Set) *[]Move { return &s.Moves }, func(o Move) string { return o.Name }),
	newKind(KindRollout, func(s *Set) *[]Rollout { return &s.Rollouts }, func(o Rollout) string { return o.Name }),
}

// newKind returns the kindInfo of a kind: list returns its list in a set, and name
// the name of an object.
func newKind[T any](kind Kind, list func(*Set) *[]T, name func(T) string) kindInfo {
	return kindInfo{
		kind:  kind,
		parse: parseList(kind, list),
		objects: func(s *Set) []Object {
			return lo.Map(*list(s), func(value T, i int) Object {
				return Object{Kind: kind, Index: i, Name: name(value), Value: value}
			})
		},
	}
}

// versionName returns the name of a version as an object, "service/version".
func versionName(v Version) string {
	if v.Name == "" {
		return ""
	}
	return v.Service + "/" + v.Name
}

// Kinds returns every kind of object, in the order of the fields of Set.
func Kinds() []Kind {
	return lo.Map(kinds, func(k kindInfo, _ int) Kind { return k.kind })
}

// Objects returns the objects of the kind in the order of the set, or nil when
// there is no such kind.
func (s *Set) Objects(kind Kind) []Object {
	i := slices.IndexFunc(kinds, func(k kindInfo) bool { return k.kind == kind })
	if i < 0 {
		return nil
	}
	return kinds[i].objects(s)
}

// parserFor returns the parser of the list with the name, which is that of a kind.
func parserFor(name string) (listParser, bool) {
	i := slices.IndexFunc(kinds, func(k kindInfo) bool { return string(k.kind) == name })
	if i < 0 {
		return nil, false
	}
	return kinds[i].parse, true
}
