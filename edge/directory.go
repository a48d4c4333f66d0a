package edge

import (
	"net/http"

	"go.uber.org/zap"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform/headers"
)

// directory serves the list of entry instances that callers should use.
type directory struct {
	deps *dependencies
}

// ServeHTTP responds with the nearest instances that are alive and not leaving.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	region, domain := headers.DirectoryQuery(r)
	v := d.deps.views.load()
	addresses, scope := nearest(v, region, domain)
	d.deps.metrics.Counter("ferry_directory_responses_total", "scope", scope.String()).Inc()
	if scope == scopeAnywhere {
		d.deps.log.Info("directory names instances of other regions",
			zap.String("region", region),
			zap.String("failure_domain", domain),
			zap.Int("named", len(addresses)),
			zap.Int("known", len(v.peers.All)),
		)
	}
	err := headers.WriteDirectory(w, addresses, d.deps.bounds.Load().ListTTL)
	if err != nil {
		d.deps.log.Debug("directory response could not be written", zap.Error(err))
	}
}

// directoryScope is the area from which a directory response names instances.
type directoryScope uint8

const (
	// scopeDomain is the caller's failure domain.
	scopeDomain directoryScope = iota
	// scopeRegion is the caller's region.
	scopeRegion
	// scopeAnywhere is all regions.
	scopeAnywhere
)

// String returns the name of the scope in metrics.
func (s directoryScope) String() string { return [...]string{"domain", "region", "anywhere"}[s] }

// nearest returns the addresses of the usable instances in the failure domain, or else
// in the region, or else everywhere. The list is never empty: when no instance is
// usable it holds this instance.
func nearest(v *view, region, domain string) ([]string, directoryScope) {
	var inDomain, inRegion, all []string
	add := func(p *membership.Peer) {
		all = append(all, p.Address)
		if p.Region == region {
			inRegion = append(inRegion, p.Address)
		}
		if p.FailureDomain == domain {
			inDomain = append(inDomain, p.Address)
		}
	}
	if !v.leaving {
		add(&v.peers.Self)
	}
	for _, p := range v.peers.All {
		if p.Usable() {
			add(p)
		}
	}
	for scope, list := range [][]string{scopeDomain: inDomain, scopeRegion: inRegion, scopeAnywhere: all} {
		if len(list) > 0 {
			return list, directoryScope(scope)
		}
	}
	return []string{v.peers.Self.Address}, scopeAnywhere
}

// ready serves the readiness check.
type ready struct {
	deps *dependencies
}

// ServeHTTP responds with status 200 while the instance has a configuration and is not
// leaving, otherwise with 503.
func (s *ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v := s.deps.views.load()
	if v.table == nil || s.deps.stopping.begun() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
