// Package placement chooses the upstream of each request.
//
// # Affinity
//
// An upstream that has handled an object lately answers faster. Requests for the
// same object therefore prefer the same upstream. First the object gets a region,
// by weighted rendezvous hashing over the shares of the regions; then an upstream
// of that region, by the rendezvous hash of both. All entry instances of a region
// compute the same order, so no agreement is needed. When an upstream joins or
// leaves, only the objects that it had or gets change their upstream.
//
// # Regions
//
// A region keeps the requests of its own callers while its slots are easily
// enough, or while it is no fuller than the others. What is over goes to the
// regions with room. The shares follow the demand by small steps, so that no
// traffic shifts suddenly.
//
// # Load
//
// A request waits in a short queue of the upstream that knows its object, since
// that costs less than the work of one that does not. Beyond that it takes the
// next upstream of the region with a free slot, then one of another region, then
// the shortest queue, as long as it can still be served in time; otherwise it is
// refused. The load of an upstream is the number of requests that this instance
// has in flight there, corrected by what the upstream reported with an answer.
//
// # Cold upstreams
//
// A cold upstream bears few requests. Settings.Cold says which ones this instance
// may send, so that all instances together stay within its bound.
//
// # Health
//
// An upstream that fails several times in a row is ejected for a time that grows
// with each ejection. At least half of the candidates of a service stay in use,
// whatever they do. An upstream that refuses unrun is left out for a moment.
//
// The package does no I/O and takes the time as an argument.
package placement
