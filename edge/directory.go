package edge

import (
	"net/http"

	"go.uber.org/zap"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform/headers"
)

// directory tells callers which entry instances to use.
type directory struct {
	deps *dependencies
}

// ServeHTTP answers with the nearest instances that are alive and stay.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	region, domain := headers.DirectoryQuery(r)
	addresses := nearest(d.deps.views.load(), region, domain)
	err := headers.WriteDirectory(w, addresses, d.deps.bounds.Load().ListTTL)
	if err != nil {
		d.deps.log.Debug("directory answer was not delivered", zap.Error(err))
	}
}

// nearest returns the usable instances of the failure domain, else those of the
// region, else all. The list is never empty: without others it names this instance.
func nearest(v *view, region, domain string) []string {
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
	for _, list := range [][]string{inDomain, inRegion, all} {
		if len(list) > 0 {
			return list
		}
	}
	return []string{v.peers.Self.Address}
}

// ready answers whether the instance takes requests.
type ready struct {
	deps *dependencies
}

// ServeHTTP answers 200 while the instance has a configuration and stays.
func (s *ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v := s.deps.views.load()
	if v.table == nil || v.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
