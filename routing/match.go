package routing

import (
	"slices"
	"strings"
)

// Match returns the most specific route for the request, or false when there is
// none. The host may have a port and is compared case-insensitively.
func (t *Table) Match(host, path, method string) (*Route, bool) {
	if len(t.routesByHost) > 0 {
		if r := matchRoute(t.routesByHost[canonicalHost(host)], path, method); r != nil {
			return r, true
		}
	}
	r := matchRoute(t.routesForAnyHost, path, method)
	return r, r != nil
}

// Key returns the key with the hash, or false when there is none.
func (t *Table) Key(hash KeyHash) (*Key, bool) {
	k, ok := t.keys[hash]
	return k, ok
}

// Customer returns the customer with the name, or nil when there is none.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// Service returns the service with the name, or nil when there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Route returns the route with the name, or nil when there is none.
func (t *Table) Route(name string) *Route { return t.routesByName[name] }

// matchRoute returns the first route that matches, or nil.
func matchRoute(routes []*Route, path, method string) *Route {
	for _, r := range routes {
		if matchPath(r, path) && matchMethod(r.Methods, method) {
			return r
		}
	}
	return nil
}

// matchPath reports whether the path continues the prefix of the route with a
// slash or, unless the route has RequireTrailingSlash, is equal to the prefix.
func matchPath(r *Route, path string) bool {
	prefix := r.PathPrefix
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if len(path) == len(prefix) {
		return !r.RequireTrailingSlash
	}
	return path[len(prefix)] == '/'
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
