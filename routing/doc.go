// Package routing compiles a published configuration into an immutable table
// and looks up routes, keys and customers in it.
//
// A table is built once per configuration version and replaced as a whole, so
// that a request uses one version from start to end. Lookups take no lock and
// allocate nothing. The most specific route wins: a route with a host before one
// without, then the longer path prefix, then a route with methods before one
// without, then the name in ascending order.
package routing
