// Package quota divides the rate and burst of each customer among the entry
// instances in proportion to the demand that each of them sees.
//
// # Division
//
// Half of a rate is divided equally among the instances, the rest in proportion to
// their demand. The smaller an equal part is, the more of the rate is divided equally:
// where an instance gets a request of the customer every few seconds, its measured demand is
// mostly random. Instances announce their demand in their
// heartbeats. An instance that needs more than its allocation in the meantime
// borrows from others (package admission), so the division only has to be close to
// the demand.
//
// In a large fleet an instance knows the demand of other failure domains only as
// sums. A rate is then divided among the failure domains first, and the allocation
// of a failure domain among its instances, both in the same way.
//
// # The bound
//
// The allocations of all instances must not add up to more than the whole rate,
// although each instance knows the demand of the others only with a delay. The
// convergence time is the time after which all instances have received an
// announcement. Growth of this instance's demand therefore counts in its own
// allocation only after the convergence time, when all others have received it.
// Growth that others announce counts at once, and a decrease that they announce
// counts after the convergence time. While any peer cannot be reached, the counted
// demand of this instance does not grow, and the last demand of the peer keeps its
// allocation. The fraction that neither this instance nor its peers count yet is
// divided equally: a source counts no more than the lowest demand that it has announced within
// the convergence time. While a customer's demand is clearly below its rate, the random
// variation of few arrivals counts at once.
//
// # Limits
//
// A bucket holds at least minBurst tokens, so all instances together may exceed the
// customer's burst by up to that many tokens each. Changes within the noise of a
// steady demand count at once, so the allocations may add up to slightly more than
// the whole rate until they have converged.
//
// The package does no I/O and takes the time as an argument.
package quota
