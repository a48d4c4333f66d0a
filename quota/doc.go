// Package quota keeps the requests of each customer, over all entry instances
// together, within its rate and burst.
//
// # Division
//
// Each instance has a token bucket for each customer. Its rate and size are a
// part of the customer's: an equal part of floorShare, and a part of the rest in
// proportion to the demand that the instance sees. Instances tell each other
// their demand with their heartbeats; no instance and no store is asked while a
// request waits.
//
// # The bound
//
// The parts of all instances must never add up to more than the whole, although
// each knows the demand of the others only as it was some time ago. So a demand
// that grows counts for the instance itself only after settleTime, when all
// others know it, while what others announce counts at once and what they take
// back counts for settleTime more. While a peer cannot be heard, the demand of
// the instance does not grow, and the last demand of the peer keeps its part.
// A bucket is empty at the start, and a larger part adds no tokens by itself.
//
// # Limits
//
// An instance that starts has its floor only until it has heard the others. A
// customer whose demand moves between instances is refused some requests for
// settleTime when it needs more than the floor and its burst.
//
// The package does no I/O and takes the time as an argument.
package quota
