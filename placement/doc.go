// Package placement chooses the upstream of each request.
//
// # Affinity
//
// An upstream that has handled an object lately answers faster. Requests for the
// same object therefore prefer the same upstream: the candidates are ordered by
// the rendezvous hash of the object and the upstream, within their distance
// (failure domain, region, elsewhere). All entry instances compute the same
// order, so no agreement is needed. When an upstream joins or leaves, only the
// objects that it had or gets change their upstream.
//
// # Load
//
// A request takes the first candidate in that order that has a free slot, by the
// number of requests that this instance has in flight there and by the load that
// the upstream last reported with an answer. Without a free slot anywhere it
// joins the shortest queue, as long as it can still be served in time; otherwise
// it is refused.
//
// # Health
//
// An upstream that fails several times in a row is ejected for a time that grows
// with each ejection. At least half of the candidates of a service stay in use,
// whatever they do. An upstream that refuses unrun is left out for a moment.
//
// The package does no I/O and takes the time as an argument.
package placement
