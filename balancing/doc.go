// Package balancing decides which upstream gets a request, and when.
//
// Each upstream has one owner among the live entry instances of its failure
// domain, or of its region where the domain has none. The owner alone counts
// the slots in use, so it accepts or refuses from exact knowledge. Other entry
// instances reach the upstream by relay through the owner.
//
// A Pool holds the upstreams of one service version that an instance owns. A
// request gets a Lease on the upstream with the least relative use. An upstream
// gets no more requests than its limit, which is never above its slots and is
// lowered by refusals, failures, rising latency and load reports, and rises
// slowly. Requests that find no free slot wait in a short queue that is
// weighted fair by customer in slot time; deferrable requests yield first.
//
// Evidence from requests counts more than probes: an upstream that answers
// requests stays in use while its health probe fails, and one that fails
// requests is ejected while its health probe succeeds. An upstream with any
// sign of a drain gets no lease from the moment the sign is applied.
//
// Grants divide the slots of an owner among the instances that relay to it; a
// Chooser orders the owners for the instance that relays; a LinkBudget bounds
// the bytes sent to another region.
//
// The package does no I/O and starts no goroutine. After a change of owner the
// old one may still have requests running on the upstream; the new one sees
// them only through the load report.
package balancing
