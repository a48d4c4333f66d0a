// Package quota divides the rate and burst of each customer among the entry
// instances by the demand that each of them sees.
//
// # Division
//
// Each instance has an equal part of floorShare of a rate, and a part of the rest
// in proportion to its demand. Instances tell each other their demand with their
// heartbeats. What an instance lacks in the meantime it borrows from others
// (package admission), so the division only has to be near the demand.
//
// In a large fleet an instance hears the other failure domains only as sums. A rate
// is then divided among the domains first, and the part of a domain among its
// instances, both in the same way.
//
// # The bound
//
// The parts of all instances must not add up to more than the whole, although
// each knows the demand of the others only as it was some time ago. So a demand
// that grows counts for the instance itself only after the time to settle, when all
// others know it, while what others announce counts at once and what they take
// back counts for that time more. While a peer cannot be heard, the demand of
// the instance does not grow, and the last demand of the peer keeps its part. What
// neither side counts yet is divided equally. While a customer asks clearly less
// than its rate, the chance variation of few arrivals counts at once.
//
// # Limits
//
// A bucket holds at least leastBurst tokens: together the instances may have that
// many more each than the customer's burst. Changes within the noise of a steady
// demand count at once, so the parts may add up to a little more than the whole
// for that time.
//
// The package does no I/O and takes the time as an argument.
package quota
