// Package steering tells a caller which entry instances to use, in which order.
//
// # Blocks
//
// Blocks maps the caller's address to failure domains by the longest matching
// prefix of the operators' client blocks. A caller without a block gets the
// failure domain of the instance that it asks.
//
// # Order
//
// A Directory is built from Blocks and from one snapshot of the entry
// instances; it is immutable. Its Order has these parts:
//
//  1. the failure domains of the block, in the order of the block,
//  2. the other failure domains of their regions,
//  3. the failure domains of the other regions, nearest first by the latency
//     of the links.
//
// At most PerDomain instances of a domain and Limit in all are returned. An
// instance that is leaving, or has been silent for long, is not returned;
// suspect ones follow all others. A failure domain without instances has no
// part, so that its callers go to the rest of the region.
//
// # Spreading
//
// Within a domain the instances are ordered for each caller by weighted
// rendezvous hashing of the caller's address and spreading key. The weight is
// the free part of the instance's capacity, in steps of a sixteenth, at least
// one sixteenth. So each instance comes first for about the part of the
// callers that its weight is of all weights, and when an instance goes or its
// weight changes only the callers that it loses or wins are moved.
//
// When the mean load of a domain is above OverloadFrom, a part of its callers,
// growing to one half at full load, get the next domain first, unless that one is
// loaded as much. It is always the same callers for the same load.
//
// # Limits
//
// Loads are as old as the heartbeats that brought them; callers keep the answer
// for its time to live. Callers are counted by address: many behind one address
// are one caller, unless the spreading key tells them apart. Steering is advice;
// admission and balancing protect an instance from callers that ignore it.
package steering
