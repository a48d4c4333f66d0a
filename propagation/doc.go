// Package propagation decides how the operator's records (the configuration, evacuations
// and roll-outs) reach an instance within a bound on the whole way: from the
// acknowledgement of the store until the change is in force at the instance.
//
// A Budget is a third of that bound, and every wait on the way is a part of it. The rest
// is for instances and links that are slower than usual.
//
//	part of the budget    step
//	1/8                   a peer of the own failure domain responds
//	1/8 to 1/3            other peers respond, each of which is asked 1/8 after the last
//	from 1/3 on           the store responds
//	1/2                   longest time for one read
//
// Instances announce a change once it is in force: those that got it from outside their
// failure domain to that domain, those that read it from the store also to the other readers,
// and everyone to the next instances of the ring of all instances and to another one. So
// each instance is told by several others.
// An instance that was told reads the change from one of them, and from the store when they
// do not respond: no single instance can delay it.
//
// The package does no I/O. A Follower is used by one goroutine.
package propagation
