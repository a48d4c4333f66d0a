package routing

import (
	"slices"
	"strings"
)

// Match returns the most specific route for the request. The host may have a
// port and is compared without regard to case.
func (t *Table) Match(host, path, method string) (*Route, bool) {
	if len(t.byHost) > 0 {
		if r := matchRoute(t.byHost[canonicalHost(host)], path, method); r != nil {
			return r, true
		}
	}
	r := matchRoute(t.anyHost, path, method)
	return r, r != nil
}

// Key returns the key with the hash.
func (t *Table) Key(hash KeyHash) (*Key, bool) {
	k, ok := t.keys[hash]
	return k, ok
}

// Customer returns the customer with the name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Route returns the route with the name, or nil.
func (t *Table) Route(name string) *Route { return t.nameRoutes[name] }

func matchRoute(routes []*Route, path, method string) *Route {
	for _, r := range routes {
		if matchPath(r, path) && matchMethod(r.Methods, method) {
			return r
		}
	}
	return nil
}

func matchPath(r *Route, path string) bool {
	prefix := r.PathPrefix
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if len(path) == len(prefix) {
		return !r.WholePrefix
	}
	return path[len(prefix)] == '/'
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
