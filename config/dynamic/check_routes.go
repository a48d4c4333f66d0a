package dynamic

import (
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strings"

	"github.com/samber/lo"
	"golang.org/x/net/http/httpguts"
)

func (c *checker) checkRoutes() {
	left := map[string]bool{}
	for _, customer := range c.set.Customers {
		left[customer.Name] = customer.Left
	}
	for i, route := range c.set.Routes {
		o := c.forObject(KindRoute, i, route.Name)
		o.checkTarget(route)
		o.checkMatch(route)
		o.checkRouteKind(route)
		o.checkAccess(route, left)
		o.checkKeyLocation(route)
		o.checkCutOff(route)
		o.require(route.Attempts >= 0, "attempts", "must not be negative")
		o.require(route.Priority >= 0, "priority", "must not be negative")
		o.checkDuplicateMatch(route, c.set.Routes[:i])
	}
}

// checkTarget checks the service of a route, or the services of its split.
func (o objectChecker) checkTarget(route Route) {
	if len(route.Split) == 0 {
		o.requireObject("service", KindService, route.Service)
		return
	}
	o.require(route.Service == "", "service", "a route has a service or a split, not both")
	total := 0.0
	for _, weighted := range route.Split {
		o.requireObject("split", KindService, weighted.Service)
		o.require(weighted.Weight >= 0, "split", "the weight of %q is negative", weighted.Service)
		total += weighted.Weight
	}
	o.require(total > 0, "split", "all weights are 0")
}

func (o objectChecker) checkMatch(route Route) {
	o.require(validHost(route.Host), "host", "%q is not a host name or IP address without port", route.Host)
	prefix := route.PathPrefix
	switch {
	case prefix == "":
		o.addError("path_prefix", "missing")
	case !strings.HasPrefix(prefix, "/"):
		o.addError("path_prefix", "%q does not start with \"/\"", prefix)
	case strings.ContainsAny(prefix, "?#%* \\") || trimTrailingSlash(prefix) != trimTrailingSlash(path.Clean(prefix)):
		o.addError("path_prefix", "%q is not a plain path", prefix)
	}
	for _, method := range lo.Uniq(route.Methods) {
		valid := httpguts.ValidHeaderFieldName(method) && method == strings.ToUpper(method)
		o.require(valid && method != http.MethodConnect, "methods", "%q cannot be the method of a request", method)
	}
	for _, method := range lo.FindDuplicates(route.Methods) {
		o.addError("methods", "%q appears twice", method)
	}
}

func trimTrailingSlash(prefix string) string { return strings.TrimSuffix(prefix, "/") }

// validHost reports whether the host is empty, an IP address, or a host name without
// port.
func validHost(host string) bool {
	if host == "" {
		return true
	}
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return true
	}
	return !strings.ContainsAny(host, ":/@?#*% ") && httpguts.ValidHostHeader(host)
}

func (o objectChecker) checkRouteKind(route Route) {
	switch route.Kind {
	case Idempotent:
	case AtMostOnce:
		o.require(!route.Open, "open", "a route of kind at_most_once needs the caller's key to tell repeats apart, so it cannot be open")
	case "":
		o.addError("kind", "missing; write \"idempotent\" or \"at_most_once\"")
	default:
		o.addError("kind", "%q is neither \"idempotent\" nor \"at_most_once\"", route.Kind)
	}
}

func (o objectChecker) checkAccess(route Route, left map[string]bool) {
	o.requireObjects("customers", KindCustomer, route.Customers)
	if !route.Open {
		o.require(route.OpenCustomer == "", "open_customer", "the route is not open")
		return
	}
	o.require(len(route.Customers) == 0, "customers", "an open route cannot be limited to customers")
	if o.requireObject("open_customer", KindCustomer, route.OpenCustomer) {
		o.require(!left[route.OpenCustomer], "open_customer", "customer %q has left", route.OpenCustomer)
	}
}

// reservedHeaders cannot carry a key: they are hop-by-hop, frame the message,
// or have another meaning here. Fields that start with "Ferry-" are reserved
// too.
var reservedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Content-Type", "Content-Encoding", "Host", "Expect", "Idempotency-Key",
}

// checkKeyLocation checks the header and the query parameter that carry the key.
func (o objectChecker) checkKeyLocation(route Route) {
	header := http.CanonicalHeaderKey(route.KeyHeader)
	switch {
	case header == "":
	case !httpguts.ValidHeaderFieldName(header):
		o.addError("key_header", "%q is not a header name", route.KeyHeader)
	case slices.Contains(reservedHeaders, header) || strings.HasPrefix(header, "Ferry-"):
		o.addError("key_header", "%q is reserved and cannot carry a key", route.KeyHeader)
	}
	plain := !strings.ContainsFunc(route.KeyQuery, func(r rune) bool {
		return r <= ' ' || r > '~' || strings.ContainsRune("&=#%+;?", r)
	})
	o.require(plain, "key_query", "%q is not the plain name of a query parameter", route.KeyQuery)
}

func (o objectChecker) checkCutOff(route Route) {
	switch route.WhenCutOff {
	case "", CutOffServe:
		o.require(route.CutOffAfter == 0, "cut_off_after", "has no effect without when_cut_off \"refuse\"")
	case CutOffRefuse:
	default:
		o.addError("when_cut_off", "%q is neither \"serve\" nor \"refuse\"", route.WhenCutOff)
	}
}

// checkDuplicateMatch rejects a route that matches the same requests as an earlier
// one.
func (o objectChecker) checkDuplicateMatch(route Route, earlier []Route) {
	for _, other := range earlier {
		same := strings.EqualFold(route.Host, other.Host) && trimTrailingSlash(route.PathPrefix) == trimTrailingSlash(other.PathPrefix)
		if same && methodsOverlap(route.Methods, other.Methods) {
			o.addError("path_prefix", "route %q matches the same host, path and method", other.Name)
			return
		}
	}
}

// methodsOverlap reports whether two routes that differ only in their methods are
// ambiguous for some request. A list is more specific than no list.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return len(lo.Intersect(a, b)) > 0
}
