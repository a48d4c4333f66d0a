// Package overload decides which requests may go to a service that has too little room, by
// priority first and by customer second.
//
// # The load pattern
//
// More requests arrive than a service can run, for seconds to minutes: many callers at once, one
// customer with a multiple of its usual requests, a wave, or the return of callers after a loss of
// upstreams. Without a decision by priority, each kind of request is refused in proportion to how
// many of its upstreams are full, and those with the shortest deadline most often.
//
// # Levels
//
// Each instance keeps the fraction of the requests of each priority that it lets through. The input is the
// utilization of the service's upstreams, from the loads that they state and that instances of a
// failure domain pass on to each other: instances come to the same fractions without a message of
// their own. The fraction of a priority falls while the utilization is above the target of that
// priority and rises while it is below. The target of the less urgent follows from the
// shortest timeout of the more urgent and the time that the work takes. A priority is limited only when
// all less urgent ones are at their minimum. No fraction falls below MinFraction.
//
// # Customers
//
// What a limited priority may send is divided by max-min fairness: each customer gets
// what it asks for or an equal part, whichever is less. So a customer that sends a multiple of the
// others' requests is refused, and none is starved.
//
// # Returns
//
// A refusal states when to return: within the time in which the room of the priority serves those that
// are refused in the meantime, at a place in it that follows from customer and object. A
// return is recognized by the time that the caller has left, which is less than the timeout of its
// route. So any instance recognizes it, and callers need no name. Those that have waited at
// least half of what they are told go ahead of those that were never refused; those that
// have not are refused, and told the rest of the time.
//
// # Limits
//
// Callers that state another time than the timeout of the route with their first request seem to
// have been refused, and go ahead like all others that do so. A caller that was refused twice may return early the second
// time. An instance without load reports lets everything through.
//
// A service whose requests all have one priority is not limited by this package.
//
// The package does no I/O and takes the time as an argument.
package overload
