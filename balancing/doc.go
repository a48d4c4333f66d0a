// Package balancing decides which upstream gets a request, and when.
//
// Each upstream has one owner among the live entry instances of its failure
// domain, or of its region if the domain has none. Only the owner counts the slots
// in use, so it admits or refuses requests on exact counts. Other entry instances
// reach the upstream by relay through the owner.
//
// A Pool holds the upstreams of one service version that an instance owns. A
// request gets a Lease on the upstream with the lowest utilization. An upstream
// gets no more concurrent requests than its limit. The limit never exceeds the slots;
// refusals, failures, rising latency and load reports lower it, and it rises slowly.
// Requests that find no free slot wait in a short queue that is weighted fair by
// customer in slot time; deferrable requests yield first.
//
// Evidence from requests outweighs probes: an upstream that responds to requests stays
// in use while its health probe fails, and one that fails requests is ejected while its
// health probe succeeds. An upstream with any sign of a drain gets no lease once
// the sign is applied.
//
// Grants divide the slots of an owner among the instances that relay to it; a
// Chooser orders the owners for the instance that relays; a LinkBudget bounds
// the bytes sent to another region.
//
// The package does no I/O and starts no goroutine. After a change of owner the
// previous owner may still have requests running on the upstream; the new one sees
// them only through the load report.
package balancing
