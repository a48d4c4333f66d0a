// Package splitting chooses, for each request, between two destinations so that
// the second one gets at most a given share.
//
// A Splitter adds the share to an accumulator for each request and chooses the
// second destination when the accumulator passes a whole number. After any
// number of requests the second destination has therefore been chosen
// floor(sum of the shares) times, which with a constant share is
// floor(share x requests). The bound holds at every prefix, not on average. A
// lower share takes force with the next request; a part of one request, at
// most, is carried over a change.
//
// A request must call Next once, however often it is retried. A request that
// was not chosen must never be sent to the second destination, and a chosen one
// may be sent to the first.
//
// Version splits have one Splitter for each route, so that requests of routes
// that alternate in a fixed pattern are split alike; the bound of the whole
// follows from the bounds of the parts.
package splitting
