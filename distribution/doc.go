// Package distribution brings the records of the platform's store to every
// entry instance: the published configuration, the share table, and the
// records of moves and roll-outs.
//
// # Which instances read the store
//
// In each failure domain WatcherCount instances watch the store. They are
// chosen without agreement, by rendezvous hashing over the live members of the
// domain as each instance sees them. Two instances that see different members
// may both watch; that costs calls and nothing else. When those that should
// watch do not deliver, the others step in one after the other, each after
// twice the time of the one before, so that a long outage of the store does
// not turn the whole fleet into watchers.
//
// The other instances pull from a peer whose heartbeat shows a newer revision,
// from one in their own failure domain where that is possible.
//
// # What never goes back
//
// A Holder adopts only configurations with a higher version. Records adopts
// only entries with a higher revision. So a stale watch, an older answer of the
// store and an older copy of a peer change nothing. Two configurations with the
// same version and different publish ids are a violation of an invariant, and
// the second one is refused.
//
// # Completeness
//
// Records also knows the revision up to which it has every record. Answers of
// the store and of peers carry such a revision, and only they raise it. A peer's
// word on how fresh it is counts only when this instance has everything that
// the peer had.
//
// # Limits
//
// The store must keep its revisions: after a store has been set up anew with
// lower revisions, the instances keep the records that they have. An answer of
// the store that is older than it claims cannot be recognised; it makes an
// instance look fresher than it is, and never takes it back.
//
// All types but Watcher and Snapshot belong to one control goroutine. They do
// no I/O and take the time as an argument. Watcher does the calls on the store
// from a goroutine of its own.
package distribution
