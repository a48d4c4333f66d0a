// Package shutdown decides what an entry instance may still do in a planned stop, which ends by
// force once the grace period is over.
//
// A Plan is the budget of the stop. Every step has its part of the grace period, and no step waits
// for anything beyond its part:
//
//	until         step
//	1/4           the listener stays open, for callers that still have the instance in their list;
//	              at most MaxAnnounce
//	9/10          requests run
//	19/20         responses to requests that were ended are written
//	1             the process ends
//
// A request that arrives during the stop is taken only if its deadline lies within the part for
// requests. It can then end by itself, whatever the upstream does. A request that cannot is refused
// at once, so that the caller goes elsewhere.
//
// The package does no I/O.
package shutdown
