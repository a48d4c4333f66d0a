// Package steering selects and orders the entry instances that a caller should
// use.
//
// # Blocks
//
// Blocks maps the caller's address to failure domains by the longest matching
// prefix among the configured client blocks. A caller without a matching block
// gets the failure domain of the instance that it queries.
//
// # Order
//
// A Directory is built from Blocks and from one snapshot of the entry
// instances; it is immutable. Its Order returns the instances of, in this order:
//
//  1. the failure domains of the block, in the order of the block,
//  2. the other failure domains of their regions,
//  3. the failure domains of the other regions, nearest first by the latency
//     of the links.
//
// At most MaxInstancesPerDomain instances of a failure domain and MaxInstances in
// total are returned. Leaving and silent instances are omitted; suspect instances
// follow all others. A failure domain without usable instances is skipped, so
// that its callers use the rest of the region.
//
// # Spreading
//
// Within a domain the instances are ordered for each caller by weighted
// rendezvous hashing of the caller's address and spreading key. The weight is
// the free fraction of the instance's capacity, in steps of a sixteenth, at
// least one sixteenth. Each instance therefore comes first for a fraction of the
// callers that is proportional to its weight. When an instance joins or leaves,
// or its weight changes, only the callers that it gains or loses are moved.
//
// When the mean load of a domain exceeds OverloadThresholdPermille, a fraction of
// its callers, growing to one half at full load, get the next domain first,
// unless that domain is at least as overloaded. The same load always affects the
// same callers.
//
// # Limits
//
// Loads are as old as the heartbeats that reported them, and callers cache the
// response for its time to live. Callers are identified by address: all callers
// behind one address count as one, unless the spreading key distinguishes them.
// Steering is advisory; admission and balancing protect an instance from callers
// that ignore it.
package steering
