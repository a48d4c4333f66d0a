// Package duty decides which entry instance has a duty that only one may have at a time,
// such as usage reports, and with which fencing token and until when it may act.
//
// Load pattern: one holder that renews its lease for days, a hand-over when it leaves, is
// killed, paused or cut off, and a store that is slow, away or restored from a copy.
//
// A key of the store names the holder and is bound to a lease of the store. The candidates
// learn of its end from the records that they follow anyway, and compete for it after a
// random delay. The fencing token is the revision of the key: the store numbers its writes
// and the era puts every write after a restore above all earlier ones. A token counts only
// once a read that began after the write has shown the key with this value and revision in
// the same era, since a response can state a later era than that of its write. So a token
// never repeats or decreases, whatever is killed, paused, restored or late.
//
// A holder may act from the beginning of a wait until three quarters of the time to live
// (TTL) after the start of its last renewal. It asks Permit.Allows before each action, with a
// clock that also runs while the machine is suspended, so a paused holder has lost the duty
// before it resumes.
//
// A new holder does not wait where the end of the key proves that the last holder may not act
// any more: the key was removed by the holder itself or by the end of its lease. It waits
// for a TTL when the store was restored since the last report, which ends leases early, and
// when it is the last holder but one, so that no two holders take turns within a TTL. Where
// the API does not check tokens, it also waits after each hand-over, since a call of the last
// holder may be executed late.
//
// Limits: the store's clock and those of instances must not differ in rate by more than a
// quarter. A call that has left the holder cannot be recalled; only the token or the wait
// protects against its late execution.
//
// Duty is a state machine without I/O. Runner makes its calls in goroutines and posts their
// results to the control goroutine.
package duty
