// Package membership tracks the other entry instances and their health.
//
// A Registry is owned by the control goroutine and does no I/O. It has three
// sources: the platform's instance list, which lags; the static seeds from the
// settings; and heartbeats, both those received and the responses to those
// sent. Request handling reads the immutable Peers that it publishes.
//
// # States
//
// A peer is Alive, Suspect or Silent. A peer that is contacted regularly is
// Suspect when no heartbeat was received from it for SuspectIntervals heartbeat
// intervals, or when a call to it has just failed, and Silent after
// SilentIntervals. A peer that is not contacted regularly is Alive while the
// platform lists it, until a call to it fails; from then on it is contacted
// until it responds. Silence alone never proves that an instance is gone: it
// may be cut off and still serving. Evidence holds the times on which other
// packages can decide that.
//
// A leaving mark, from a heartbeat or from the list, is permanent for that
// incarnation. Another incarnation with the same name or address replaces the
// earlier one. A late heartbeat of a replaced incarnation is ignored; only a
// response to a call that this instance made itself, which proves which
// incarnation has the address now, can reinstate one.
//
// # Choice of contacts
//
// Up to FullMeshLimit peers, each instance exchanges heartbeats with every
// other each Interval. Above it, an instance contacts:
//
//   - every instance of the local failure domain,
//   - NearContacts instances of each other domain of its region,
//   - FarContacts instances of each domain of the other regions, FarFactor
//     times less often,
//   - peers that were named with Use within the last UseRetention, and peers
//     for which Failed was reported.
//
// If more instances of another domain have failed than the domain has contacts,
// the failed ones are contacted less often: all of them together as often as
// the contacts. When one of them responds, the others are contacted within
// RetryPeriod.
//
// The contacts in a domain are the instances with the highest rendezvous hash
// of both names and a number that changes each RotatePeriod, so that every
// instance is contacted by about the same number of others and each pair
// exchanges heartbeats in some period. A heartbeat is an exchange: receiving
// one counts as much as sending one, so each pair exchanges once in an
// interval, not twice. The interval grows with the number of contacts so that
// heartbeats cost at most ByteBudget bytes per second in each direction, at the
// average size of the received states, and that there are at most
// MaxExchangesPerSecond exchanges: with n contacts and states of b bytes it is
// max(Interval, n*b/ByteBudget, n/MaxExchangesPerSecond). The times until Suspect
// and Silent grow with it.
//
// Each failure domain has a leader: the usable instance whose name has the
// lowest hash, where instances that reach the store precede those that don't.
// The leaders are contacts of each other, at the full rate, so that information
// of one of them reaches every domain in one exchange and every instance in
// two.
//
// Heartbeats are not used to learn about the health of a third instance.
// Therefore a leaving instance notifies its contacts itself, at once (Leaving
// makes every contact due), and instances that are not its contacts learn of it
// from the platform's list or when their next call is refused.
//
// # Cost at 4,600 instances
//
// With 26 regions, 83 domains and 55 instances in each domain, an instance has
// 54 contacts in its domain, 3 in each of about 2 others of its region and one
// in each of the 80 domains of other regions, which count a quarter: 80
// exchanges in each interval. A state with the loads of three services in two
// versions has 274 bytes, with frames and headers 424, so at a budget of 10 KB
// per second the interval is 4.0 s, and a peer is suspect after 12 s unless a
// call to it fails earlier. BenchmarkHeartbeat and BenchmarkSnapshot measure
// the CPU time of an exchange and of a snapshot.
//
// # Limits
//
// Without the platform's list an instance knows only its seeds and the
// instances that contact it.
package membership
