// Package moves shifts the traffic of a service from one failure domain to
// another by steps.
//
// A Driver raises the share of each move by its step, at most once in a step
// interval, up to its cap. It waits while the target is loaded, unhealthy or
// not heard from, and until the reachable instances apply the last step, so
// that caches of the target warm up under bounded growth. A target that stays
// unhealthy gets a smaller share, one step at a time. A move is done when the
// cap has been reached and the target has served it well for one step interval.
// A move that is not done by its deadline is taken back: its share returns to 0.
//
// The cap is a bound for the source's traffic on each instance, and therefore
// for the fleet: an instance that has not heard of the newest step applies a
// smaller or equal share, never one over the cap.
//
// The record of a move that is done stays in force until its object is removed
// or changed. A changed object goes on from the share that the earlier one had
// reached, if service and failure domains are the same.
//
// See package shift for the records, their order and the treatment of time.
package moves
