// Package distribution replicates the records of the platform's store to every
// entry instance: the published configuration, the share table, and the
// records of moves and roll-outs.
//
// # Which instances read the store
//
// In each failure domain WatcherCount instances watch the store. They are
// selected without coordination, by rendezvous hashing over the live members of
// the domain as each instance sees them. Two instances that see different
// members may both watch, which costs extra calls and nothing else. When the
// selected watchers deliver no updates, the other instances start to watch one
// after another, each after twice the delay of the one before, so that a long
// outage of the store does not turn the whole fleet into watchers.
//
// The other instances pull from a peer whose heartbeat shows a newer revision,
// preferring peers in their own failure domain.
//
// # Monotonicity
//
// A Holder adopts only configurations with a higher version. Records adopts
// only entries with a higher revision. A stale watch, an older response of the
// store and an older copy of a peer therefore change nothing. Two configurations
// with the same version and different publish ids violate an invariant, and the
// second one is rejected.
//
// # Completeness
//
// Records also tracks the revision up to which it has every record. Responses of
// the store and of peers carry such a revision, and only they raise it. The
// freshness that a peer reports counts only when this instance has every record
// that the peer had.
//
// # Limits
//
// The store must preserve its revisions: after a store has been recreated with
// lower revisions, the instances keep the records that they have. A response of
// the store that is older than it claims cannot be detected; it makes an
// instance look fresher than it is, but never reverts its records.
//
// All types but Watcher and Snapshot belong to one control goroutine. They do
// no I/O and take the time as an argument. Watcher calls the store from its own
// goroutine.
package distribution
