// Package moves shifts the traffic of a service from one failure domain to
// another in steps.
//
// A Driver raises the share of each move by its step, at most once per step
// interval, up to its cap. It holds the share while the target is loaded or
// unhealthy or has no recent load report. It waits until the reachable instances
// apply the last step, at most for two step intervals. The gradual increase lets
// the caches of the target warm up. While the target stays unhealthy, the share is
// lowered by one step per step interval. A move is done when its share has been
// at the cap for one step interval without being held. A move that is not done
// by its deadline is taken back: its share returns to 0.
//
// The cap bounds the moved fraction of the source's traffic on each instance, and
// therefore in the fleet: an instance that has not received the newest step
// applies the share of an earlier one, never one over the cap.
//
// The record of a move that is done stays in force until its object is removed
// or changed. A changed object continues from the share that the earlier one had
// reached, up to its cap, if service and failure domains are the same and the
// earlier move was neither removed nor taken back.
//
// See package shift for the records, their order and the handling of time.
package moves
