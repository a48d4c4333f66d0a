// Package routing compiles a published configuration into an immutable table
// and looks up routes, keys and customers in it.
//
// A table is built once for each configuration version and swapped whole, so
// that a request sees one version from start to end. Look-ups take no lock and
// allocate nothing. The most specific route wins: a route with a host before
// one without, then the longer path prefix, then a route with methods before
// one without, then the name.
package routing
