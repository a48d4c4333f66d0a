// Package shutdown decides what an entry instance may still do in a planned stop, which ends by
// force once the grace period is over.
//
// A Plan is the budget of the stop. Every step has its part of the grace period, and no step waits
// for anything beyond its part:
//
//	until         step
//	1/4           the listener stays open, for callers that still have the instance in their list;
//	              at most MaxAnnounce
//	5/6           the deadlines of requests that are taken during the stop
//	9/10          requests that were taken before the stop run
//	19/20         responses to requests that were ended are written
//	1             the process ends
//
// A request that arrives during the stop is taken only if its deadline lies within its part. It can then
// end by itself, whatever the upstream does, and the rest is left for an instance that is short
// of processor time to write the response. A request that cannot is refused at once, so that the caller
// goes elsewhere.
//
// The package does no I/O.
package shutdown
