package splitting

import "samphireferry.example/ferry/invariant"

// VersionShare requests a split of a service between two versions.
type VersionShare struct {
	// Name and Generation identify the roll-out; a change of either starts new counts.
	Name       string
	Generation uint64
	Service    string
	From       string
	To         string
	// Share is the share of the requests that goes to To, between 0 and 1.
	Share float64
	// Routes are the names of the routes of the service.
	Routes []string
}

// DomainShare requests a split of a service between two failure domains.
type DomainShare struct {
	// Name and Generation identify the move; a change of either starts new counts.
	Name       string
	Generation uint64
	Service    string
	From       string
	To         string
	// Share is the share of the requests of From that goes to To, between 0 and 1.
	Share float64
}

// VersionSplit splits the requests of one service between two versions.
type VersionSplit struct {
	Rollout string
	From    string
	To      string
	byRoute map[string]*Splitter
}

// Next chooses the version for one request of the route. An unknown route gets the old
// version.
func (v *VersionSplit) Next(route string) (version string, isNew bool) {
	s := v.byRoute[route]
	if s == nil || !s.Next() {
		return v.From, false
	}
	return v.To, true
}

// DomainSplit splits the requests of one service in one source failure domain.
type DomainSplit struct {
	Move     string
	To       string
	splitter *Splitter
}

type moveSource struct {
	service string
	domain  string
}

// Snapshot is an immutable set of splits for the goroutines that serve requests.
type Snapshot struct {
	versions map[string]*VersionSplit
	domains  map[moveSource][]*DomainSplit
}

// Version returns the version split of the service, or nil when it has none.
// A nil Snapshot has no splits.
func (s *Snapshot) Version(service string) *VersionSplit {
	if s == nil {
		return nil
	}
	return s.versions[service]
}

// Domain chooses the failure domain for one request of the service that would otherwise
// be served in the domain from. moved is true when a move sends it elsewhere.
func (s *Snapshot) Domain(service, from string) (domain string, moved bool) {
	if s == nil {
		return from, false
	}
	for _, split := range s.domains[moveSource{service, from}] {
		if split.splitter.Next() {
			return split.To, true
		}
	}
	return from, false
}

// IsDestination reports whether a move directs requests of the service from one
// failure domain to the other. Requests that were not chosen for the move must not go
// there for other reasons, or the share of the move is exceeded.
func (s *Snapshot) IsDestination(service, from, to string) bool {
	if s == nil {
		return false
	}
	for _, split := range s.domains[moveSource{service, from}] {
		if split.To == to {
			return true
		}
	}
	return false
}

type splitterKey struct {
	kind       string
	name       string
	generation uint64
	route      string
}

// Registry builds snapshots and carries the counts over from one to the next. It is not
// safe for concurrent use.
type Registry struct {
	checker   *invariant.Checker
	splitters map[splitterKey]*Splitter
}

// NewRegistry returns an empty registry. The checker may be nil.
func NewRegistry(checker *invariant.Checker) *Registry {
	return &Registry{checker: checker, splitters: map[splitterKey]*Splitter{}}
}

// Build returns a snapshot with the given splits. Their shares also take effect
// immediately in earlier snapshots; splits that are no longer requested get the share 0.
func (r *Registry) Build(versions []VersionShare, domains []DomainShare) *Snapshot {
	kept := map[splitterKey]*Splitter{}
	snapshot := &Snapshot{versions: map[string]*VersionSplit{}, domains: map[moveSource][]*DomainSplit{}}
	for _, v := range versions {
		split := &VersionSplit{Rollout: v.Name, From: v.From, To: v.To, byRoute: map[string]*Splitter{}}
		for _, route := range v.Routes {
			key := splitterKey{"version", v.Name, v.Generation, route}
			split.byRoute[route] = r.reuseOrCreate(kept, key, v.Share)
		}
		snapshot.versions[v.Service] = split
	}
	for _, d := range domains {
		key := splitterKey{"domain", d.Name, d.Generation, ""}
		from := moveSource{d.Service, d.From}
		split := &DomainSplit{Move: d.Name, To: d.To, splitter: r.reuseOrCreate(kept, key, d.Share)}
		snapshot.domains[from] = append(snapshot.domains[from], split)
	}
	r.retire(kept)
	return snapshot
}

func (r *Registry) reuseOrCreate(kept map[splitterKey]*Splitter, key splitterKey, share float64) *Splitter {
	s := r.splitters[key]
	if s == nil {
		s = NewSplitter(r.checker)
	}
	s.SetShare(share)
	kept[key] = s
	return s
}

func (r *Registry) retire(kept map[splitterKey]*Splitter) {
	for key, s := range r.splitters {
		if kept[key] == nil {
			s.SetShare(0)
		}
	}
	r.splitters = kept
}
