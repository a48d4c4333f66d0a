// Package throttle keeps the requests that all entry instances together send to an
// upstream within the rate that the upstream states.
//
// # Statements
//
// An upstream in need states in each response how many requests a second it takes from
// all instances together, and omits the statement once it takes any number. An instance
// learns of a statement from a response or from another instance. The newest one is in
// force. A response that states a lower rate than the one in force counts from its
// arrival, one that states a higher rate or none from the time at which its request was
// sent, so that responses that overtake each other never lift a limit. A limit is in force
// until the upstream states another one or none.
//
// # Permits
//
// One instance, the allocator of the upstream, grants a permit for each request that any
// instance sends there, retries included, from one token bucket. So the sum does not depend
// on the number of instances, and an upstream that takes less than one request an instance
// still gets all that it takes. An instance that gets no permit sends the request to
// another upstream at once. A denial tells when to ask again; until then the instance does
// not ask.
//
// # The allocator
//
// All instances rank the instances for each upstream: those of its failure domain first,
// then those of its region, then by the hash of both names. The first usable one is the
// allocator; an instance that is leaving is so only if there is no other. It grants only
// while it considers itself the first, so two instances grant at once only if one of them
// does not see the other. Each that is ranked before an allocator and may still be running,
// and a recent start or pause of the allocator itself, multiply its rate by overlapFraction.
// One predecessor that goes on unseen thus adds to at most 1+overlapFraction times the stated
// rate.
//
// # Limits
//
// A permit that is not used, because the connection fails or the caller disconnects, is
// lost. An instance that cannot reach the allocator sends nothing to the upstream. An
// instance that knows of no statement yet sends without permits.
//
// The package does no I/O and takes the time as an argument.
package throttle
