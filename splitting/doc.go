// Package splitting chooses between two destinations for each request, so that the
// second one gets at most a given share.
//
// A Splitter adds the share to an accumulator for each request and chooses the
// second destination when the accumulator reaches the next whole number. After any
// number of requests the second destination has therefore been chosen
// floor(sum of the shares) times, which with a constant share is
// floor(share x requests). The bound holds for every prefix of the sequence, not only
// on average. A lower share takes effect with the next request; at most a fraction of
// one request is carried over a change.
//
// Next must be called exactly once per request, however often the request is retried. A
// request that was not chosen must never be sent to the second destination; a chosen
// one may be sent to the first.
//
// Version splits have one Splitter per route, so that routes whose requests alternate
// in a fixed pattern each get the same split; the bound of the whole service follows
// from the bounds of the routes.
package splitting
