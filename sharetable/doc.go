// Package sharetable divides each customer's rate and burst among the entry
// instances, so that all of them together never exceed the whole.
//
// # The record
//
// A Table is one record in the platform's store. It divides a line of Whole
// equal parts into ranges. Each member has two sets of ranges:
//
//   - Limit: what the member may use now,
//   - Held: everything that it may still be using.
//
// Limit is a subset of Held, and the Held sets of two members never overlap.
// Lowering a Limit leaves Held as it is. Raising a Limit raises Held in the
// same write. Held is reduced to a lowered Limit only when it is certain that no
// process uses the older Limit and that none can start to use it; see
// "Reclaiming". So the Limit sets in use never overlap, whatever versions of the
// table the members have at any instant.
//
// # The division
//
// Each token of a customer's burst has a fixed position on the line, and belongs
// to the member whose Limit covers that position. Since the sets in use do not
// overlap, a token belongs to one member at most: no rounding can make the sum
// exceed the burst, for any mix of table versions. No token is lost to
// rounding either, so a customer whose burst is smaller than the number of
// members keeps all of it, at a few members, from which the others borrow.
//
// Positions follow a van der Corput sequence shifted by a hash of the customer's
// name: a range of one tenth gets about a tenth of each large burst, and small
// customers are spread over the members. Four tokens share a position, since four
// tokens in one bucket serve more requests than fractions of tokens in four; the
// loss of one member, or a network partition, then takes four tokens at a time.
// The position of a token does not depend on the size of the burst, so that
// members with different configuration versions never own more tokens together
// than the larger burst has.
//
// Each token carries an equal fraction of the rate. While two configuration
// versions are in use whose ratio of rate to burst differs, the rates in use may
// add up to the sum of the two rates; with an equal ratio, to the larger one.
//
// # Reclaiming
//
// The driver reduces Held of a member to its Limit when it has evidence that, at
// one instant, every member of the witness group had applied the version that
// lowered the Limit: each has acknowledged the version, and after the last of
// these acknowledgements each has responded to another request in the same
// incarnation. A process that starts at the address of an earlier one accepts
// a table that it received in response to a request sent after the start, either
// from the store, or from a member of its witness group that is confirmed and has
// a limit. So it never gets a table from before a lowering whose ranges were
// reclaimed.
//
// The witness group is the failure domain, or the region where a failure
// domain has too few instances to attest each other's tables. A group all of whose
// processes have restarted while the store is unavailable stays unconfirmed until
// the store is available again. A member that cannot be reached keeps its ranges
// and blocks lowering in its own witness group only.
//
// # Removal
//
// A member is removed when it left gracefully and its empty Limit has been
// reclaimed, or when the platform's list has lacked it for DriverSettings.GoneAfter
// and no instance has been in contact with it for that time: then its Limit is
// emptied, and when it has been absent for GoneAfter again, its Held is freed. The
// removal relies on this: an instance that the list has lacked for GoneAfter has
// stopped or is suspended; a suspended process is unconfirmed when it resumes.
//
// The record must not be deleted by hand; a driver that observes the deletion
// writes it again.
package sharetable
